#include "admission/rank_queue.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::admission
{

namespace
{

// A caller's queue is late if its oldest request has waited longer than this.
constexpr duration late_threshold = std::chrono::milliseconds(100);

using caller_queues =
    std::map<std::string, std::deque<pending_request>, std::less<>>;

caller_queues::iterator next_caller(rank_queue& queue)
{
    auto const next = queue.callers.upper_bound(queue.last_served_caller);
    return next == queue.callers.end() ? queue.callers.begin() : next;
}

void drop_if_empty(rank_queue& queue, caller_queues::iterator position)
{
    if (position->second.empty())
    {
        queue.callers.erase(position);
    }
}

pending_request take_newest(rank_queue& queue, caller_queues::iterator position)
{
    pending_request popped = std::move(position->second.back());
    position->second.pop_back();
    --queue.size;
    drop_if_empty(queue, position);
    return popped;
}

} // namespace

void push(rank_queue& queue, pending_request request)
{
    std::deque<pending_request>& waiting = queue.callers[request.caller];
    waiting.push_back(std::move(request));
    ++queue.size;
}

pending_request pop(rank_queue& queue, queue_order order, instant now)
{
    auto const position = next_caller(queue);
    queue.last_served_caller = position->first;
    std::deque<pending_request>& waiting = position->second;
    bool const is_late = now - waiting.front().queued_at > late_threshold;
    if (order == queue_order::newest_first_when_late && is_late)
    {
        return take_newest(queue, position);
    }
    pending_request popped = std::move(waiting.front());
    waiting.pop_front();
    --queue.size;
    drop_if_empty(queue, position);
    return popped;
}

std::optional<pending_request> pop_from_longest(rank_queue& queue)
{
    auto const longest = std::ranges::max_element(
        queue.callers,
        {},
        [](auto const& entry) { return entry.second.size(); });
    if (longest == queue.callers.end())
    {
        return std::nullopt;
    }
    return take_newest(queue, longest);
}

std::size_t queued_count(rank_queue const& queue, std::string_view caller)
{
    auto const found = queue.callers.find(caller);
    return found == queue.callers.end() ? 0 : found->second.size();
}

bool remove(rank_queue& queue, std::string_view caller, exchange_id exchange)
{
    auto const found = queue.callers.find(caller);
    if (found == queue.callers.end())
    {
        return false;
    }
    std::deque<pending_request>& waiting = found->second;
    auto const position =
        std::ranges::find(waiting, exchange, &pending_request::exchange);
    if (position == waiting.end())
    {
        return false;
    }
    waiting.erase(position);
    --queue.size;
    drop_if_empty(queue, found);
    return true;
}

std::vector<pending_request> pop_expired(rank_queue& queue, instant cutoff)
{
    std::vector<pending_request> expired;
    for (auto& [caller, waiting] : queue.callers)
    {
        auto const first_expired =
            std::stable_partition(waiting.begin(),
                                  waiting.end(),
                                  [cutoff](pending_request const& request)
                                  { return request.deadline > cutoff; });
        std::move(first_expired, waiting.end(), std::back_inserter(expired));
        waiting.erase(first_expired, waiting.end());
    }
    queue.size -= expired.size();
    std::erase_if(queue.callers,
                  [](auto const& entry) { return entry.second.empty(); });
    return expired;
}

std::vector<pending_request> pop_all(rank_queue& queue)
{
    std::vector<pending_request> popped;
    for (auto& [caller, waiting] : queue.callers)
    {
        std::ranges::move(waiting, std::back_inserter(popped));
    }
    queue.callers.clear();
    queue.size = 0;
    return popped;
}

std::optional<instant> earliest_deadline(rank_queue const& queue)
{
    std::optional<instant> earliest;
    for (auto const& [caller, waiting] : queue.callers)
    {
        for (pending_request const& request : waiting)
        {
            earliest =
                std::min(earliest.value_or(request.deadline), request.deadline);
        }
    }
    return earliest;
}

} // namespace plantaintally::admission
