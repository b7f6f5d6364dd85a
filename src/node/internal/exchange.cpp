#include "node/exchange.hpp"

#include "retry/policy.hpp"

namespace plantaintally::node
{

exchange* find(exchange_table& table, exchange_id id)
{
    auto const found = table.exchanges.find(id);
    return found == table.exchanges.end() ? nullptr : &found->second;
}

exchange* find(exchange_table& table, attempt_id id)
{
    auto const found = table.by_attempt.find(id);
    return found == table.by_attempt.end() ? nullptr
                                           : find(table, found->second);
}

void set_timer(exchange_table& table, exchange& request, instant when)
{
    table.timers.erase({request.timer, request.id});
    request.timer = when;
    if (when != instant::max())
    {
        table.timers.emplace(when, request.id);
    }
}

void erase(exchange_table& table, exchange_id id)
{
    exchange* request = find(table, id);
    if (request == nullptr)
    {
        return;
    }
    table.timers.erase({request->timer, id});
    table.exchanges.erase(id);
}

bool is_keyed(exchange const& request)
{
    return !request.head.idempotency_key.empty();
}

bool is_repeatable(exchange const& request)
{
    if (request.hop.route)
    {
        return request.hop.route->is_repeatable;
    }
    return !is_keyed(request) &&
           retry::is_idempotent_method(request.head.method);
}

bool is_upstream_call(exchange const& request)
{
    return request.source == request_source::caller && request.hop.route &&
           request.head.is_from_own_host;
}

bool is_origin(exchange const& request)
{
    return request.source != request_source::peer;
}

} // namespace plantaintally::node
