#include "driven_node.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <future>
#include <iterator>
#include <optional>
#include <sstream>

using namespace plantaintally;
using namespace plantaintally::drivers;

namespace
{

constexpr std::string_view plain_request =
    "GET /rota HTTP/1.1\r\nHost: rota-board\r\n\r\n";

std::string send_request(std::string const& address, std::string_view request)
{
    test_connection connection(address);
    connection.write(request);
    return connection.read_message();
}

bool has_status(std::string const& message, int status)
{
    return message.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

void await_metric(driven_node& node,
                  std::string const& line_prefix,
                  std::string_view value)
{
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    while (node.metric(line_prefix) != value &&
           std::chrono::steady_clock::now() < end)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(node.metric(line_prefix) == value);
}

constexpr std::string_view head_with_expectation =
    "PUT /rota HTTP/1.1\r\nHost: rota-board\r\nContent-Length: 5\r\n"
    "Expect: 100-continue\r\n\r\n";

// Refuses the first request when the upstream leaves, and later requests at
// once.
class first_request_holder
{
public:
    explicit first_request_holder(std::string first_detail)
        : detail(std::move(first_detail))
    {
    }

    effects operator()(event const& happened)
    {
        if (std::holds_alternative<upstream_gone>(happened) && this->held)
        {
            return {refuse_request{*this->held, 503, this->detail, {}}};
        }
        auto const* const arrived = std::get_if<request_arrived>(&happened);
        if (arrived != nullptr && !this->held)
        {
            this->held = arrived->exchange;
            return {};
        }
        return refuse_all(happened);
    }

    static void release(driven_node const& node)
    {
        auto const released =
            send_request(node.local_address(),
                         "POST /plantaintally/v1/gone HTTP/1.1\r\n"
                         "Host: node\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(has_status(released, 200));
    }

private:
    std::string detail;
    std::optional<exchange_id> held;
};

} // namespace

TEST_CASE("a refusal states its reason, its verdict and when to retry")
{
    driven_node node(refuse_all);
    auto const answer =
        send_request(node.caller_address(),
                     "GET /rota HTTP/1.1\r\nHost: rota-board\r\nX-Request-Id: "
                     "t1\r\n\r\n");
    CHECK(has_status(answer, 503));
    CHECK(header_of(answer, "X-Request-Id") == "t1");
    CHECK(header_of(answer, "Plantaintally-Verdict") == "not-run");
    CHECK(header_of(answer, "Plantaintally-Attempts") == "2");
    CHECK(header_of(answer, "Retry-After") == "2");
    CHECK(header_of(answer, "Content-Type") == "application/problem+json");
    CHECK(header_of(answer, "Plantaintally-Report").empty());
    CHECK(body_of(answer) ==
          R"({"detail":"too much work","reason":"overload","status":503,)"
          R"("title":"overload","type":"urn:plantaintally:overload",)"
          R"("verdict":"not-run"})");
}

TEST_CASE("a refusal to a peer carries the hop report")
{
    driven_node node(refuse_all);
    auto const answer =
        send_request(node.peer_address(),
                     "GET /rota HTTP/1.1\r\nHost: rota-board\r\n"
                     "Plantaintally-Hop: [\"\",\"\",9]\r\n\r\n");
    CHECK(header_of(answer, "Plantaintally-Report") ==
          R"(["not-run","overload",0,2,0,0,0,1200000,0,0])");
    auto const arrived = node.wait_for<request_arrived>();
    CHECK(arrived.source == request_source::peer);
    REQUIRE(arrived.hop);
    CHECK(arrived.hop->urgency == 9);
}

TEST_CASE("a request reaches the reducer only after its body is complete")
{
    driven_node node(refuse_all);
    test_connection connection(node.caller_address());
    connection.write("POST /swap HTTP/1.1\r\nHost: duty-desk\r\n"
                     "Content-Length: 5\r\n\r\nhal");
    CHECK(has_status(send_request(node.caller_address(), plain_request), 503));
    CHECK(node.count<request_arrived>() == 1);
    connection.write("f!");
    CHECK(has_status(connection.read_message(), 503));
    auto const arrived = node.wait_for<request_arrived>(2);
    CHECK(arrived.head.body_bytes == 5);
    CHECK(arrived.head.method == "POST");
}

TEST_CASE(
    "a body for which there is no room is refused before it is sent, and the "
    "next request finds room")
{
    driven_node node(refuse_all,
                     [](settings::node_settings& config)
                     {
                         config.limits.max_body_bytes = 1U << 20U;
                         config.limits.max_held_body_bytes = 1000;
                     });
    test_connection connection(node.caller_address());
    connection.write("POST /photo HTTP/1.1\r\nHost: archive\r\n"
                     "X-Request-Id: upload-1\r\n"
                     "Content-Length: 1001\r\n\r\n");
    auto const refused = connection.read_message();
    CHECK(has_status(refused, 503));
    CHECK(header_of(refused, "X-Request-Id") == "upload-1");
    CHECK(header_of(refused, "Plantaintally-Verdict") == "not-run");
    CHECK(header_of(refused, "Connection") == "close");
    CHECK_FALSE(header_of(refused, "Retry-After").empty());
    CHECK(node.count<request_arrived>() == 0);

    test_connection chunked(node.caller_address());
    chunked.write("POST /photo HTTP/1.1\r\nHost: archive\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
                  std::string(1001, 'x'));
    CHECK(has_status(chunked.read_message(), 503));
    CHECK(node.count<request_arrived>() == 0);

    test_connection fitting(node.caller_address());
    fitting.write("POST /photo HTTP/1.1\r\nHost: archive\r\n"
                  "Content-Length: 1000\r\n\r\n" +
                  std::string(1000, 'x'));
    CHECK(has_status(fitting.read_message(), 503));
    CHECK(node.wait_for<request_arrived>().head.body_bytes == 1000);
    CHECK(node.metric("held_body_bytes") == "0");
}

TEST_CASE("one connection serves sequential and pipelined requests")
{
    driven_node node(refuse_all);
    test_connection connection(node.caller_address());
    connection.write(std::string(plain_request) + std::string(plain_request));
    CHECK(has_status(connection.read_message(), 503));
    CHECK(has_status(connection.read_message(), 503));
    connection.write(plain_request);
    CHECK(has_status(connection.read_message(), 503));
    CHECK(node.count<request_arrived>() == 3);
}

TEST_CASE("pipelined requests are processed concurrently and answered in order")
{
    // Refuses the requests once both have arrived, the second one first.
    std::vector<exchange_id> arrived;
    driven_node node(
        [&](event const& happened) -> effects
        {
            auto const* const request = std::get_if<request_arrived>(&happened);
            if (request == nullptr)
            {
                return {};
            }
            arrived.push_back(request->exchange);
            if (arrived.size() < 2)
            {
                return {};
            }
            return {refuse_request{arrived[1], 503, "second", {}},
                    refuse_request{arrived[0], 503, "first", {}}};
        });
    test_connection connection(node.caller_address());
    connection.write(std::string(plain_request) + std::string(plain_request));
    CHECK(body_of(connection.read_message()).find("first") !=
          std::string::npos);
    CHECK(body_of(connection.read_message()).find("second") !=
          std::string::npos);
}

TEST_CASE("every pipelined request is reported when its caller disconnects")
{
    driven_node node([](event const&) { return effects(); });
    test_connection connection(node.caller_address());
    connection.write(std::string(plain_request) + std::string(plain_request));
    node.wait_for<request_arrived>(2);
    connection.reset();
    node.wait_for<caller_gone>(2);
    CHECK(node.count<caller_gone>() == 2);
}

TEST_CASE(
    "malformed input is refused and counted, and never reaches the reducer")
{
    driven_node node(refuse_all,
                     [](settings::node_settings& config)
                     {
                         config.limits.max_header_bytes = 2'000;
                         config.limits.max_body_bytes = 10;
                     });
    auto const address = node.caller_address();
    auto const expect_refusal = [&](std::string_view request, int status)
    {
        auto const answer = send_request(address, request);
        INFO(request.substr(0, 60));
        CHECK(has_status(answer, status));
        CHECK(header_of(answer, "Plantaintally-Verdict") == "not-run");
        CHECK(header_of(answer, "Content-Type") == "application/problem+json");
    };
    expect_refusal("NONSENSE\r\n\r\n", 400);
    expect_refusal("GET / HTTP/1.1\r\n\r\n", 400);
    expect_refusal("GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
                   400);
    expect_refusal("GET / HTTP/1.1\r\nHost: a\r\nX: " +
                       std::string(3'000, 'x') + "\r\n\r\n",
                   431);
    expect_refusal("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n"
                   "hello world",
                   413);
    expect_refusal(
        "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "b\r\nhello world\r\n0\r\n\r\n",
        413);
    CHECK(node.count<request_arrived>() == 0);
    CHECK(node.metric(R"(input_refused_total{listener="caller",)"
                      R"(reason="malformed"})") == "2");
    CHECK(node.metric(R"(input_refused_total{listener="caller",)"
                      R"(reason="bad-head"})") == "1");
    CHECK(node.metric(R"(input_refused_total{listener="caller",)"
                      R"(reason="body-too-large"})") == "2");
    CHECK(node.metric(R"(input_refused_total{listener="caller",)"
                      R"(reason="header-too-large"})") == "1");
}

TEST_CASE("requests that arrive too slowly are refused")
{
    driven_node node(refuse_all,
                     [](settings::node_settings& config)
                     {
                         config.limits.header_timeout =
                             std::chrono::milliseconds(50);
                         config.limits.body_timeout =
                             std::chrono::milliseconds(50);
                     });
    CHECK(has_status(send_request(node.caller_address(), "GET / HT"), 408));
    CHECK(has_status(send_request(node.caller_address(),
                                  "PUT / HTTP/1.1\r\nHost: a\r\n"
                                  "Content-Length: 5\r\n\r\nhal"),
                     408));
    CHECK(node.count<request_arrived>() == 0);
}

// Guards against a caller whose data is always ready, so that no read is ever
// pending when the body's time is over.
TEST_CASE("a body without end is cut off at its deadline")
{
    constexpr std::uint32_t ample_bytes = 1U << 30U;
    driven_node node(refuse_all,
                     [](settings::node_settings& config)
                     {
                         config.limits.max_body_bytes = ample_bytes;
                         config.limits.max_held_body_bytes = ample_bytes;
                         config.limits.body_timeout =
                             std::chrono::milliseconds(200);
                     });
    std::string chunks;
    for (int count = 0; count < 10'000; ++count)
    {
        chunks += "1\r\nx\r\n";
    }
    test_connection caller(node.caller_address());
    caller.write("PUT / HTTP/1.1\r\nHost: a\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
    auto const started = std::chrono::steady_clock::now();
    while (caller.write(chunks) && std::chrono::steady_clock::now() <
                                       started + std::chrono::seconds(10))
    {
    }
    CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(2));
    CHECK(node.count<request_arrived>() == 0);
}

TEST_CASE("an interim response does not enter the body of an earlier answer")
{
    constexpr std::size_t ample_bytes = 24U << 20U;
    driven_node node(first_request_holder(std::string(ample_bytes, 'x')));
    test_connection caller(node.caller_address());
    caller.write(plain_request);
    node.wait_for<request_arrived>();
    first_request_holder::release(node);
    // Until the first answer fills the sockets.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    caller.write(head_with_expectation);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    auto const first = caller.read_message();
    CHECK(has_status(first, 503));
    CHECK(first.find("100 Continue") == std::string::npos);
    CHECK(std::ranges::count(body_of(first), 'x') >=
          static_cast<std::ptrdiff_t>(ample_bytes));
    CHECK(has_status(caller.read_message(), 100));
    caller.write("rota!");
    CHECK(body_of(caller.read_message()).find("too much work") !=
          std::string::npos);
}

TEST_CASE("an interim response waits for the answers to earlier requests, and "
          "the body's time for the interim response")
{
    constexpr auto body_timeout = std::chrono::milliseconds(500);
    driven_node node(first_request_holder("first"),
                     [&](settings::node_settings& config)
                     { config.limits.body_timeout = body_timeout; });
    test_connection caller(node.caller_address());
    caller.write(plain_request);
    node.wait_for<request_arrived>();
    caller.write(head_with_expectation);
    std::this_thread::sleep_for(2 * body_timeout);
    first_request_holder::release(node);
    CHECK(body_of(caller.read_message()).find("first") != std::string::npos);
    CHECK(has_status(caller.read_message(), 100));
    caller.write("rota!");
    CHECK(body_of(caller.read_message()).find("too much work") !=
          std::string::npos);
    // The time of a body for which the interim response was sent is limited.
    caller.write(head_with_expectation);
    CHECK(has_status(caller.read_message(), 100));
    CHECK(has_status(caller.read_message(), 408));
}

TEST_CASE("a body that does not wait for its interim response is not held up")
{
    driven_node node(first_request_holder("first"),
                     [&](settings::node_settings& config) {
                         config.limits.body_timeout =
                             std::chrono::milliseconds(200);
                     });
    test_connection caller(node.caller_address());
    caller.write(plain_request);
    node.wait_for<request_arrived>();
    caller.write(head_with_expectation);
    caller.write("rota!");
    node.wait_for<request_arrived>(2);
    caller.write(std::string(head_with_expectation) + "rota!");
    node.wait_for<request_arrived>(3);
    // A body that has begun has to end in time.
    caller.write(std::string(head_with_expectation) + "ro");
    std::string const too_slow =
        R"(input_refused_total{listener="caller",reason="body-too-slow"})";
    await_metric(node, too_slow, "1");
    first_request_holder::release(node);
    CHECK(body_of(caller.read_message()).find("first") != std::string::npos);
    for (int request = 2; request <= 3; ++request)
    {
        CHECK(body_of(caller.read_message()).find("too much work") !=
              std::string::npos);
    }
    CHECK(has_status(caller.read_message(), 408));
}

TEST_CASE("a caller that leaves while its interim response waits is reported")
{
    driven_node node([](event const&) { return effects(); });
    test_connection caller(node.caller_address());
    caller.write(plain_request);
    node.wait_for<request_arrived>();
    caller.write(head_with_expectation);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    SECTION("by a reset")
    {
        caller.reset();
    }
    SECTION("by closing")
    {
        caller.close();
    }
    node.wait_for<caller_gone>();
    CHECK(node.count<caller_gone>() == 1);
    await_metric(node, R"(connections{listener="caller"})", "0");
}

TEST_CASE("a stopping node closes a connection whose interim response waits")
{
    first_request_holder holder("first");
    driven_node node(
        [&](event const& happened)
        {
            auto requested = holder(happened);
            if (std::holds_alternative<upstream_gone>(happened))
            {
                requested.push_back(exit_process{});
            }
            return requested;
        },
        {},
        true);
    test_connection caller(node.caller_address());
    caller.write(plain_request);
    node.wait_for<request_arrived>();
    caller.write(head_with_expectation);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    node.request_stop();
    node.wait_for<stop_requested>();
    first_request_holder::release(node);
    auto const first = caller.read_message();
    CHECK(body_of(first).find("first") != std::string::npos);
    CHECK(header_of(first, "Connection") == "close");
    CHECK(caller.read_all().empty());
    auto const left_at = std::chrono::steady_clock::now();
    caller.close();
    node.join();
    CHECK(std::chrono::steady_clock::now() - left_at < std::chrono::seconds(5));
}

TEST_CASE("idle connections are closed without a response")
{
    driven_node node(refuse_all,
                     [](settings::node_settings& config) {
                         config.limits.idle_timeout =
                             std::chrono::milliseconds(50);
                     });
    test_connection connection(node.caller_address());
    CHECK(connection.read_all().empty());
}

TEST_CASE(
    "a request within the idle time is read after a long turn of the event "
    "loop")
{
    constexpr auto idle_timeout = std::chrono::milliseconds(300);
    std::promise<void> is_late;
    driven_node node(
        [&](event const& happened)
        {
            auto const* const arrived = std::get_if<request_arrived>(&happened);
            if (arrived != nullptr && arrived->head.target == "/gate")
            {
                is_late.get_future().wait();
            }
            return refuse_all(happened);
        },
        [&](settings::node_settings& config)
        { config.limits.idle_timeout = idle_timeout; });
    test_connection gate(node.caller_address());
    test_connection kept(node.caller_address());
    kept.write(plain_request);
    REQUIRE(has_status(kept.read_message(), 503));
    gate.write("GET /gate HTTP/1.1\r\nHost: rota-board\r\n\r\n");
    node.wait_for<request_arrived>(2);
    kept.write(plain_request);
    std::this_thread::sleep_for(2 * idle_timeout);
    is_late.set_value();
    CHECK(has_status(kept.read_message(), 503));
}

TEST_CASE("connections beyond the limit are refused with a response")
{
    driven_node node(refuse_all,
                     [](settings::node_settings& config)
                     { config.limits.max_caller_connections = 1; });
    test_connection first(node.caller_address());
    first.write(plain_request);
    CHECK(has_status(first.read_message(), 503));
    test_connection second(node.caller_address());
    auto const answer = second.read_message();
    CHECK(has_status(answer, 503));
    CHECK(body_of(answer).find("too many connections") != std::string::npos);
    first.close();
    while (node.metric(R"(connections{listener="caller"})") != "0")
    {
        std::this_thread::yield();
    }
    CHECK(send_request(node.caller_address(), plain_request)
              .find("too much work") != std::string::npos);
}

TEST_CASE("busy connections don't delay the acceptance of waiting ones")
{
    constexpr std::size_t busy_count = 40;
    constexpr std::size_t waiting_count = 100;
    constexpr std::size_t pipelined_count = 100;
    std::promise<void> all_sent;
    std::size_t busy_arrivals = 0;
    std::size_t waiting_arrivals = 0;
    std::size_t busy_arrivals_before_last = 0;
    driven_node node(
        [&](event const& happened)
        {
            if (auto const* const arrived =
                    std::get_if<request_arrived>(&happened))
            {
                auto const& target = arrived->head.target;
                if (target == "/gate")
                {
                    all_sent.get_future().wait();
                }
                else if (target == "/busy")
                {
                    ++busy_arrivals;
                }
                else if (target == "/waiting" &&
                         ++waiting_arrivals == waiting_count)
                {
                    busy_arrivals_before_last = busy_arrivals;
                }
            }
            return refuse_all(happened);
        });
    std::deque<test_connection> busy;
    for (std::size_t i = 0; i < busy_count; ++i)
    {
        busy.emplace_back(node.caller_address());
        busy.back().write(plain_request);
        REQUIRE(has_status(busy.back().read_message(), 503));
    }
    test_connection gate(node.caller_address());
    gate.write("GET /gate HTTP/1.1\r\nHost: rota-board\r\n\r\n");
    node.wait_for<request_arrived>(busy_count + 1);

    // The event loop is blocked, so all of this waits for it.
    std::string pipelined;
    for (std::size_t i = 0; i < pipelined_count; ++i)
    {
        pipelined += "GET /busy HTTP/1.1\r\nHost: rota-board\r\n\r\n";
    }
    for (test_connection& each : busy)
    {
        REQUIRE(each.write(pipelined));
    }
    std::deque<test_connection> waiting;
    for (std::size_t i = 0; i < waiting_count; ++i)
    {
        waiting.emplace_back(node.caller_address());
        REQUIRE(waiting.back().write(
            "GET /waiting HTTP/1.1\r\nHost: rota-board\r\n\r\n"));
    }
    all_sent.set_value();
    for (test_connection& each : waiting)
    {
        CHECK(has_status(each.read_message(), 503));
    }
    for (test_connection& each : busy)
    {
        for (std::size_t i = 0; i < pipelined_count; ++i)
        {
            CHECK(has_status(each.read_message(), 503));
        }
    }
    CHECK(busy_arrivals_before_last < busy_count * pipelined_count / 2);
}

TEST_CASE("a caller that closes its connection is reported once")
{
    driven_node node([](event const&) { return effects(); });
    test_connection connection(node.caller_address());
    connection.write(plain_request);
    auto const arrived = node.wait_for<request_arrived>();
    connection.reset();
    CHECK(node.wait_for<caller_gone>().exchange == arrived.exchange);
}

TEST_CASE("the local listener validates the upstream's announcements")
{
    driven_node node(refuse_all);
    auto const post = [&](std::string const& path, std::string const& body)
    {
        return send_request(node.local_address(),
                            "POST /plantaintally/v1/" + path +
                                " HTTP/1.1\r\nHost: node\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" +
                                body);
    };
    CHECK(has_status(post("announce",
                          R"({"service":"duty-desk","slots":300,)"
                          R"("address":"127.0.0.1:8080","connections":1800,)"
                          R"("cold_start_ms":2000,"later_field":1})"),
                     200));
    CHECK(
        node.wait_for<upstream_announced>().announcement ==
        upstream_announcement{
            "duty-desk", "127.0.0.1:8080", 300, 1800, std::chrono::seconds(2)});
    for (auto const* const wrong :
         {"",
          "[]",
          R"({"service":"a"})",
          R"({"service":"a","address":"10.0.0.1:80","slots":1,)"
          R"("connections":1})",
          R"({"service":"a","address":"127.0.0.1:80","slots":0,)"
          R"("connections":1})",
          R"({"service":"a","address":"127.0.0.1:80","slots":1.5,)"
          R"("connections":1})"})
    {
        INFO(wrong);
        CHECK(has_status(post("announce", wrong), 400));
    }
    CHECK(node.count<upstream_announced>() == 1);
    CHECK(has_status(post("drain", ""), 200));
    node.wait_for<upstream_drain_requested>();
    CHECK(has_status(post("gone", ""), 200));
    node.wait_for<upstream_gone>();
    CHECK(has_status(post("nonsense", ""), 404));
    CHECK(has_status(post("command", R"({"text":7})"), 400));
}

TEST_CASE("an operator's command is answered when the reducer answers")
{
    driven_node node(
        [](event const& happened) -> effects
        {
            auto const* const asked = std::get_if<operator_command>(&happened);
            if (asked == nullptr)
            {
                return {};
            }
            return {answer_operator{
                asked->command, "ok", asked->text, {{"a"}, {{"1"}}}}};
        });
    auto const answer =
        send_request(node.local_address(),
                     "POST /plantaintally/v1/command HTTP/1.1\r\nHost: node\r\n"
                     "Content-Length: 21\r\n\r\n{\"text\":\"show ranks\"}");
    CHECK(body_of(answer) == R"({"columns":["a"],"message":"show ranks",)"
                             R"("rows":[["1"]],"status":"ok"})");
}

// Guards against a process that ends because another one uses the port of its
// operators' listener.
TEST_CASE("a node serves while the addresses of its operators are taken")
{
    std::optional<scripted_server> other_process;
    other_process.emplace([](test_connection&, std::size_t) {});
    std::string const taken = other_process->address();
    settings::endpoint metrics_address;
    driven_node node(refuse_all,
                     [&](settings::node_settings& config)
                     {
                         config.node.local_address =
                             settings::parse_endpoint(taken).value();
                         config.edge.report_address = settings::endpoint{
                             "127.0.0.1", find_free_port_pair()};
                         metrics_address = {"127.0.0.1", find_free_port_pair()};
                         config.edge.metrics_address = metrics_address;
                     });
    CHECK(has_status(send_request(node.caller_address(), plain_request), 503));
    std::string const ask_for_metrics =
        "GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n";
    CHECK(send_request(settings::to_string(metrics_address), ask_for_metrics)
              .find("listener_open_failures_total{listener=\"local\"}") !=
          std::string::npos);

    other_process.reset();
    auto const end = std::chrono::steady_clock::now() + test_timeout;
    bool is_open = false;
    while (!is_open && std::chrono::steady_clock::now() < end)
    {
        is_open = has_status(send_request(taken, ask_for_metrics), 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(is_open);
}

TEST_CASE("a stop ends a node whose operators' address is taken")
{
    scripted_server const other_process([](test_connection&, std::size_t) {});
    driven_node node(
        refuse_all,
        [&](settings::node_settings& config)
        {
            config.node.local_address =
                settings::parse_endpoint(other_process.address()).value();
            config.edge.report_address =
                settings::endpoint{"127.0.0.1", find_free_port_pair()};
        });
    CHECK(has_status(send_request(node.caller_address(), plain_request), 503));
    auto const asked_at = std::chrono::steady_clock::now();
    node.request_stop();
    node.join();
    CHECK(std::chrono::steady_clock::now() - asked_at <
          std::chrono::seconds(5));
}

// The listeners that requests and reports need are not optional.
TEST_CASE("a node does not start without the listeners of its service path")
{
    scripted_server const other_process([](test_connection&, std::size_t) {});
    auto const taken =
        settings::parse_endpoint(other_process.address()).value();
    auto const is_started = [](driven_node::tweak const& changes)
    {
        try
        {
            driven_node const node(refuse_all, changes);
        }
        catch (std::runtime_error const&)
        {
            return false;
        }
        return true;
    };
    CHECK_FALSE(is_started([&](settings::node_settings& config)
                           { config.node.caller_address = taken; }));
    CHECK_FALSE(is_started([&](settings::node_settings& config)
                           { config.node.local_address = taken; }));
    CHECK_FALSE(is_started([&](settings::node_settings& config)
                           { config.edge.report_address = taken; }));
    CHECK_FALSE(is_started([&](settings::node_settings& config)
                           { config.edge.ready_address = taken; }));
}

TEST_CASE("a listener keeps working after receiving arbitrary bytes")
{
    driven_node node(refuse_all);
    CHECK(rc::check(
        [&](std::string const& bytes)
        {
            auto const address = *rc::gen::element(node.caller_address(),
                                                   node.peer_address(),
                                                   node.local_address());
            auto const prefix = *rc::gen::element<std::string>(
                "", "GET / HTTP/1.1\r\nHost: a\r\n", "POST /plantaintally/");
            test_connection connection(address);
            connection.write(prefix + bytes);
            connection.close();
            auto const answer =
                send_request(node.caller_address(), plain_request);
            RC_ASSERT(has_status(answer, 503));
        }));
}

TEST_CASE("every metric of the drivers is documented")
{
    std::ifstream page("docs/METRICS.md");
    std::string const text(std::istreambuf_iterator<char>(page), {});
    driven_node node(refuse_all);
    send_request(node.caller_address(), plain_request);
    send_request(node.caller_address(), "NONSENSE\r\n\r\n");
    auto const metrics = send_request(
        node.local_address(), "GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n");
    std::istringstream lines(body_of(metrics));
    std::string const marker = "# TYPE plantaintally_";
    std::size_t names = 0;
    for (std::string line; std::getline(lines, line);)
    {
        if (!line.starts_with(marker))
        {
            continue;
        }
        auto const name =
            line.substr(marker.size(), line.rfind(' ') - marker.size());
        INFO(name);
        CHECK(text.find("`" + name + "`") != std::string::npos);
        ++names;
    }
    CHECK(names > 5);
}
