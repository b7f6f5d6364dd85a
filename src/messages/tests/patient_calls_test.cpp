#include "messages/patient_calls.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace plantaintally;
using namespace std::chrono_literals;

namespace
{

constexpr duration usual_timeout = 800ms;

// The calls of a part of the reducer, and the clock.
struct caller
{
    patient_calls calls;
    instant now{1000s};
    std::uint64_t last_call = 0;

    // Makes a call that the store answers after `latency`. Returns true if the
    // answer comes in time.
    bool is_answered(duration latency)
    {
        store_call_id const call{++this->last_call};
        auto const timeout =
            begin_patient_call(this->calls, call, usual_timeout, this->now);
        bool const is_in_time = latency < timeout;
        this->now += is_in_time ? latency : timeout;
        note_call_result(this->calls,
                         call,
                         is_in_time ? store_result(store_missing{})
                                    : store_result(store_unavailable{true}),
                         this->now);
        return is_in_time;
    }
};

} // namespace

// Guards against a store that is never heard because each of its answers comes
// after the timeout.
TEST_CASE("a store that is slower than the usual timeout is heard")
{
    auto const latency = GENERATE(
        duration(900ms), duration(2200ms), duration(6s), duration(15s));
    caller part;
    instant const begun = part.now;
    while (!part.is_answered(latency))
    {
        REQUIRE(part.now - begun < 32s);
    }
    // The following calls don't time out first.
    for (int call = 0; call < 5; ++call)
    {
        CHECK(part.is_answered(latency));
    }
}

TEST_CASE("a prompt answer restores the usual timeout")
{
    caller part;
    CHECK_FALSE(part.is_answered(10s));
    CHECK_FALSE(part.is_answered(10s));
    CHECK(part.is_answered(4ms));
    CHECK(begin_patient_call(
              part.calls, store_call_id{99}, usual_timeout, part.now) ==
          usual_timeout);
}

TEST_CASE("a rejected call does not lengthen the timeouts")
{
    caller part;
    for (std::uint64_t number = 1; number <= 5; ++number)
    {
        store_call_id const call{number};
        CHECK(begin_patient_call(part.calls, call, usual_timeout, part.now) ==
              usual_timeout);
        part.now += 4ms;
        CHECK_FALSE(note_call_result(
            part.calls, call, store_unavailable{true}, part.now));
    }
}

TEST_CASE("timeouts are bounded while the store is silent")
{
    caller part;
    for (int call = 0; call < 20; ++call)
    {
        instant const begun = part.now;
        CHECK_FALSE(part.is_answered(1h));
        CHECK(part.now - begun <= 16s);
    }
}

// Guards against lost answers that are waited for long after the store has
// begun to answer again.
TEST_CASE("a call that a later one has overtaken is given up")
{
    caller part;
    while (part.calls.min_timeout < 6s)
    {
        part.is_answered(1h);
    }
    begin_patient_call(part.calls, store_call_id{101}, usual_timeout, part.now);
    SECTION("not before the time of an answer has passed")
    {
        part.now += part.calls.min_timeout / 2;
        CHECK(take_overtaken_calls(part.calls, store_call_id{102}, part.now)
                  .empty());
    }
    SECTION("not by an earlier call")
    {
        part.now += part.calls.min_timeout;
        CHECK(take_overtaken_calls(part.calls, store_call_id{100}, part.now)
                  .empty());
    }
    SECTION("once")
    {
        part.now += part.calls.min_timeout / 2 + 1ms;
        std::vector<store_call_id> const expected{store_call_id{101}};
        CHECK(take_overtaken_calls(part.calls, store_call_id{102}, part.now) ==
              expected);
        CHECK(take_overtaken_calls(part.calls, store_call_id{103}, part.now)
                  .empty());
    }
}
