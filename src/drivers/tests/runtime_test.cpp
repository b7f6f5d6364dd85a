#include "driven_node.hpp"
#include "drivers/internal/control_link.hpp"

#include "codec/control_codec.hpp"
#include "codec/trace_codec.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace plantaintally;
using namespace plantaintally::drivers;

namespace
{

constexpr attempt_id first_attempt{11};
constexpr std::string_view booking_request =
    "POST /swap HTTP/1.1\r\nHost: duty-desk\r\nIdempotency-Key: k1\r\n"
    "X-Request-Id: t1\r\nX-Passed: yes\r\nPlantaintally-Hop: [\"x\"]\r\n"
    "Content-Length: 4\r\n\r\nbody";

dispatch_request dispatch_to(std::string address, exchange_id exchange)
{
    dispatch_request effect;
    effect.attempt = first_attempt;
    effect.exchange = exchange;
    effect.upstream_address = std::move(address);
    effect.trace_id = "t1";
    effect.time_left = std::chrono::milliseconds(900);
    effect.timeout = test_timeout;
    return effect;
}

// Dispatches callers' requests to the upstream and forwards its responses.
struct upstream_reducer
{
    std::string upstream_address;
    exchange_id exchange;

    effects operator()(event const& happened)
    {
        if (auto const* const arrived = std::get_if<request_arrived>(&happened))
        {
            this->exchange = arrived->exchange;
            return {warm_connections{this->upstream_address, 0, 4},
                    dispatch_to(this->upstream_address, arrived->exchange)};
        }
        if (auto const* const ended = std::get_if<attempt_answered>(&happened))
        {
            hop_report report;
            report.outcome = verdict::ran;
            report.attempts = 1;
            return {answer_from_attempt{this->exchange, ended->attempt, report},
                    release_attempt{ended->attempt}};
        }
        return {};
    }
};

} // namespace

TEST_CASE(
    "an upstream's response is forwarded completely, with the node's headers")
{
    std::string received;
    scripted_server upstream(
        [&](test_connection& connection, std::size_t)
        {
            received = connection.read_message();
            connection.write("HTTP/1.1 201 Created\r\nX-Own: 1\r\n"
                             "Plantaintally-Verdict: not-run\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");
            connection.read_message();
        });
    driven_node node(upstream_reducer{upstream.address(), {}});
    test_connection caller(node.caller_address());
    caller.write(booking_request);
    auto const answer = caller.read_message();
    CHECK(answer.starts_with("HTTP/1.1 201 "));
    CHECK(body_of(answer) == "hello world");
    CHECK(header_of(answer, "X-Own") == "1");
    CHECK(header_of(answer, "X-Request-Id") == "t1");
    CHECK(header_of(answer, "Plantaintally-Verdict") == "ran");
    CHECK(header_of(answer, "Plantaintally-Attempts") == "1");
    CHECK(received.starts_with("POST /swap HTTP/1.1\r\n"));
    CHECK(body_of(received) == "body");
    CHECK(header_of(received, "X-Passed") == "yes");
    CHECK(header_of(received, "Idempotency-Key") == "k1");
    CHECK(header_of(received, "Plantaintally-Deadline-Ms") == "900");
    CHECK(header_of(received, "Plantaintally-Hop").empty());
    CHECK(node.metric("retained_answer_bytes") == "0");
}

TEST_CASE("a response to HEAD keeps its Content-Length and has no body")
{
    scripted_server upstream(
        [](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
            connection.read_message();
        });
    driven_node node(upstream_reducer{upstream.address(), {}});
    test_connection caller(node.caller_address());
    caller.write("HEAD /rota HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    auto const answer = caller.read_all();
    CHECK(header_of(answer, "Content-Length") == "77");
    CHECK(body_of(answer).empty());
}

TEST_CASE("an upstream's refusal to run a request is reported to the reducer")
{
    std::string verdict_line = "Plantaintally-Verdict: not-run\r\n";
    for (bool const is_refusal : {true, false})
    {
        scripted_server upstream(
            [&](test_connection& connection, std::size_t)
            {
                connection.read_message();
                connection.write("HTTP/1.1 503 Busy\r\n" +
                                 (is_refusal ? verdict_line : "") +
                                 "Content-Length: 0\r\n\r\n");
                connection.read_message();
            });
        driven_node node(upstream_reducer{upstream.address(), {}});
        test_connection caller(node.caller_address());
        caller.write(booking_request);
        CHECK(caller.read_message().starts_with("HTTP/1.1 503 "));
        CHECK(node.wait_for<attempt_answered>().is_upstream_refusal ==
              is_refusal);
    }
}

TEST_CASE("requests to a peer carry the hop context and return a hop report")
{
    driven_node peer_node(refuse_all);
    driven_node node(
        [&](event const& happened) -> effects
        {
            auto const* const arrived = std::get_if<request_arrived>(&happened);
            if (arrived == nullptr)
            {
                return {};
            }
            forward_request effect;
            effect.attempt = first_attempt;
            effect.exchange = arrived->exchange;
            effect.peer_address = peer_node.peer_address();
            effect.hop.rank = "booking";
            effect.hop.retries_left = 2;
            effect.head = arrived->head;
            effect.head.time_left = std::chrono::milliseconds(700);
            effect.timeout = test_timeout;
            return {effect};
        });
    test_connection caller(node.caller_address());
    caller.write(booking_request);
    auto const arrived = peer_node.wait_for<request_arrived>();
    CHECK(arrived.source == request_source::peer);
    CHECK(arrived.head.trace_id == "t1");
    CHECK(arrived.head.service == "duty-desk");
    CHECK(arrived.head.caller == "127.0.0.1");
    CHECK(arrived.head.idempotency_key == "k1");
    CHECK(arrived.head.time_left == std::chrono::milliseconds(700));
    REQUIRE(arrived.hop);
    CHECK(arrived.hop->rank == "booking");
    auto const answered = node.wait_for<attempt_answered>();
    CHECK(answered.status == 503);
    REQUIRE(answered.report);
    CHECK(answered.report->outcome == verdict::not_run);
    CHECK(answered.report->reason == refusal::overload);
    CHECK(answered.report->retry_after == std::chrono::milliseconds(1'200));
}

TEST_CASE("a response beyond the retention limit is not retained")
{
    std::string const large(2U << 20U, 'x');
    scripted_server upstream(
        [&](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write(ok_answer(large));
            connection.read_message();
        });
    driven_node node(upstream_reducer{upstream.address(), {}},
                     [](settings::node_settings& config)
                     { config.limits.max_retained_bytes = 1U << 20U; });
    test_connection caller(node.caller_address());
    caller.write(booking_request);
    auto const failed = node.wait_for<attempt_failed>();
    CHECK(failed.failure == attempt_failure::incomplete_answer);
    CHECK(failed.is_written);
}

TEST_CASE("control messages reach the other node")
{
    driven_node receiver(refuse_all);
    once::message const question =
        once::key_question{"duty-desk/0", "k1", 3, 4};
    driven_node sender(
        [&](event const& happened) -> effects
        {
            if (!std::holds_alternative<timer_fired>(happened))
            {
                return {};
            }
            return {send_control{receiver.peer_address(), question},
                    send_control{"nonsense", question}};
        });
    auto const received = receiver.wait_for<control_received>();
    CHECK(received.envelope.sender.address == sender.peer_address());
    CHECK(received.envelope.sent_at == hybrid_time{7, 0});
    CHECK(received.envelope.message == control_message(question));
    CHECK(sender.metric(R"(control_dropped_total{reason="link-failed"})") ==
          "1");
}

// Guards against links that go silent without being closed: only the kernel's
// limits for unacknowledged data and unanswered probes end them.
TEST_CASE("control links are ended by the kernel when the peer stops answering")
{
    once::message const question =
        once::key_question{"duty-desk/0", "k1", 3, 4};
    driven_node receiver(refuse_all);
    driven_node sender(
        [&](event const& happened) -> effects
        {
            return std::holds_alternative<timer_fired>(happened)
                       ? effects{send_control{receiver.peer_address(),
                                              question}}
                       : effects{};
        });
    receiver.wait_for<control_received>();
    auto const control = control_endpoint(receiver.peer_address()).value();
    auto const option = [](int socket, int level, int name)
    {
        int value = 0;
        socklen_t size = sizeof(value);
        return ::getsockopt(socket, level, name, &value, &size) == 0 ? value
                                                                     : -1;
    };
    // The sockets of both ends of the link are in this process.
    int ends = 0;
    constexpr int max_descriptors = 256;
    for (int socket = 0; socket < max_descriptors; ++socket)
    {
        auto const port_of = [&](auto function)
        {
            sockaddr_in address{};
            socklen_t size = sizeof(address);
            return function(socket,
                            reinterpret_cast<sockaddr*>(&address),
                            &size) == 0
                       ? ntohs(address.sin_port)
                       : 0;
        };
        bool const is_connected = port_of(::getpeername) != 0;
        bool const is_end = port_of(::getpeername) == control.port ||
                            port_of(::getsockname) == control.port;
        if (!is_connected || !is_end)
        {
            continue;
        }
        ++ends;
        CHECK(option(socket, SOL_SOCKET, SO_KEEPALIVE) == 1);
        CHECK(option(socket, IPPROTO_TCP, TCP_KEEPIDLE) == 1);
        CHECK(option(socket, IPPROTO_TCP, TCP_KEEPINTVL) == 1);
        CHECK(option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT) == 1000);
    }
    CHECK(ends == 2);
}

TEST_CASE("a control link is opened again after the receiver has restarted")
{
    settings::endpoint address;
    std::atomic<std::uint64_t> number = 0;
    std::optional<driven_node> receiver;
    receiver.emplace(refuse_all,
                     [&](settings::node_settings& config)
                     { address = config.node.peer_address; });
    driven_node sender(
        [&](event const& happened) -> effects
        {
            if (!std::holds_alternative<timer_fired>(happened))
            {
                return {};
            }
            once::message const question =
                once::key_question{"duty-desk/0", "k1", ++number, 4};
            return {send_control{settings::to_string(address), question},
                    wake_at{instant{}}};
        });
    receiver->wait_for<control_received>();
    receiver.reset();
    receiver.emplace(refuse_all,
                     [&](settings::node_settings& config)
                     { config.node.peer_address = address; });
    receiver->wait_for<control_received>(3);
    CHECK(std::stoi(sender.metric("control_links_replaced_total")) >= 1);
}

// Guards against a link that stays with the connection to a former process,
// which takes messages although nobody reads them.
TEST_CASE("a renewed control link moves to the process that listens now")
{
    settings::endpoint address;
    std::optional<driven_node> receiver;
    receiver.emplace(refuse_all,
                     [&](settings::node_settings& config)
                     { address = config.node.peer_address; });
    receiver.reset();
    boost::asio::io_context io;
    auto const control = control_endpoint(settings::to_string(address)).value();
    boost::asio::ip::tcp::acceptor former(
        io, {boost::asio::ip::make_address(control.host), control.port});
    std::atomic<bool> is_renewing = false;
    driven_node sender(
        [&](event const& happened) -> effects
        {
            if (!std::holds_alternative<timer_fired>(happened))
            {
                return {};
            }
            // So few messages never fill the unread connection, which the
            // kernel would end.
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            effects requested;
            if (is_renewing)
            {
                requested.push_back(renew_link{settings::to_string(address)});
            }
            once::message const question =
                once::key_question{"duty-desk/0", "k1", 3, 4};
            requested.push_back(
                send_control{settings::to_string(address), question});
            requested.push_back(wake_at{instant{}});
            return requested;
        });
    auto connection = former.accept();
    std::array<char, 8> const greeting{0, 'S', 'P', 0, 0, 0x51, 0, 0};
    boost::asio::write(connection, boost::asio::buffer(greeting));
    std::array<char, 64> received{};
    boost::asio::read(connection, boost::asio::buffer(received));
    former.close();
    receiver.emplace(refuse_all,
                     [&](settings::node_settings& config)
                     { config.node.peer_address = address; });
    is_renewing = true;
    receiver->wait_for<control_received>(3);
    CHECK(std::stoi(sender.metric("control_links_replaced_total")) >= 1);
}

// Guards against messages that a paused process loses because its peers renew
// their links to it, which it can't accept until it goes on.
TEST_CASE("a control link stays in use while its renewal is not answered")
{
    boost::asio::io_context io;
    std::uint16_t const port = find_free_port_pair();
    std::string const address = "127.0.0.1:" + std::to_string(port);
    auto const control = control_endpoint(address).value();
    boost::asio::ip::tcp::acceptor paused(
        io, {boost::asio::ip::make_address(control.host), control.port});
    std::atomic<int> sent = 0;
    driven_node sender(
        [&](event const& happened) -> effects
        {
            if (!std::holds_alternative<timer_fired>(happened))
            {
                return {};
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            ++sent;
            once::message const question =
                once::key_question{"duty-desk/0", "k1", 3, 4};
            return {renew_link{address},
                    send_control{address, question},
                    wake_at{instant{}}};
        });
    auto connection = paused.accept();
    std::array<char, 8> const greeting{0, 'S', 'P', 0, 0, 0x51, 0, 0};
    boost::asio::write(connection, boost::asio::buffer(greeting));
    // Longer than a renewal waits for its greeting.
    constexpr int messages = 75;
    while (sent < messages)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    constexpr std::size_t min_message_bytes = 16;
    std::vector<char> received(messages * min_message_bytes);
    error_code ec;
    boost::asio::read(connection, boost::asio::buffer(received), ec);
    CHECK_FALSE(ec);
    CHECK(sender.metric("control_links_replaced_total").empty());
}

TEST_CASE("bytes that are not a control message are counted and dropped")
{
    driven_node node(refuse_all);
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    REQUIRE(nng_push0_open(&socket) == 0);
    auto const address = control_endpoint(node.peer_address());
    auto const url = "tcp://" + settings::to_string(address.value());
    REQUIRE(nng_dial(socket, url.c_str(), nullptr, 0) == 0);
    std::string garbage = "garbage";
    REQUIRE(nng_send(socket, garbage.data(), garbage.size(), 0) == 0);
    control_envelope const envelope{{"a:1", 1}, {}, once::message()};
    auto bytes = codec::encode_control(envelope);
    REQUIRE(nng_send(socket, bytes.data(), bytes.size(), 0) == 0);
    CHECK(node.wait_for<control_received>().envelope.sender.address == "a:1");
    nng_close(socket);
    CHECK(node.metric(R"(control_malformed_total{reason="undecodable"})") ==
          "1");
    CHECK(node.count<control_received>() == 1);
}

TEST_CASE("a call to an unreachable store has certainly not made a write")
{
    driven_node node(
        [](event const& happened) -> effects
        {
            if (!std::holds_alternative<timer_fired>(happened))
            {
                return {};
            }
            call_store effect;
            effect.call = {5};
            effect.client = plantaintally::store_client::once;
            effect.request = store_compare_and_set{"k", 0, "v", ""};
            return {effect};
        });
    auto const replied = node.wait_for<store_replied>();
    CHECK(replied.call == store_call_id{5});
    CHECK(replied.client == plantaintally::store_client::once);
    CHECK(replied.result == store_result(store_unavailable{false}));
}

TEST_CASE("a write whose response is lost leaves open whether it was made")
{
    scripted_server store(
        [](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.close();
        });
    auto const address = settings::parse_endpoint(store.address()).value();
    driven_node node(
        [](event const& happened) -> effects
        {
            if (!std::holds_alternative<timer_fired>(happened))
            {
                return {};
            }
            call_store effect;
            effect.request = store_compare_and_set{"k", 0, "v", ""};
            return {effect};
        },
        [&](settings::node_settings& config)
        { config.platform.address = address; });
    CHECK(node.wait_for<store_replied>().result ==
          store_result(store_unavailable{true}));
}

TEST_CASE("setting the timer replaces its previous time")
{
    driven_node node(
        [count = 0](event const& happened) mutable -> effects
        {
            if (!std::holds_alternative<timer_fired>(happened) || ++count > 2)
            {
                return {};
            }
            return {wake_at{instant::max()}, wake_at{instant{}}};
        });
    node.wait_for<timer_fired>(3);
    CHECK(node.count<timer_fired>() == 3);
}

TEST_CASE(
    "a planned stop is reported once and completes the requests in flight")
{
    exchange_id waiting;
    auto const reduce = [&](event const& happened) -> effects
    {
        if (auto const* const arrived = std::get_if<request_arrived>(&happened))
        {
            waiting = arrived->exchange;
            return {};
        }
        if (std::holds_alternative<upstream_gone>(happened))
        {
            refuse_request refused{waiting, 503, "finished late", {}};
            return {refused, exit_process{}};
        }
        return {};
    };
    driven_node node(reduce, {}, true);
    test_connection idle(node.caller_address());
    test_connection caller(node.caller_address());
    caller.write(booking_request);
    node.wait_for<request_arrived>();
    node.request_stop();
    node.request_stop();
    node.wait_for<stop_requested>();
    test_connection local(node.local_address());
    local.write("POST /plantaintally/v1/gone HTTP/1.1\r\nHost: n\r\n"
                "Content-Length: 0\r\n\r\n");
    auto const answer = caller.read_message();
    CHECK(body_of(answer).find("finished late") != std::string::npos);
    CHECK(header_of(answer, "Connection") == "close");
    caller.close();
    local.read_all();
    node.join();
    CHECK(node.count<stop_requested>() == 1);
}

// Guards against a request that is passed on although the answer before it,
// which a slow caller is still reading, closes the connection.
TEST_CASE("a stopping node takes no request behind the answer that closes")
{
    constexpr std::size_t ample_bytes = 24U << 20U;
    exchange_id waiting;
    auto const reduce = [&](event const& happened) -> effects
    {
        if (auto const* const arrived = std::get_if<request_arrived>(&happened))
        {
            waiting = arrived->exchange;
            return {};
        }
        if (std::holds_alternative<upstream_gone>(happened))
        {
            return {refuse_request{
                waiting, 503, std::string(ample_bytes, 'x'), {}}};
        }
        return std::holds_alternative<upstream_drain_requested>(happened)
                   ? effects{exit_process{}}
                   : effects{};
    };
    driven_node node(reduce, {}, true);
    auto const call_locally = [&](std::string const& name)
    {
        test_connection local(node.local_address());
        local.write("POST /plantaintally/v1/" + name +
                    " HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n");
        return local.read_message();
    };
    test_connection caller(node.caller_address());
    caller.write(booking_request);
    node.wait_for<request_arrived>();
    node.request_stop();
    node.wait_for<stop_requested>();
    CHECK(call_locally("gone").starts_with("HTTP/1.1 200 "));
    caller.write(booking_request);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    auto const answer = caller.read_message();
    CHECK(header_of(answer, "Connection") == "close");
    CHECK(body_of(answer).size() > ample_bytes);
    CHECK(caller.read_all().empty());
    CHECK(node.count<request_arrived>() == 1);
    call_locally("drain");
    node.join();
}

TEST_CASE("every event is recorded and can be decoded")
{
    auto const file =
        "trace_" + std::to_string(find_free_port_pair()) + ".jsonl";
    {
        driven_node node(refuse_all,
                         [&](settings::node_settings& config)
                         { config.trace.file = file; });
        test_connection caller(node.caller_address());
        caller.write(booking_request);
        caller.read_message();
    }
    std::ifstream lines(file);
    std::string line;
    std::vector<event> read;
    while (std::getline(lines, line))
    {
        auto const recorded = codec::decode_event(line);
        REQUIRE(recorded.has_value());
        read.push_back(recorded.value().happened);
    }
    std::remove(file.c_str());
    REQUIRE(read.size() >= 3);
    CHECK(std::holds_alternative<timer_fired>(read.front()));
    CHECK(std::get<request_arrived>(read[1]).head.trace_id == "t1");
    CHECK(std::holds_alternative<stop_requested>(read.back()));
}

TEST_CASE("an exception from the reducer is counted and the node keeps running")
{
    driven_node node(
        [](event const& happened) -> effects
        {
            if (std::holds_alternative<upstream_gone>(happened))
            {
                throw std::runtime_error("broken rule");
            }
            return refuse_all(happened);
        });
    test_connection local(node.local_address());
    local.write("POST /plantaintally/v1/gone HTTP/1.1\r\nHost: n\r\n"
                "Content-Length: 0\r\n\r\n");
    CHECK(local.read_message().starts_with("HTTP/1.1 200 "));
    test_connection caller(node.caller_address());
    caller.write(booking_request);
    CHECK(caller.read_message().starts_with("HTTP/1.1 503 "));
    CHECK(node.metric("reducer_failures_total") == "1");
}
