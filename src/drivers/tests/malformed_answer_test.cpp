// Responses that the HTTP library reads but that no client may use.
#include "client_fixture.hpp"
#include "drivers/dialect.hpp"

#include <string>
#include <thread>
#include <vector>

using namespace plantaintally;
using namespace plantaintally::drivers;

namespace
{

constexpr duration answer_timeout = std::chrono::seconds(1);

// Sends the pieces as the response to request "1", one after the other, and
// keeps the connection open.
call_result receive(std::vector<std::string> const& pieces)
{
    scripted_server server(
        [&](test_connection& connection, std::size_t)
        {
            connection.read_message();
            for (std::string const& piece : pieces)
            {
                connection.write(piece);
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            connection.read_all();
        });
    client_fixture fixture(true);
    fixture.expect_answer_to("1");
    auto result = fixture.call(server.address(), "1", answer_timeout);
    CHECK(server.connection_count() == 1);
    fixture.pool.close_idle();
    return result;
}

std::string head_with(std::string const& line)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n" + line +
           "\r\nContent-Length: 4\r\n\r\n";
}

// The bytes that must not be part of a field's name: white space and control
// bytes.
std::string blanks_and_controls()
{
    constexpr char delete_byte = 0x7f;
    std::string bytes;
    for (char byte = 0; byte <= ' '; ++byte)
    {
        bytes += byte;
    }
    return bytes + delete_byte;
}

// Returns this field line with one byte inserted at each place of its name.
std::vector<std::string> lines_with(char byte, std::string const& line)
{
    std::vector<std::string> lines;
    for (std::size_t place :
         {std::size_t{0}, line.find(':') / 2, line.find(':')})
    {
        lines.push_back(line);
        lines.back().insert(place, 1, byte);
    }
    return lines;
}

} // namespace

TEST_CASE("a response with a status outside of the classes is malformed")
{
    std::string const empty_body = "Content-Length: 0\r\n\r\n";
    std::string const next = named_answer(200, "1");
    for (std::string const status : {"000", "001", "099", "600", "999"})
    {
        std::string const start =
            "HTTP/1.1 " + status + " X\r\nRequest-Id: 1\r\n";
        for (auto const& pieces : std::vector<std::vector<std::string>>{
                 {start + "Content-Length: 4\r\n\r\ndone"},
                 {start + empty_body},
                 {start + "\r\n"},
                 {start + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
                 // A body, or a second response, that looks like an answer.
                 {start + "Content-Length: " + std::to_string(next.size()) +
                      "\r\n\r\n",
                  next},
                 {start + empty_body, next},
                 {std::string(start).append(empty_body).append(next)}})
        {
            INFO(pieces.front());
            auto const failed = failure_in(receive(pieces));
            CHECK(failed.failure == attempt_failure::malformed_answer);
            CHECK(failed.is_written);
        }
    }
}

TEST_CASE("a response with a blank or control byte in a field's name is "
          "malformed")
{
    for (char const byte : blanks_and_controls())
    {
        for (std::string const field : {"X-Note: 1", "Content-Length: 2"})
        {
            for (std::string const& line : lines_with(byte, field))
            {
                INFO(static_cast<int>(byte) << " in " << line);
                auto const failed =
                    failure_in(receive({head_with(line) + "done"}));
                CHECK(failed.failure == attempt_failure::malformed_answer);
                CHECK(failed.is_written);
            }
        }
    }
}

TEST_CASE("a response with a continued field line is malformed")
{
    // A line that begins with a blank continues the field before it (RFC 9112,
    // section 5.2), whatever it looks like.
    std::string const start = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n";
    for (std::string const line : {"X-Note: 1\r\n Content-Length: 4",
                                   "X-Note: 1\r\n\tContent-Length: 4",
                                   "X-Note:\r\n Content-Length: 4",
                                   "X-Note:\r\n\t\r\n Content-Length: 4",
                                   "X-Note: 1\r\n  \r\nContent-Length: 4",
                                   "Content-Length:\r\n 4",
                                   "Transfer-Encoding:\r\n chunked"})
    {
        std::string const text =
            start + line + "\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
        INFO(line);
        CHECK(failure_in(receive({text})).failure ==
              attempt_failure::malformed_answer);
        // Cut within the line and behind it.
        for (std::size_t const cut :
             {start.size() + 9, start.size() + line.size() + 2})
        {
            CHECK(failure_in(receive({text.substr(0, cut), text.substr(cut)}))
                      .failure == attempt_failure::malformed_answer);
        }
    }
    // White space around a value is no continuation.
    CHECK(body_text(
              receive({start + "X-Note: \t 1 2 \t\r\nX-Empty: \r\nX-None:\r\n"
                               "Content-Length:4\r\n\r\ndone"})) == "done");
}

TEST_CASE("the trailers of a response are no headers")
{
    std::string const start = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "4\r\ndone\r\n0\r\n";
    auto const result = receive({start + "X-Note: 1\r\n\r\n"});
    CHECK(body_text(result) == "done");
    auto const* const received = std::get_if<answer>(&result);
    REQUIRE(received != nullptr);
    CHECK(find_header(received->headers, "X-Note").empty());
    CHECK(find_header(received->headers, "Request-Id") == "1");
    // A trailer doesn't name the request in the place of the head.
    std::string unnamed = start + "Request-Id: 1\r\n\r\n";
    unnamed.erase(unnamed.find("Request-Id"),
                  std::string("Request-Id: 1\r\n").size());
    CHECK(failure_in(receive({unnamed})).failure ==
          attempt_failure::malformed_answer);
    for (std::string const trailer : {"X Note: 1", "X-Note: 1\r\n X-Other: 2"})
    {
        INFO(trailer);
        CHECK(failure_in(receive({start + trailer + "\r\n\r\n"})).failure ==
              attempt_failure::malformed_answer);
    }
}
