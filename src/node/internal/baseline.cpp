#include "node/internal/request_path.hpp"

namespace plantaintally::node
{

namespace
{

constexpr std::uint32_t blind_retries = 3;

} // namespace

void route_blindly(state& node, exchange& item, step& current)
{
    auto const members =
        membership::members_of(node.membership, item.head.service);
    if (members.empty())
    {
        return refuse(node,
                      item,
                      refusal::no_upstream,
                      "no member of the service is known",
                      current);
    }
    std::string const address =
        members[draw_below(node.random, members.size())].node.address;
    if (address == node.own.self.address)
    {
        return dispatch_blindly(node, item, current);
    }
    forward(node, item, address, current);
}

void dispatch_blindly(state& node, exchange& item, step& current)
{
    if (!node.lifecycle.upstream)
    {
        sending_outcome ended;
        ended.reason = refusal::no_upstream;
        ended.detail = "there is no upstream";
        return end_sending(node, item, ended, current);
    }
    dispatch(node, item, current);
}

bool retry_blindly(state& node,
                   exchange& item,
                   sending_outcome const& ended,
                   step& current)
{
    bool const is_due = is_origin(item) && !item.is_answered &&
                        has_failed(ended) &&
                        item.retries_made < blind_retries &&
                        item.deadline > current.now.monotonic;
    if (!is_due)
    {
        return false;
    }
    if (ended.answer)
    {
        current.out.push_back(release_attempt{*ended.answer});
    }
    ++item.retries_made;
    item.may_have_run = item.may_have_run || ended.outcome != verdict::not_run;
    count(node, item, count_kind::retried, {}, current);
    item.phase = exchange_phase::backing_off;
    set_timer(node.table, item, current.now.monotonic);
    return true;
}

} // namespace plantaintally::node
