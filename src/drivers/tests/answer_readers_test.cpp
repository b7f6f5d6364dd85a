// Broken answers at every client of a node: of the upstream, of other nodes, of
// the store and of the upstream's health endpoint; and at its control link.
#include "driven_node.hpp"
#include "drivers/internal/control_link.hpp"

#include "codec/hop_headers.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <string_view>
#include <vector>

using namespace plantaintally;
using namespace plantaintally::drivers;

namespace
{

constexpr std::string_view request =
    "POST /swap HTTP/1.1\r\nHost: duty-desk\r\nX-Request-Id: t1\r\n"
    "Content-Length: 4\r\n\r\nbody";

std::string report_line()
{
    hop_report report;
    report.outcome = verdict::ran;
    auto const field = codec::encode_hop_report(report);
    return field.name + ": " + field.value + "\r\n";
}

// Answers that are broken in one way each. All would be proper ones otherwise,
// also from another node.
std::vector<std::string> broken_answers(std::string const& body)
{
    std::string const length =
        "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string const end = report_line() + length + "\r\n" + body;
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    std::vector<std::string> answers{
        // Not an interim answer before a proper one.
        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + ok + end,
        "HTTP/1.1 600 X\r\n" + end,
        ok + report_line() + "X-Note: 1\r\n " + length + "\r\n" + body,
        // Only the end of the connection delimits the body.
        ok + report_line() + "\r\n" + body};
    for (std::string const& line : malformed_field_lines())
    {
        answers.push_back(std::string(ok).append(line).append(end));
    }
    return answers;
}

// Writes the answer to one request and resets the connection.
scripted_server::script answer_with(std::string const& text)
{
    return [&text](test_connection& connection, std::size_t)
    {
        if (!connection.read_message().empty())
        {
            connection.write(text);
            connection.reset();
        }
    };
}

// A reducer that starts one attempt for each caller's request.
template <class MakeAttempt>
driven_node::reducer start_attempt(MakeAttempt make)
{
    return [make](event const& happened) -> effects
    {
        auto const* const arrived = std::get_if<request_arrived>(&happened);
        return arrived == nullptr ? effects{} : make(*arrived);
    };
}

void check_attempt_fails(driven_node& node)
{
    test_connection caller(node.caller_address());
    caller.write(request);
    CHECK(node.wait_for<attempt_failed>().is_written);
    CHECK(node.count<attempt_answered>() == 0);
}

} // namespace

TEST_CASE("a broken answer of the upstream is no answer")
{
    for (std::string const& text : broken_answers("whole"))
    {
        INFO(text);
        scripted_server upstream(answer_with(text));
        driven_node node(start_attempt(
            [&](request_arrived const& arrived) -> effects
            {
                dispatch_request effect;
                effect.attempt = attempt_id{11};
                effect.exchange = arrived.exchange;
                effect.upstream_address = upstream.address();
                effect.timeout = test_timeout;
                return {effect};
            }));
        check_attempt_fails(node);
    }
}

TEST_CASE("a broken answer of another node is no answer")
{
    for (std::string const& text : broken_answers("whole"))
    {
        INFO(text);
        scripted_server peer(answer_with(text));
        driven_node node(start_attempt(
            [&](request_arrived const& arrived) -> effects
            {
                forward_request effect;
                effect.attempt = attempt_id{11};
                effect.exchange = arrived.exchange;
                effect.peer_address = peer.address();
                effect.head = arrived.head;
                effect.timeout = test_timeout;
                return {effect};
            }));
        check_attempt_fails(node);
    }
}

TEST_CASE("a broken answer of the store leaves the call's outcome open")
{
    for (std::string const& text :
         broken_answers(R"({"key":"k","value":"v","revision":4})"))
    {
        INFO(text);
        scripted_server store(answer_with(text));
        auto const address = settings::parse_endpoint(store.address()).value();
        driven_node node(
            [](event const& happened) -> effects
            {
                if (!std::holds_alternative<timer_fired>(happened))
                {
                    return {};
                }
                call_store effect;
                effect.request = store_get{"k"};
                return {effect};
            },
            [&](settings::node_settings& config)
            { config.platform.address = address; });
        CHECK(node.wait_for<store_replied>().result ==
              store_result(store_unavailable{true}));
    }
}

TEST_CASE("a broken answer of the health endpoint is no hint")
{
    auto const texts = broken_answers(R"({"healthy":true})");
    std::atomic<std::size_t> answered = 0;
    scripted_server upstream(
        [&](test_connection& connection, std::size_t number)
        {
            connection.read_message();
            ++answered;
            connection.write(number < texts.size()
                                 ? texts[number]
                                 : ok_answer(R"({"healthy":true})"));
            connection.close();
        });
    driven_node node(refuse_all);
    test_connection announcer(node.local_address());
    std::string const announcement = R"({"service":"desk","address":")" +
                                     upstream.address() +
                                     R"(","slots":1,"connections":1})";
    announcer.write("POST /plantaintally/v1/announce HTTP/1.1\r\nHost: n\r\n"
                    "Content-Length: " +
                    std::to_string(announcement.size()) + "\r\n\r\n" +
                    announcement);
    REQUIRE(announcer.read_message().starts_with("HTTP/1.1 200"));
    CHECK(node.wait_for<health_hint>().is_healthy);
    // The first hint is that of the first proper answer.
    CHECK(answered == texts.size() + 1);
    CHECK(node.count<health_hint>() == 1);
}

TEST_CASE("a control message beyond the limit ends its link")
{
    using namespace std::string_view_literals;
    driven_node node(refuse_all);
    auto const address = control_endpoint(node.peer_address());
    test_connection link(settings::to_string(address.value()));
    // The greeting of a sender, then the length of a message of 1 TB.
    constexpr auto greeting = "\0SP\0\0\x50\0\0"sv;
    constexpr auto length = "\0\0\1\0\0\0\0\0"sv;
    link.write(greeting);
    link.write(length);
    std::string const bytes(64U << 10U, 'x');
    while (link.write(bytes))
    {
    }
    CHECK(node.metric(R"(control_malformed_total{reason="too-large"})") == "1");
    CHECK(node.count<control_received>() == 0);
}
