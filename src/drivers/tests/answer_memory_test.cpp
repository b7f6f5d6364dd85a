// The memory of all responses that are being read together.
#include "client_fixture.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace plantaintally;
using namespace plantaintally::drivers;

TEST_CASE("bodies without end don't cost the response of another sender")
{
    constexpr std::uint64_t limit_bytes = 400'000;
    constexpr std::size_t endless_count = 20;
    std::string const whole_body(90'000, 'w');
    std::atomic<std::size_t> asked = 0;
    scripted_server faulty(
        [&](test_connection& connection, std::size_t)
        {
            connection.read_message();
            ++asked;
            connection.write(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            std::string const chunk =
                "400\r\n" + std::string(1024, 'x') + "\r\n";
            while (connection.write(chunk))
            {
            }
        });
    scripted_server sound(
        [&](test_connection& connection, std::size_t)
        {
            connection.read_message();
            std::string const text = ok_answer(whole_body);
            constexpr std::size_t piece_bytes = 8192;
            for (std::size_t at = 0; at < text.size(); at += piece_bytes)
            {
                connection.write(text.substr(at, piece_bytes));
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
        });
    client_fixture fixture(false, limit_bytes);
    fixture.pool.warm(faulty.address(), 0, endless_count);
    std::vector<call_result> endless;
    std::vector<call_result> whole;
    fixture.start(whole, sound.address(), "");
    for (std::size_t started = 0; started < endless_count; ++started)
    {
        fixture.start(endless, faulty.address(), "");
    }
    std::uint64_t most_bytes = 0;
    fixture.run_until(
        [&]
        {
            most_bytes = std::max(most_bytes, fixture.answers->read_bytes());
            return whole.size() == 1 && endless.size() == endless_count;
        });
    REQUIRE(whole.size() == 1);
    CHECK(body_text(whole.front()) == whole_body);
    CHECK(asked == endless_count);
    for (call_result const& each : endless)
    {
        CHECK(failure_in(each).is_written);
    }
    CHECK(fixture.answers->broken_off_count() > 0);
    CHECK(most_bytes <= limit_bytes);
    CHECK(fixture.answers->read_bytes() == 0);
    fixture.pool.close_idle();
}
