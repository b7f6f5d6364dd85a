// A reset during an upload is never taken for the end of a response that only
// the end of the connection delimits.
#include "busy_threads.hpp"
#include "client_fixture.hpp"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

using namespace plantaintally;
using namespace plantaintally::drivers;

namespace
{

// More than the sockets on the way can buffer while the upstream doesn't read.
constexpr std::size_t upload_bytes = 16U << 20U;

std::string const unframed_head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n";

void wait_for(std::atomic<bool> const& condition)
{
    auto const limit = std::chrono::steady_clock::now() + test_timeout;
    while (!condition && std::chrono::steady_clock::now() < limit)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    REQUIRE(condition);
}

// Returns the result of an upload whose response arrives in two steps, each
// while the client's event loop is not running.
call_result
upload_in_steps(std::function<void(test_connection&)> const& begin_response,
                std::function<void(test_connection&)> const& end_response)
{
    std::atomic<bool> has_head = false;
    std::atomic<bool> may_begin = false;
    std::atomic<bool> has_begun = false;
    std::atomic<bool> may_end = false;
    std::atomic<bool> has_ended = false;
    std::atomic<bool> may_close = false;
    scripted_server server(
        [&](test_connection& connection, std::size_t)
        {
            connection.read_head();
            has_head = true;
            wait_for(may_begin);
            begin_response(connection);
            has_begun = true;
            wait_for(may_end);
            end_response(connection);
            has_ended = true;
            wait_for(may_close);
        });
    constexpr auto step = std::chrono::milliseconds(50);
    client_fixture fixture(true);
    fixture.expect_answer_to("1");
    std::vector<call_result> results;
    fixture.start(results, server.address(), std::string(upload_bytes, 'x'));
    while (!has_head)
    {
        fixture.io.run_for(step);
    }
    // Until the write waits for the upstream to read.
    fixture.io.run_for(step);
    may_begin = true;
    wait_for(has_begun);
    fixture.io.run_for(step);
    may_end = true;
    wait_for(has_ended);
    fixture.run_until([&] { return !results.empty(); });
    may_close = true;
    REQUIRE(results.size() == 1);
    CHECK(fixture.pool.connection_count() == 0);
    return results.front();
}

} // namespace

TEST_CASE("a response whose connection is reset during the upload is "
          "incomplete")
{
    auto const nothing = [](test_connection&) {
    };
    auto const part = [](test_connection& connection)
    {
        connection.write(unframed_head + "part");
    };
    auto const head = [](test_connection& connection)
    {
        connection.write(unframed_head);
    };
    auto const reset = [](test_connection& connection)
    {
        connection.reset();
    };
    auto const part_and_reset = [&](test_connection& connection)
    {
        part(connection);
        connection.reset();
    };
    for (auto const& [begin, end] :
         {std::pair<std::function<void(test_connection&)>,
                    std::function<void(test_connection&)>>{part, reset},
          {head, reset},
          {head, part_and_reset},
          {nothing, part_and_reset}})
    {
        auto const failed = failure_in(upload_in_steps(begin, end));
        CHECK(failed.failure == attempt_failure::incomplete_answer);
        CHECK(failed.is_written);
    }
}

TEST_CASE("a response that ends before the upload is complete without a reset")
{
    auto const whole = [](test_connection& connection)
    {
        connection.write(unframed_head + "whole");
    };
    auto const end = [](test_connection& connection)
    {
        connection.end_sending();
    };
    CHECK(body_text(upload_in_steps(whole, end)) == "whole");
    // The reset follows the end of the response, so that the write meets a
    // broken pipe.
    auto const end_and_reset = [](test_connection& connection)
    {
        connection.end_sending();
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        connection.reset();
    };
    CHECK(body_text(upload_in_steps(whole, end_and_reset)) == "whole");
}

TEST_CASE("a framed response is complete although the upload is reset")
{
    auto const framed = [](test_connection& connection)
    {
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
                         "Content-Length: 5\r\n\r\nwhole");
    };
    auto const reset = [](test_connection& connection)
    {
        connection.reset();
    };
    CHECK(body_text(upload_in_steps(framed, reset)) == "whole");
}

TEST_CASE("no moment of a reset during an upload completes the response")
{
    constexpr int tries = 150;
    for (bool const is_beside_load : {false, true})
    {
        busy_threads const load(is_beside_load ? busy_threads::one_per_core()
                                               : 0);
        std::atomic<int> step = 0;
        scripted_server server(
            [&](test_connection& connection, std::size_t)
            {
                connection.read_head();
                connection.write(unframed_head + "part");
                std::this_thread::sleep_for(
                    std::chrono::microseconds(20 * step.load()));
                connection.reset();
            });
        client_fixture fixture(true);
        fixture.expect_answer_to("1");
        std::string const upload(upload_bytes, 'x');
        for (step = 0; step < tries; ++step)
        {
            CHECK(status_of(fixture.call(server.address(), upload)) == 0);
        }
        CHECK(server.connection_count() == tries);
    }
}
