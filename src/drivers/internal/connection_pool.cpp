#include "drivers/internal/connection_pool.hpp"

#include "drivers/internal/dead_peer_detection.hpp"
#include "drivers/internal/peek.hpp"
#include "settings/settings.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

constexpr std::size_t max_failed_requests = 64;

std::size_t hash_of(std::string_view request_id)
{
    return std::hash<std::string_view>()(request_id);
}

// An idle connection is unusable if the other side has closed it or has sent
// unsolicited data.
bool is_usable(tcp::socket& socket)
{
    return peek(socket) == peek_result::nothing;
}

result<tcp::endpoint> to_endpoint(std::string const& address)
{
    auto const parsed = settings::parse_endpoint(address);
    if (!parsed)
    {
        return parsed.error();
    }
    error_code ec;
    auto const host = asio::ip::make_address(parsed.value().host, ec);
    if (ec)
    {
        return fail(errc::invalid_input, ec.message());
    }
    return tcp::endpoint(host, parsed.value().port);
}

} // namespace

connection_pool::connection_pool(task_scope& scope,
                                 counters& shared_metrics,
                                 options new_options)
    : tasks(scope), driver_metrics(shared_metrics), config(new_options)
{
}

asio::awaitable<std::variant<connection_id, connect_failure>>
connection_pool::lease(std::string address,
                       duration time_left,
                       std::string_view request_id)
{
    if (auto const idle = this->take_idle(address, request_id))
    {
        co_return *idle;
    }
    auto const limit = std::min(time_left, this->config.connect_timeout);
    co_return co_await this->open(std::move(address), limit);
}

pooled_connection& connection_pool::at(connection_id id)
{
    return this->connections.at(id);
}

void connection_pool::give_back(connection_id id)
{
    auto& connection = this->connections.at(id);
    connection.guard.disarm();
    connection.idle_since = std::chrono::steady_clock::now();
    this->group_for(connection.address).idle.push_back(id);
}

bool connection_pool::note_failed_request(connection_id id,
                                          std::string_view request_id)
{
    auto& failed = this->connections.at(id).failed_requests;
    failed.push_back(hash_of(request_id));
    return failed.size() < max_failed_requests;
}

void connection_pool::discard(connection_id id)
{
    auto const found = this->connections.find(id);
    if (found == this->connections.end())
    {
        return;
    }
    --this->group_for(found->second.address).open;
    this->connections.erase(found);
    this->publish_connection_count();
}

void connection_pool::discard_idle(std::string const& address,
                                   std::chrono::steady_clock::time_point cutoff)
{
    auto& idle = this->group_for(address).idle;
    // Ordered by the time at which they became idle.
    auto const first_kept = std::ranges::find_if(
        idle,
        [&](connection_id id)
        { return this->connections.at(id).idle_since >= cutoff; });
    std::vector<connection_id> const silent(idle.begin(), first_kept);
    idle.erase(idle.begin(), first_kept);
    for (auto const id : silent)
    {
        this->discard(id);
    }
    if (!silent.empty())
    {
        this->driver_metrics.add(this->metric("silent_connections_total"),
                                 static_cast<double>(silent.size()));
    }
}

void connection_pool::warm(std::string const& address,
                           std::uint32_t count,
                           std::uint32_t limit)
{
    auto& group = this->group_for(address);
    group.limit = limit;
    group.warm_count = std::min(count, limit);
    while (group.open < group.warm_count)
    {
        // Counted at once so that this loop ends; open_idle() takes the count
        // back before open() counts the connection.
        ++group.open;
        this->tasks.spawn(this->open_idle(address));
    }
}

void connection_pool::sweep()
{
    for (auto entry = this->groups.begin(); entry != this->groups.end();)
    {
        auto& group = entry->second;
        this->discard_unusable(group);
        bool const is_unused = group.open == 0 && group.warm_count == 0 &&
                               group.limit == this->config.limit;
        entry = is_unused ? this->groups.erase(entry) : std::next(entry);
    }
    for (auto const& [address, group] : this->groups)
    {
        if (group.open < group.warm_count)
        {
            this->warm(address, group.warm_count, group.limit);
        }
    }
}

void connection_pool::close_idle()
{
    for (auto& [address, group] : this->groups)
    {
        group.warm_count = 0;
        for (auto const id : std::exchange(group.idle, {}))
        {
            this->discard(id);
        }
    }
}

std::size_t connection_pool::connection_count() const
{
    return this->connections.size();
}

connection_pool::address_group&
connection_pool::group_for(std::string const& address)
{
    auto const [entry, is_new] = this->groups.try_emplace(address);
    if (is_new)
    {
        entry->second.limit = this->config.limit;
    }
    return entry->second;
}

std::optional<connection_id>
connection_pool::take_idle(std::string const& address,
                           std::string_view request_id)
{
    auto& idle = this->group_for(address).idle;
    auto const request = hash_of(request_id);
    for (auto position = idle.size(); position > 0; --position)
    {
        auto const id = idle[position - 1];
        auto& connection = this->connections.at(id);
        if (!request_id.empty() &&
            std::ranges::find(connection.failed_requests, request) !=
                connection.failed_requests.end())
        {
            continue;
        }
        idle.erase(
            std::next(idle.begin(), static_cast<std::ptrdiff_t>(position - 1)));
        if (is_usable(connection.socket))
        {
            return id;
        }
        this->discard(id);
    }
    return std::nullopt;
}

asio::awaitable<std::variant<connection_id, connect_failure>>
connection_pool::open(std::string address, duration time_left)
{
    auto const endpoint = to_endpoint(address);
    auto& group = this->group_for(address);
    if (group.open >= group.limit && !group.idle.empty())
    {
        this->discard(group.idle.front());
        group.idle.erase(group.idle.begin());
    }
    if (!endpoint || group.open >= group.limit)
    {
        this->driver_metrics.add(this->metric("connect_failures_total"));
        co_return endpoint ? connect_failure::limit : connect_failure::refused;
    }
    connection_id const id{++this->last_id};
    auto const [entry, is_new] =
        this->connections.try_emplace(id,
                                      this->tasks.executor(),
                                      std::move(address),
                                      this->config.buffer_bytes);
    auto& connection = entry->second;
    ++group.open;
    this->publish_connection_count();
    error_code ec;
    connection.guard.arm(time_left);
    co_await connection.socket.async_connect(
        endpoint.value(), asio::redirect_error(asio::use_awaitable, ec));
    connection.guard.disarm();
    if (ec)
    {
        bool const has_timed_out = connection.guard.is_expired();
        this->discard(id);
        this->driver_metrics.add(this->metric("connect_failures_total"));
        co_return has_timed_out ? connect_failure::timed_out
                                : connect_failure::refused;
    }
    connection.socket.set_option(tcp::no_delay(true), ec);
    enable_dead_peer_detection(connection.socket);
    this->driver_metrics.add(this->metric("connections_opened_total"));
    co_return id;
}

asio::awaitable<void> connection_pool::open_idle(std::string address)
{
    --this->group_for(address).open;
    auto const opened =
        co_await this->open(std::move(address), this->config.connect_timeout);
    if (auto const* const id = std::get_if<connection_id>(&opened))
    {
        this->give_back(*id);
    }
}

void connection_pool::discard_unusable(address_group& group)
{
    auto const cutoff =
        std::chrono::steady_clock::now() - this->config.idle_timeout;
    std::vector<connection_id> kept;
    for (auto const id : std::exchange(group.idle, {}))
    {
        auto& connection = this->connections.at(id);
        // The count includes this connection.
        bool const is_spare = group.open > group.warm_count;
        bool const is_old = is_spare && connection.idle_since < cutoff;
        if (!is_old && is_usable(connection.socket))
        {
            kept.push_back(id);
            continue;
        }
        this->discard(id);
    }
    group.idle = std::move(kept);
}

metric_name connection_pool::metric(std::string_view name) const
{
    return {name, "pool", this->config.name, {}, {}};
}

void connection_pool::publish_connection_count()
{
    this->driver_metrics.set(this->metric("pooled_connections"),
                             static_cast<double>(this->connections.size()));
}

} // namespace plantaintally::drivers
