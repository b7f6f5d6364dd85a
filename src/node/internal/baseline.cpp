#include "node/internal/request_path.hpp"

namespace plantaintally::node
{

namespace
{

constexpr std::uint32_t max_baseline_retries = 3;

} // namespace

void route_without_policy(state& node, exchange& request, step& current)
{
    auto const members =
        membership::members_of(node.membership, request.head.service);
    if (members.empty())
    {
        return refuse(node,
                      request,
                      refusal::no_upstream,
                      "no member of the service is known",
                      current);
    }
    std::string const address =
        members[draw_below(node.random, members.size())].node.address;
    if (address == node.startup_options.self.address)
    {
        return dispatch_without_policy(node, request, current);
    }
    forward(node, request, address, current);
}

void dispatch_without_policy(state& node, exchange& request, step& current)
{
    if (!node.lifecycle.upstream)
    {
        attempt_result result;
        result.reason = refusal::no_upstream;
        result.detail = "no upstream is available";
        return retry_or_conclude(node, request, result, current);
    }
    dispatch(node, request, current);
}

bool retry_without_policy(state& node,
                          exchange& request,
                          attempt_result const& result,
                          step& current)
{
    bool const may_retry = is_origin(request) && !request.is_answered &&
                           has_failed(result) &&
                           request.retries_made < max_baseline_retries &&
                           request.deadline > current.now.monotonic;
    if (!may_retry)
    {
        return false;
    }
    if (result.answer)
    {
        current.out.push_back(release_attempt{*result.answer});
    }
    ++request.retries_made;
    request.may_have_run =
        request.may_have_run || result.outcome != verdict::not_run;
    count(node, request, count_kind::retried, {}, current);
    request.phase = exchange_phase::backing_off;
    set_timer(node.table, request, current.now.monotonic);
    return true;
}

} // namespace plantaintally::node
