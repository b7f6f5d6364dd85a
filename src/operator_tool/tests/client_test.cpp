// Replies that a faulty node sends to the operators' tool.
#include "drivers/tests/scripted_server.hpp"
#include "operator_tool/client.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace plantaintally;
using namespace plantaintally::operator_tool;
using drivers::scripted_server;
using drivers::test_connection;

namespace
{

constexpr auto reply_timeout = std::chrono::seconds(5);

std::string const reply_body = R"({"status":"ok","message":"done"})";

// Sends a command that is replied to with this text, after which `repeated`
// follows without end unless it is empty.
result<command_reply> send(std::string const& start,
                           std::string const& repeated = {})
{
    scripted_server node(
        [&](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write(start);
            while (!repeated.empty() && connection.write(repeated))
            {
            }
        });
    return send_command(node.address(), "show work", reply_timeout);
}

std::string reply_with(std::string const& status_line,
                       std::string const& lines = {})
{
    return status_line + "\r\n" + lines +
           "Content-Length: " + std::to_string(reply_body.size()) + "\r\n\r\n" +
           reply_body;
}

} // namespace

TEST_CASE("a whole reply is read")
{
    auto const reply = send(reply_with("HTTP/1.1 200 OK"));
    REQUIRE(reply);
    CHECK(reply.value().message == "done");
}

TEST_CASE("a reply whose connection is reset is no reply")
{
    scripted_server node(
        [](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write("HTTP/1.1 200 OK\r\n\r\n" + reply_body);
            connection.reset();
        });
    auto const reply = send_command(node.address(), "show work", reply_timeout);
    REQUIRE_FALSE(reply);
    CHECK(reply.error().code == errc::io_failure);
}

TEST_CASE("a reply with a status outside of the classes is malformed")
{
    for (std::string const status : {"000", "099", "600"})
    {
        INFO(status);
        auto const reply = send(reply_with("HTTP/1.1 " + status + " X"));
        REQUIRE_FALSE(reply);
        CHECK(reply.error().code == errc::io_failure);
    }
}

TEST_CASE("a reply with a blank or control byte in a field's name is malformed")
{
    for (std::string const& line : drivers::malformed_field_lines())
    {
        INFO(line);
        auto const reply = send(reply_with("HTTP/1.1 200 OK", line));
        REQUIRE_FALSE(reply);
        CHECK(reply.error().code == errc::io_failure);
    }
}

TEST_CASE("a reply without end fails at its limit")
{
    std::string const bytes(64U << 10U, 'x');
    for (std::string const start :
         {"HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n\r\n"})
    {
        INFO(start);
        auto const reply = send(start, bytes);
        REQUIRE_FALSE(reply);
        CHECK(reply.error().code == errc::io_failure);
    }
}
