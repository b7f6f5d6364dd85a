#include "codec/trace_codec.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace plantaintally;
using codec::decode_event;
using codec::encode_event;

namespace
{

request_head sample_head()
{
    return {"trace-1",
            "bookings.example",
            "bookings",
            "POST",
            "/slots/7",
            "key-1",
            "10.0.0.9",
            duration(250'000),
            64};
}

std::vector<event> sample_events()
{
    hop_report report;
    report.reason = refusal::queue_full;
    report.key_home = "10.0.0.2:7001";
    hop_context hop;
    hop.rank = "booking";
    hop.is_probe = true;
    hop.service = "bookings";
    hop.route = route_terms{true, duration(7)};
    once::message const question = once::epoch_question{"bookings/0", 3};
    return {request_arrived{{4}, request_source::peer, sample_head(), hop},
            request_arrived{{5}, request_source::caller, {}, std::nullopt},
            caller_gone{{5}},
            attempt_answered{{6}, 200, report, true},
            attempt_failed{{6}, attempt_failure::malformed_answer, false},
            upstream_announced{{"maps", "127.0.0.1:8080", 75, 550, {}}},
            upstream_drain_requested{},
            upstream_gone{},
            upstream_reported{{3}, {"i-1", 7, 2}, upstream_phase::draining, {}},
            health_hint{false, 900},
            upstream_checked{{10}, "i-1"},
            control_received{{{"a:1", 2}, {3, 4}, question}},
            store_replied{{8}, store_client::once, store_entry{"k", "v", 9}},
            store_replied{{8}, store_client::once, store_unavailable{false}},
            operator_command{{9}, "show ranks"},
            timer_fired{},
            stop_requested{}};
}

} // namespace

TEST_CASE("a decoded event is encoded to the same line again")
{
    moment const at{instant(duration(5)), wall_time(duration(6))};
    for (event const& happened : sample_events())
    {
        auto const line = encode_event({at, happened});
        auto const decoded = decode_event(line);
        INFO(line);
        REQUIRE(decoded.has_value());
        CHECK(decoded.value().at == at);
        CHECK(decoded.value().happened.index() == happened.index());
        CHECK(encode_event(decoded.value()) == line);
        CHECK(line.find('\n') == std::string::npos);
    }
}

TEST_CASE("a recorded request keeps its head and hop context")
{
    auto const original = sample_events().front();
    auto const decoded = decode_event(encode_event({{}, original})).value();
    auto const& before = std::get<request_arrived>(original);
    auto const& after = std::get<request_arrived>(decoded.happened);
    CHECK(after.head == before.head);
    CHECK(after.hop == before.hop);
    CHECK(after.source == before.source);
}

TEST_CASE("a line that is not an event is reported")
{
    CHECK(decode_event("{").has_error());
    CHECK(decode_event(R"({"happened":{"kind":"nap"}})").error().message ==
          "recorded event: happened: unknown kind 'nap'");
}

TEST_CASE("an effect is encoded as one line with its kind")
{
    CHECK(codec::encode_effect(release_attempt{{7}}) ==
          R"({"attempt":7,"kind":"release_attempt"})");
}
