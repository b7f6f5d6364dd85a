// Responses that the HTTP library reads but that no client may use.
#include "client_fixture.hpp"

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

} // namespace

TEST_CASE("a response with a status outside of the classes is malformed")
{
    std::string const next = named_answer(200, "1");
    for (std::string const status : {"000", "001", "099", "600", "999"})
    {
        std::string const start =
            "HTTP/1.1 " + status + " X\r\nRequest-Id: 1\r\n";
        for (auto const& pieces : std::vector<std::vector<std::string>>{
                 {start + "Content-Length: 4\r\n\r\ndone"},
                 {start + "Content-Length: 0\r\n\r\n"},
                 {start + "\r\n"},
                 {start + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
                 // A body, or a second response, that looks like an answer.
                 {start + "Content-Length: " + std::to_string(next.size()) +
                      "\r\n\r\n",
                  next},
                 {start + "Content-Length: 0\r\n\r\n" + next}})
        {
            INFO(pieces.front());
            auto const failed = failure_in(receive(pieces));
            CHECK(failed.failure == attempt_failure::malformed_answer);
            CHECK(failed.is_written);
        }
    }
}
