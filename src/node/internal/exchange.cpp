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

void set_timer(exchange_table& table, exchange& item, instant when)
{
    table.timers.erase({item.timer, item.id});
    item.timer = when;
    if (when != instant::max())
    {
        table.timers.emplace(when, item.id);
    }
}

void erase(exchange_table& table, exchange_id id)
{
    exchange* item = find(table, id);
    if (item == nullptr)
    {
        return;
    }
    table.timers.erase({item->timer, id});
    table.exchanges.erase(id);
}

bool is_keyed(exchange const& item)
{
    return !item.head.idempotency_key.empty();
}

bool is_repeatable(exchange const& item)
{
    if (item.hop.route)
    {
        return item.hop.route->is_repeatable;
    }
    return !is_keyed(item) && retry::is_idempotent_method(item.head.method);
}

bool is_origin(exchange const& item)
{
    return item.source != request_source::peer;
}

} // namespace plantaintally::node
