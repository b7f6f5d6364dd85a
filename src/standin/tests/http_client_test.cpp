// Broken answers to the client of the stand-ins.
#include "drivers/tests/scripted_server.hpp"
#include "standin/internal/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace plantaintally;
using namespace plantaintally::standin;
using drivers::scripted_server;
using drivers::test_connection;

namespace
{

constexpr auto answer_timeout = std::chrono::seconds(5);

boost::asio::awaitable<void>
run_call(http_client& client,
         std::string address,
         std::optional<result<http_response>>& outcome)
{
    http_request request(boost::beast::http::verb::get, "/", 11);
    request.set(boost::beast::http::field::host, "desk");
    outcome = co_await client.call(
        std::move(address), std::move(request), answer_timeout);
}

// Returns the outcome of a request for which the upstream runs this script.
result<http_response> call(scripted_server::script answer)
{
    scripted_server upstream(std::move(answer));
    boost::asio::io_context io;
    http_client client(io.get_executor());
    std::optional<result<http_response>> outcome;
    boost::asio::co_spawn(io,
                          run_call(client, upstream.address(), outcome),
                          boost::asio::detached);
    io.run();
    client.clear();
    REQUIRE(outcome);
    return *outcome;
}

// Returns the outcome of a request that is answered with this text, after which
// `repeated` follows without end unless it is empty.
result<http_response> answer_with(std::string const& start,
                                  std::string const& repeated = {})
{
    return call(
        [&](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write(start);
            while (!repeated.empty() && connection.write(repeated))
            {
            }
        });
}

} // namespace

TEST_CASE("a whole answer is read")
{
    auto const outcome =
        answer_with("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
    REQUIRE(outcome);
    CHECK(outcome.value().body() == "done");
}

TEST_CASE("an answer whose connection is reset is no answer")
{
    auto const outcome = call(
        [](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write("HTTP/1.1 200 OK\r\n\r\ndone");
            connection.reset();
        });
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == errc::io_failure);
}

TEST_CASE("an answer with a status outside of the classes is malformed")
{
    for (std::string const status : {"000", "099", "600"})
    {
        INFO(status);
        auto const outcome = answer_with("HTTP/1.1 " + status +
                                         " X\r\nContent-Length: 4\r\n\r\ndone");
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().code == errc::io_failure);
    }
}

TEST_CASE("an answer with a blank or control byte in a field's name is "
          "malformed")
{
    for (std::string const& line : drivers::malformed_field_lines())
    {
        INFO(line);
        auto const outcome = answer_with("HTTP/1.1 200 OK\r\n" + line +
                                         "Content-Length: 4\r\n\r\ndone");
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().code == errc::io_failure);
    }
}

TEST_CASE("an answer without end fails at its limit")
{
    std::string const bytes(64U << 10U, 'x');
    for (std::string const start :
         {"HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n\r\n"})
    {
        INFO(start);
        auto const outcome = answer_with(start, bytes);
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().code == errc::io_failure);
    }
}
