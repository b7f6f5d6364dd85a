// A client with a connection pool and an event loop of its own, and helpers for
// scripted answers.
#pragma once

#include "drivers/internal/http_client.hpp"
#include "scripted_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plantaintally::drivers
{

inline constexpr duration ample_timeout = test_timeout;
inline constexpr duration short_timeout = std::chrono::milliseconds(100);

// A client with its connection pool.
struct client_fixture
{
    asio::io_context io;
    counters driver_metrics;
    std::shared_ptr<int> owner = std::make_shared<int>(0);
    task_scope tasks{this->io.get_executor()};
    connection_pool pool{
        this->tasks,
        this->driver_metrics,
        {"upstream", 2, 64U << 10U, std::chrono::seconds(60), ample_timeout}};
    std::shared_ptr<admission::answer_budget> answers;
    http_client client;
    // True if the write of the last call had ended when the call did.
    bool is_write_finished = false;

    explicit client_fixture(bool allows_close_delimited = false,
                            std::uint64_t max_bytes_of_answers = 1U << 30U)
        : answers(
              std::make_shared<admission::answer_budget>(max_bytes_of_answers)),
          client(this->pool,
                 {4096, 100'000, allows_close_delimited, this->answers})
    {
        this->tasks.set_owner(this->owner);
    }

    call_result call(std::string const& address,
                     std::string const& body = "",
                     duration timeout = ample_timeout)
    {
        std::vector<call_result> results;
        this->start(results, address, body, timeout);
        this->run_until([&] { return !results.empty(); });
        return results.empty() ? call_result(call_failure{}) : results.front();
    }

    // Sends a request with this id, which the response has to name.
    call_result call_with_id(std::string const& address, std::string const& id)
    {
        this->expect_answer_to(id);
        return this->call(address, id);
    }

    // The responses to later calls have to name this request.
    void expect_answer_to(std::string const& id)
    {
        this->expected_answer_header = {"Request-Id", id};
    }

    void start(std::vector<call_result>& results,
               std::string address,
               std::string body,
               duration timeout = ample_timeout,
               call_control* control = nullptr)
    {
        asio::co_spawn(
            this->io,
            this->run_call(
                results, std::move(address), std::move(body), timeout, control),
            asio::detached);
    }

    // Runs until the condition holds, or until no handler has run for
    // `test_timeout`.
    void run_until(std::function<bool()> const& is_done)
    {
        this->io.restart();
        while (!is_done() && this->io.run_one_for(test_timeout) > 0)
        {
        }
    }

private:
    header_field expected_answer_header;

    asio::awaitable<void> run_call(std::vector<call_result>& results,
                                   std::string address,
                                   std::string body,
                                   duration timeout,
                                   call_control* control)
    {
        call_control default_control;
        outgoing_request request{
            "POST",
            "/book",
            {{"Host", "duty-desk"}},
            std::make_shared<std::string const>(std::move(body)),
            this->expected_answer_header};
        auto const sent_body = request.body;
        auto result = co_await this->client.call(
            std::move(address),
            std::move(request),
            timeout,
            control == nullptr ? default_control : *control);
        this->is_write_finished = sent_body.use_count() == 1;
        results.push_back(std::move(result));
    }
};

inline std::string body_text(call_result const& result)
{
    auto const* const full_answer = std::get_if<answer>(&result);
    return full_answer == nullptr ? "no answer" : full_answer->body;
}

// An answer that names this request; none if the id is empty.
inline std::string named_answer(int status, std::string const& id)
{
    std::string const name = id.empty() ? "" : "Request-Id: " + id + "\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + name +
           "Content-Length: 0\r\n\r\n";
}

inline std::uint32_t status_of(call_result const& result)
{
    auto const* const full_answer = std::get_if<answer>(&result);
    return full_answer == nullptr ? 0 : full_answer->status;
}

inline call_failure failure_in(call_result const& result)
{
    REQUIRE(std::holds_alternative<call_failure>(result));
    return std::get<call_failure>(result);
}

// Responds to every request with the request's own body.
inline void echo(test_connection& connection, std::size_t)
{
    for (auto request = connection.read_message(); !request.empty();
         request = connection.read_message())
    {
        connection.write(ok_answer(body_of(request)));
    }
}

} // namespace plantaintally::drivers
