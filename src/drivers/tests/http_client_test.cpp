#include "client_fixture.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace plantaintally;
using namespace plantaintally::drivers;

namespace
{

// A server that answers the first request on each of its first connections
// once `connections` of them have one, and then takes requests on these
// without answering. Later connections are answered.
class falling_silent
{
public:
    explicit falling_silent(std::size_t connections) : silent(connections) {}

    void operator()(test_connection& connection, std::size_t number)
    {
        if (number >= this->silent)
        {
            echo(connection, number);
            return;
        }
        auto const first = connection.read_message();
        ++this->waiting;
        while (this->waiting < this->silent)
        {
            std::this_thread::yield();
        }
        connection.write(ok_answer(body_of(first)));
        connection.read_all();
    }

private:
    std::size_t silent;
    std::atomic<std::size_t> waiting = 0;
};

// Opens this many connections, which are idle afterwards.
void open_idle(client_fixture& fixture,
               std::string const& address,
               std::size_t count)
{
    std::vector<call_result> results;
    for (std::size_t number = 0; number < count; ++number)
    {
        fixture.start(results, address, "x");
    }
    fixture.run_until([&] { return results.size() == count; });
    REQUIRE(results.size() == count);
    REQUIRE(fixture.pool.connection_count() == count);
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

TEST_CASE("idle connections are dropped after one of them proved silent")
{
    falling_silent script(2);
    scripted_server server(std::ref(script));
    client_fixture fixture;
    open_idle(fixture, server.address(), 2);
    auto const failed =
        failure_in(fixture.call(server.address(), "lost", short_timeout));
    CHECK(failed.failure == attempt_failure::timed_out);
    CHECK(failed.is_silent);
    CHECK(fixture.pool.connection_count() == 0);
    CHECK(body_text(fixture.call(
              server.address(), "next", std::chrono::seconds(1))) == "next");
    fixture.pool.close_idle();
}

TEST_CASE("a connection that was heard from during a slow request is kept")
{
    std::atomic<bool> may_answer = false;
    scripted_server server(
        [&](test_connection& connection, std::size_t number)
        {
            for (auto request = connection.read_message(); !request.empty();
                 request = connection.read_message())
            {
                while (body_of(request) == "slow" && !may_answer)
                {
                    std::this_thread::yield();
                }
                connection.write(ok_answer(std::to_string(number)));
            }
        });
    client_fixture fixture;
    std::vector<call_result> results;
    fixture.start(results, server.address(), "slow", short_timeout);
    fixture.run_until([&] { return server.connection_count() == 1; });
    CHECK(body_text(fixture.call(server.address())) == "1");
    fixture.run_until([&] { return !results.empty(); });
    REQUIRE(results.size() == 1);
    CHECK(failure_in(results.front()).is_silent);
    CHECK(body_text(fixture.call(server.address())) == "1");
    may_answer = true;
    fixture.pool.close_idle();
}

TEST_CASE("idle connections are dropped after the kernel gave one up")
{
    std::atomic<bool> is_done = false;
    std::atomic<std::size_t> waiting = 0;
    // Reads no second request, so that the kernel's time-out for data that
    // can't be delivered ends the connection.
    scripted_server server(
        [&](test_connection& connection, std::size_t)
        {
            auto const first = connection.read_message();
            ++waiting;
            while (waiting < 2)
            {
                std::this_thread::yield();
            }
            connection.write(ok_answer(body_of(first)));
            while (!is_done)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
        });
    client_fixture fixture;
    open_idle(fixture, server.address(), 2);
    std::string const body(64U << 20U, 'x');
    auto const failed = failure_in(fixture.call(server.address(), body));
    CHECK(failed.failure == attempt_failure::closed_after_write);
    CHECK(failed.is_silent);
    CHECK(fixture.pool.connection_count() == 0);
    is_done = true;
}

TEST_CASE("a connection that the other side closes is not silent")
{
    scripted_server server(
        [&](test_connection& connection, std::size_t)
        {
            auto const request = connection.read_message();
            connection.write(ok_answer(body_of(request)));
            connection.read_message();
        });
    client_fixture fixture;
    open_idle(fixture, server.address(), 1);
    auto const failed = failure_in(fixture.call(server.address(), "x"));
    CHECK(failed.failure == attempt_failure::closed_after_write);
    CHECK(!failed.is_silent);
}
