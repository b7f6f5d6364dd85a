#include "admission/rank_queue.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::admission
{

namespace
{

// A caller's queue whose oldest request has waited longer is late.
constexpr duration late_wait = std::chrono::milliseconds(100);

using caller_queues =
    std::map<std::string, std::deque<pending_request>, std::less<>>;

caller_queues::iterator next_caller(rank_queue& queue)
{
    auto const next = queue.callers.upper_bound(queue.last_served);
    return next == queue.callers.end() ? queue.callers.begin() : next;
}

void drop_if_empty(rank_queue& queue, caller_queues::iterator place)
{
    if (place->second.empty())
    {
        queue.callers.erase(place);
    }
}

pending_request take_newest(rank_queue& queue, caller_queues::iterator place)
{
    pending_request taken = std::move(place->second.back());
    place->second.pop_back();
    --queue.size;
    drop_if_empty(queue, place);
    return taken;
}

} // namespace

void push(rank_queue& queue, pending_request item)
{
    std::deque<pending_request>& waiting = queue.callers[item.caller];
    waiting.push_back(std::move(item));
    ++queue.size;
}

pending_request pop(rank_queue& queue, queue_order order, instant now)
{
    auto const place = next_caller(queue);
    queue.last_served = place->first;
    std::deque<pending_request>& waiting = place->second;
    bool const is_late = now - waiting.front().queued_at > late_wait;
    if (order == queue_order::newest_first_when_late && is_late)
    {
        return take_newest(queue, place);
    }
    pending_request taken = std::move(waiting.front());
    waiting.pop_front();
    --queue.size;
    drop_if_empty(queue, place);
    return taken;
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

std::size_t waiting_of(rank_queue const& queue, std::string_view caller)
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
    auto const place =
        std::ranges::find(waiting, exchange, &pending_request::exchange);
    if (place == waiting.end())
    {
        return false;
    }
    waiting.erase(place);
    --queue.size;
    drop_if_empty(queue, found);
    return true;
}

std::vector<pending_request> take_late(rank_queue& queue, instant latest)
{
    std::vector<pending_request> late;
    for (auto& [caller, waiting] : queue.callers)
    {
        auto const split =
            std::stable_partition(waiting.begin(),
                                  waiting.end(),
                                  [latest](pending_request const& item)
                                  { return item.deadline > latest; });
        std::move(split, waiting.end(), std::back_inserter(late));
        waiting.erase(split, waiting.end());
    }
    queue.size -= late.size();
    std::erase_if(queue.callers,
                  [](auto const& entry) { return entry.second.empty(); });
    return late;
}

std::vector<pending_request> take_all(rank_queue& queue)
{
    std::vector<pending_request> taken;
    for (auto& [caller, waiting] : queue.callers)
    {
        std::ranges::move(waiting, std::back_inserter(taken));
    }
    queue.callers.clear();
    queue.size = 0;
    return taken;
}

std::optional<instant> earliest_deadline(rank_queue const& queue)
{
    std::optional<instant> earliest;
    for (auto const& [caller, waiting] : queue.callers)
    {
        for (pending_request const& item : waiting)
        {
            earliest =
                std::min(earliest.value_or(item.deadline), item.deadline);
        }
    }
    return earliest;
}

} // namespace plantaintally::admission
