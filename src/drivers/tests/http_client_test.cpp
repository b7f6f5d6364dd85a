#include "drivers/internal/http_client.hpp"
#include "scripted_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace plantaintally;
using namespace plantaintally::drivers;

namespace
{

constexpr duration ample_timeout = test_timeout;
constexpr duration short_timeout = std::chrono::milliseconds(100);

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
    http_client client;
    // True if the write of the last call had ended when the call did.
    bool is_write_finished = false;

    explicit client_fixture(bool allows_close_delimited = false)
        : client(this->pool, {4096, 100'000, allows_close_delimited})
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
        this->expected_answer_header = {"Request-Id", id};
        return this->call(address, id);
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

std::string body_text(call_result const& result)
{
    auto const* const full_answer = std::get_if<answer>(&result);
    return full_answer == nullptr ? "no answer" : full_answer->body;
}

// An answer that names this request; none if the id is empty.
std::string named_answer(int status, std::string const& id)
{
    std::string const name = id.empty() ? "" : "Request-Id: " + id + "\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + name +
           "Content-Length: 0\r\n\r\n";
}

std::uint32_t status_of(call_result const& result)
{
    auto const* const full_answer = std::get_if<answer>(&result);
    return full_answer == nullptr ? 0 : full_answer->status;
}

call_failure failure_in(call_result const& result)
{
    REQUIRE(std::holds_alternative<call_failure>(result));
    return std::get<call_failure>(result);
}

// Responds to every request with the request's own body.
void echo(test_connection& connection, std::size_t)
{
    for (auto request = connection.read_message(); !request.empty();
         request = connection.read_message())
    {
        connection.write(ok_answer(body_of(request)));
    }
}

} // namespace

TEST_CASE("a connection is reused after a complete response")
{
    scripted_server server(echo);
    client_fixture fixture;
    CHECK(body_text(fixture.call(server.address(), "one")) == "one");
    CHECK(body_text(fixture.call(server.address(), "two")) == "two");
    CHECK(server.connection_count() == 1);
    fixture.pool.close_idle();
}

TEST_CASE("a response with a truncated body is incomplete")
{
    scripted_server server(
        [](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write(
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
            connection.close();
        });
    client_fixture fixture;
    auto const failed = failure_in(fixture.call(server.address()));
    CHECK(failed.failure == attempt_failure::incomplete_answer);
    CHECK(failed.is_written);
}

TEST_CASE("a chunked response without its last chunk is incomplete")
{
    scripted_server server(
        [](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n5\r\nhello\r\n");
            connection.close();
        });
    client_fixture fixture;
    CHECK(failure_in(fixture.call(server.address())).failure ==
          attempt_failure::incomplete_answer);
}

TEST_CASE("a close-delimited response is incomplete unless allowed")
{
    scripted_server server(
        [](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write("HTTP/1.1 200 OK\r\n\r\nperhaps all");
            connection.close();
        });
    client_fixture fixture;
    CHECK(failure_in(fixture.call(server.address())).failure ==
          attempt_failure::incomplete_answer);
}

TEST_CASE("a response that is cut off anywhere is never complete")
{
    std::string const start = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n";
    struct variant
    {
        std::string response;
        bool ends_by_reset;
        bool is_on_kept_connection;
        bool is_sent_in_pieces;
    };
    std::vector<variant> variants;
    for (std::string const& response :
         {start + "Content-Length: 12\r\nDate: 1\r\n\r\nhello, hello",
          start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
          // Delimited by the end of the connection.
          start + "Content-Type: text/plain\r\n\r\n"})
    {
        for (bool const ends_by_reset : {false, true})
        {
            for (bool const is_kept : {false, true})
            {
                variants.push_back({response, ends_by_reset, is_kept, false});
                variants.push_back({response, ends_by_reset, is_kept, true});
            }
        }
    }
    for (variant const& each : variants)
    {
        // Position of the next cut, counted in bytes that are sent.
        std::atomic<std::size_t> cut = 0;
        scripted_server server(
            [&](test_connection& connection, std::size_t)
            {
                if (each.is_on_kept_connection)
                {
                    connection.read_message();
                    connection.write(named_answer(200, "0"));
                }
                if (connection.read_message().empty())
                {
                    return;
                }
                std::string_view const text =
                    std::string_view(each.response).substr(0, cut);
                std::size_t const first =
                    each.is_sent_in_pieces ? text.size() / 2 : text.size();
                connection.write(text.substr(0, first));
                if (first < text.size())
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                    connection.write(text.substr(first));
                }
                each.ends_by_reset ? connection.reset() : connection.close();
            });
        client_fixture fixture(true);
        for (cut = 0; cut < each.response.size(); ++cut)
        {
            if (each.is_on_kept_connection)
            {
                REQUIRE(status_of(fixture.call_with_id(server.address(),
                                                       "0")) == 200);
            }
            INFO(each.response.substr(0, cut)
                 << "| reset " << each.ends_by_reset << " kept "
                 << each.is_on_kept_connection);
            auto const result = fixture.call_with_id(server.address(), "1");
            CHECK(status_of(result) == 0);
            CHECK(fixture.pool.connection_count() == 0);
        }
        CHECK(server.connection_count() == each.response.size());
    }
}

TEST_CASE("a response that the connection's end delimits is complete only "
          "without a reset")
{
    for (bool const ends_by_reset : {false, true})
    {
        scripted_server server(
            [&](test_connection& connection, std::size_t)
            {
                connection.read_message();
                connection.write(
                    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nwhole");
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                ends_by_reset ? connection.reset() : connection.close();
            });
        client_fixture fixture(true);
        auto const result = fixture.call_with_id(server.address(), "1");
        CHECK(body_text(result) == (ends_by_reset ? "no answer" : "whole"));
    }
}

TEST_CASE(
    "a request is not repeated if the connection closes before the response")
{
    std::atomic<int> requests = 0;
    scripted_server server(
        [&](test_connection& connection, std::size_t number)
        {
            while (!connection.read_message().empty())
            {
                ++requests;
                if (number > 0 || requests > 1)
                {
                    connection.close();
                    return;
                }
                connection.write(ok_answer("first"));
            }
        });
    client_fixture fixture;
    CHECK(body_text(fixture.call(server.address())) == "first");
    auto const failed = failure_in(fixture.call(server.address()));
    CHECK(failed.failure == attempt_failure::closed_after_write);
    CHECK(failed.is_written);
    CHECK(requests == 2);
    CHECK(server.connection_count() == 1);
}

TEST_CASE("an idle connection that the other side closed is not reused")
{
    std::atomic<bool> is_closed = false;
    scripted_server server(
        [&](test_connection& connection, std::size_t number)
        {
            auto const request = connection.read_message();
            connection.write(ok_answer(body_of(request)));
            if (number == 0)
            {
                connection.close();
                is_closed = true;
            }
        });
    client_fixture fixture;
    CHECK(body_text(fixture.call(server.address(), "one")) == "one");
    while (!is_closed)
    {
        std::this_thread::yield();
    }
    CHECK(body_text(fixture.call(server.address(), "two")) == "two");
    CHECK(server.connection_count() == 2);
    fixture.pool.close_idle();
}

TEST_CASE("nothing was written if no connection could be opened")
{
    client_fixture fixture;
    auto const unused_address =
        "127.0.0.1:" + std::to_string(find_free_port_pair());
    auto const failed = failure_in(fixture.call(unused_address));
    CHECK(failed.failure == attempt_failure::connect_refused);
    CHECK(!failed.is_written);
    CHECK(!failure_in(fixture.call("nonsense")).is_written);
}

TEST_CASE("a late response is never returned to the next call")
{
    std::atomic<bool> may_answer = false;
    scripted_server server(
        [&](test_connection& connection, std::size_t number)
        {
            auto const request = connection.read_message();
            while (number == 0 && !may_answer)
            {
                std::this_thread::yield();
            }
            connection.write(ok_answer(body_of(request)));
        });
    client_fixture fixture;
    auto const late =
        failure_in(fixture.call(server.address(), "first", short_timeout));
    CHECK(late.failure == attempt_failure::timed_out);
    CHECK(late.is_written);
    may_answer = true;
    CHECK(body_text(fixture.call(server.address(), "second")) == "second");
    CHECK(server.connection_count() == 2);
    fixture.pool.close_idle();
}

TEST_CASE("a connection with bytes after the response is not reused")
{
    scripted_server server(
        [](test_connection& connection, std::size_t)
        {
            auto const request = connection.read_message();
            connection.write(ok_answer(body_of(request)) + ok_answer("stray"));
            connection.read_message();
        });
    client_fixture fixture;
    CHECK(body_text(fixture.call(server.address(), "one")) == "one");
    CHECK(body_text(fixture.call(server.address(), "two")) == "two");
    CHECK(server.connection_count() == 2);
}

TEST_CASE("a refusal sent twice is never the answer to a later request")
{
    // When the copy is sent, counted in requests received.
    enum class moment
    {
        with_first_answer,
        before_second_request,
        after_second_request
    };
    struct variant
    {
        // The request id that the refusal and its copy state.
        std::string id;
        std::string copied_id;
        moment copied;
        std::string second_id;
    };
    std::vector<variant> variants;
    for (auto const copied : {moment::with_first_answer,
                              moment::before_second_request,
                              moment::after_second_request})
    {
        variants.push_back({"1", "1", copied, "2"});
        variants.push_back({"1", "", copied, "2"});
        variants.push_back({"", "", copied, "2"});
        // The same request, sent again after it was refused.
        variants.push_back({"1", "1", copied, "1"});
    }
    for (variant const& each : variants)
    {
        std::atomic<bool> may_copy = false;
        std::atomic<bool> is_copied = false;
        scripted_server server(
            [&](test_connection& connection, std::size_t number)
            {
                auto const copy = named_answer(503, each.copied_id);
                if (number == 0 && !connection.read_message().empty())
                {
                    auto const first = named_answer(503, each.id);
                    connection.write(each.copied == moment::with_first_answer
                                         ? first + copy
                                         : first);
                    while (!may_copy)
                    {
                        std::this_thread::yield();
                    }
                    if (each.copied == moment::before_second_request)
                    {
                        connection.write(copy);
                    }
                    is_copied = true;
                }
                bool is_late =
                    number == 0 && each.copied == moment::after_second_request;
                for (auto next = connection.read_message(); !next.empty();
                     next = connection.read_message())
                {
                    auto const answer = named_answer(200, body_of(next));
                    connection.write(is_late ? copy + answer : answer);
                    is_late = false;
                }
            });
        client_fixture fixture;
        INFO("id '" << each.id << "', copied as '" << each.copied_id << "', "
                    << static_cast<int>(each.copied) << ", then "
                    << each.second_id);
        CHECK(status_of(fixture.call_with_id(server.address(), "1")) ==
              (each.id.empty() ? 0 : 503));
        may_copy = true;
        while (!is_copied)
        {
            std::this_thread::yield();
        }
        auto const second =
            fixture.call_with_id(server.address(), each.second_id);
        auto const* const failure = std::get_if<call_failure>(&second);
        CHECK((failure == nullptr ? status_of(second) == 200
                                  : failure->is_written));
        CHECK(status_of(fixture.call_with_id(server.address(), "3")) == 200);
        fixture.pool.close_idle();
    }
}

TEST_CASE("a refused request is repeated on another connection only")
{
    scripted_server server(
        [](test_connection& connection, std::size_t)
        {
            for (auto next = connection.read_message(); !next.empty();
                 next = connection.read_message())
            {
                connection.write(named_answer(503, body_of(next)));
            }
        });
    client_fixture fixture;
    // More often than the pool may hold connections.
    for (std::size_t repeat = 1; repeat <= 4; ++repeat)
    {
        CHECK(status_of(fixture.call_with_id(server.address(), "same")) == 503);
        CHECK(server.connection_count() == repeat);
    }
    // Other requests share connections, which don't remember without limit.
    for (int number = 0; number < 200; ++number)
    {
        auto const id = std::to_string(number);
        CHECK(status_of(fixture.call_with_id(server.address(), id)) == 503);
    }
    CHECK(server.connection_count() > 4);
    CHECK(server.connection_count() < 10);
    fixture.pool.close_idle();
}

TEST_CASE("responses to concurrent calls are not mixed up")
{
    scripted_server server(echo);
    client_fixture fixture;
    fixture.pool.warm(server.address(), 0, 50);
    std::vector<std::vector<call_result>> results(50);
    for (std::size_t number = 0; number < results.size(); ++number)
    {
        fixture.start(
            results[number], server.address(), std::to_string(number));
    }
    fixture.run_until(
        [&]
        {
            return std::all_of(results.begin(),
                               results.end(),
                               [](auto const& each) { return !each.empty(); });
        });
    for (std::size_t number = 0; number < results.size(); ++number)
    {
        REQUIRE(results[number].size() == 1);
        CHECK(body_text(results[number].front()) == std::to_string(number));
    }
    fixture.pool.close_idle();
}

TEST_CASE("the connection limit per address is enforced")
{
    std::atomic<bool> may_answer = false;
    scripted_server server(
        [&](test_connection& connection, std::size_t)
        {
            auto const request = connection.read_message();
            while (!may_answer)
            {
                std::this_thread::yield();
            }
            connection.write(ok_answer(body_of(request)));
        });
    client_fixture fixture;
    std::vector<call_result> results;
    for (int number = 0; number < 3; ++number)
    {
        fixture.start(results, server.address(), "x");
    }
    fixture.run_until([&] { return !results.empty(); });
    auto const failed = failure_in(results.front());
    CHECK(failed.failure == attempt_failure::connection_limit);
    CHECK(!failed.is_written);
    may_answer = true;
    fixture.run_until([&] { return results.size() == 3; });
    REQUIRE(results.size() == 3);
    CHECK(body_text(results[1]) == "x");
    CHECK(server.connection_count() == 2);
    fixture.pool.close_idle();
}

TEST_CASE("a cancelled call ends and its connection is not reused")
{
    std::atomic<bool> has_request = false;
    scripted_server server(
        [&](test_connection& connection, std::size_t)
        {
            connection.read_message();
            has_request = true;
            connection.read_all();
        });
    client_fixture fixture;
    std::vector<call_result> results;
    call_control control;
    fixture.start(results, server.address(), "x", ample_timeout, &control);
    while (!has_request)
    {
        fixture.io.poll();
    }
    control.cancel();
    fixture.run_until([&] { return !results.empty(); });
    REQUIRE(results.size() == 1);
    auto const failed = failure_in(results.front());
    CHECK(failed.failure == attempt_failure::cancelled);
    CHECK(failed.is_written);
    CHECK(fixture.pool.connection_count() == 0);
}

TEST_CASE("a response that is not HTTP or is too large is malformed")
{
    for (std::string const& text :
         {std::string("GARBAGE\r\n\r\n"),
          "HTTP/1.1 200 OK\r\nContent-Length: 100001\r\n\r\n" +
              std::string(100'001, 'x'),
          "HTTP/1.1 200 OK\r\nX: " + std::string(5'000, 'x') + "\r\n\r\n"})
    {
        scripted_server server(
            [&](test_connection& connection, std::size_t)
            {
                connection.read_message();
                connection.write(text);
                connection.read_all();
            });
        client_fixture fixture;
        INFO(text.substr(0, 40));
        CHECK(failure_in(fixture.call(server.address())).failure ==
              attempt_failure::malformed_answer);
    }
}

TEST_CASE("a call whose answer comes early ends only after its write")
{
    std::atomic<bool> is_finished = false;
    scripted_server server(
        [&](test_connection& connection, std::size_t)
        {
            connection.write("HTTP/1.1 413 Content Too Large\r\n"
                             "Content-Length: 0\r\n\r\n");
            while (!is_finished)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        });
    client_fixture fixture;
    std::string const body(std::size_t{16} << 20U, 'x');
    auto const result = fixture.call(server.address(), body);
    is_finished = true;
    CHECK(std::get<answer>(result).status == 413);
    CHECK(fixture.is_write_finished);
    CHECK(fixture.pool.connection_count() == 0);
}

TEST_CASE("bytes without end are cut off and their connection is not reused")
{
    // A head that never ends, interim responses without end, and bodies without
    // end: declared, chunked, and until the end of the connection.
    struct endless
    {
        std::string start;
        std::string repeated;
    };
    for (endless const& each :
         {endless{"HTTP/1.1 200 OK\r\n", "X: xxxxxxxxxxxxxxxxxxxxxxxx\r\n"},
          endless{"HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
          endless{"", "HTTP/1.1 100 Continue\r\n\r\n"},
          endless{"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
                  std::string(500, 'x')},
          endless{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                  "8\r\nxxxxxxxx\r\n"},
          endless{"HTTP/1.1 200 OK\r\n\r\n", std::string(500, 'x')}})
    {
        std::atomic<bool> is_closed = false;
        scripted_server server(
            [&](test_connection& connection, std::size_t number)
            {
                connection.read_message();
                if (number > 0)
                {
                    connection.write(ok_answer("next"));
                    connection.read_all();
                    return;
                }
                connection.write(each.start);
                while (connection.write(each.repeated))
                {
                }
                is_closed = true;
            });
        client_fixture fixture;
        INFO(each.start << each.repeated.substr(0, 30));
        auto const started = std::chrono::steady_clock::now();
        auto const failure = failure_in(
            fixture.call(server.address(), "", std::chrono::seconds(1)));
        CHECK(failure.is_written);
        CHECK(std::chrono::steady_clock::now() - started <
              std::chrono::seconds(3));
        CHECK(fixture.pool.connection_count() == 0);
        CHECK(body_text(fixture.call(server.address())) == "next");
        auto const limit = std::chrono::steady_clock::now() + test_timeout;
        while (!is_closed && std::chrono::steady_clock::now() < limit)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        CHECK(is_closed);
    }
}

TEST_CASE("warm connections are opened in advance and used by calls")
{
    scripted_server server(echo);
    client_fixture fixture;
    fixture.pool.warm(server.address(), 2, 4);
    metric_name const opened{
        "connections_opened_total", "pool", "upstream", {}, {}};
    fixture.run_until([&]
                      { return fixture.driver_metrics.value_of(opened) == 2; });
    CHECK(fixture.pool.connection_count() == 2);
    CHECK(body_text(fixture.call(server.address(), "x")) == "x");
    CHECK(fixture.driver_metrics.value_of(opened) == 2);
    fixture.pool.close_idle();
    CHECK(fixture.pool.connection_count() == 0);
}
