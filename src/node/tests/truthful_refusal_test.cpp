#include "node/internal/request_path.hpp"
#include "virtual_fleet.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

fleet_settings default_settings()
{
    fleet_settings settings;
    settings.document = test_document();
    return settings;
}

upstream_plan plan_of(std::string service,
                      std::vector<std::string> downstream = {})
{
    upstream_plan plan;
    plan.service = std::move(service);
    plan.downstream = std::move(downstream);
    return plan;
}

// Passes an event directly to a node and returns its effects of this type,
// without executing them in the fleet.
template <class Effect>
std::vector<Effect> effects_of(state& node, event const& incoming, instant now)
{
    std::vector<Effect> found;
    for (effect const& emitted : reduce(node, incoming, moment{now, {}}))
    {
        if (auto const* wanted = std::get_if<Effect>(&emitted))
        {
            found.push_back(*wanted);
        }
    }
    return found;
}

} // namespace

TEST_CASE("an entrance that can't reach the key's home doesn't report not-run")
{
    virtual_fleet fleet(default_settings());
    fleet.add(plan_of("edge"));
    fleet.add(plan_of("c"));
    fleet.form();
    state& entrance = fleet.node(0);
    request_arrived arrived;
    arrived.exchange = exchange_id{900'001};
    arrived.head = make_head("c", "/book", "t1", "POST");
    arrived.head.idempotency_key = "key-1";
    instant now = fleet.now();
    auto const sent = effects_of<forward_request>(entrance, arrived, now);
    REQUIRE(sent.size() == 1);
    attempt_id attempt = sent[0].attempt;
    std::vector<refuse_request> refused;
    for (int i = 0; i < 20 && refused.empty(); ++i)
    {
        attempt_failed const failed{
            attempt, attempt_failure::connect_refused, false};
        refused = effects_of<refuse_request>(entrance, failed, now);
        if (!refused.empty())
        {
            break;
        }
        now += 300ms;
        for (effect const& emitted :
             reduce(entrance, timer_fired{}, moment{now, {}}))
        {
            if (auto const* again = std::get_if<forward_request>(&emitted))
            {
                attempt = again->attempt;
            }
            if (auto const* given_up = std::get_if<refuse_request>(&emitted))
            {
                refused.push_back(*given_up);
            }
        }
    }
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].report.outcome == verdict::may_have_run);
}

TEST_CASE("a refusal by a downstream service doesn't lower the limit")
{
    virtual_fleet fleet(default_settings());
    upstream_plan refusing_plan = plan_of("a", {"gone"});
    refusing_plan.late_refusal_fraction = 1.0;
    fleet.add(refusing_plan);
    fleet.form();
    std::uint32_t const before =
        admission::current_limit(fleet.node(0).admission.limit);
    for (int i = 0; i < 200; ++i)
    {
        fleet.submit(
            0, make_head("a", "/browse", "t" + std::to_string(i)), i * 10ms);
    }
    fleet.run_for(4s);
    CHECK(fleet.answers().size() == 200);
    CHECK(admission::current_limit(fleet.node(0).admission.limit) >= before);
    // The upstream executes each request once: a downstream refusal must not be
    // treated as a refusal by the upstream, which would be requeued.
    for (int i = 0; i < 200; ++i)
    {
        CHECK(fleet.executions("a", "t" + std::to_string(i)) <= 1);
    }
}

TEST_CASE("a request that no peer can read is not refused as malformed")
{
    virtual_fleet fleet(default_settings());
    fleet.add(plan_of("edge"));
    fleet.add(plan_of("c"));
    fleet.add(plan_of("c"));
    fleet.form();
    state& entrance = fleet.node(0);
    for (refusal const reason : {refusal::bad_request, refusal::too_large})
    {
        request_arrived arrived;
        arrived.exchange =
            exchange_id{900'001 + static_cast<std::uint64_t>(reason)};
        arrived.head = make_head("c", "/book", "t1", "POST");
        instant now = fleet.now();
        auto sent = effects_of<forward_request>(entrance, arrived, now);
        std::set<std::string> asked;
        std::vector<refuse_request> refused;
        while (refused.empty())
        {
            if (!sent.empty())
            {
                asked.insert(sent[0].peer_address);
                attempt_answered unread;
                unread.attempt = sent[0].attempt;
                unread.status = 400;
                unread.report.emplace();
                unread.report->outcome = verdict::not_run;
                unread.report->reason = reason;
                refused = effects_of<refuse_request>(entrance, unread, now);
                sent.clear();
                continue;
            }
            now += 10ms;
            REQUIRE(now < fleet.now() + 10s);
            auto const out = reduce(entrance, timer_fired{}, moment{now, {}});
            for (effect const& emitted : out)
            {
                if (auto const* again = std::get_if<forward_request>(&emitted))
                {
                    sent.push_back(*again);
                }
                if (auto const* ended = std::get_if<refuse_request>(&emitted))
                {
                    refused.push_back(*ended);
                }
            }
        }
        CHECK(asked.size() == 2);
        CHECK(refused[0].status == 503);
        CHECK(refused[0].report.outcome == verdict::not_run);
    }
}
