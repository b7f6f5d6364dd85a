#include "drivers/internal/connection_pool.hpp"

#include "drivers/internal/peek.hpp"
#include "drivers/internal/silence.hpp"
#include "settings/settings.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

// An idle connection is unusable once the other side has closed it, or has
// sent something that nobody asked for.
bool is_usable(tcp::socket& socket)
{
    return peek(socket) == peeked::nothing;
}

result<tcp::endpoint> to_endpoint(std::string const& address)
{
    auto const parsed = settings::parse_endpoint(address);
    if (!parsed)
    {
        return parsed.error();
    }
    error_code problem;
    auto const host = asio::ip::make_address(parsed.value().host, problem);
    if (problem)
    {
        return fail(errc::invalid_input, problem.message());
    }
    return tcp::endpoint(host, parsed.value().port);
}

} // namespace

connection_pool::connection_pool(task_scope& scope,
                                 counters& counting,
                                 options wanted)
    : tasks(scope), figures(counting), chosen(wanted)
{
}

asio::awaitable<std::variant<connection_id, connect_failure>>
connection_pool::lease(std::string address, duration time_left)
{
    if (auto const idle = this->take_idle(address))
    {
        co_return *idle;
    }
    auto const limit = std::min(time_left, this->chosen.connect_timeout);
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
    this->host_of(connection.address).idle.push_back(id);
}

void connection_pool::discard(connection_id id)
{
    auto const found = this->connections.find(id);
    if (found == this->connections.end())
    {
        return;
    }
    --this->host_of(found->second.address).open;
    this->connections.erase(found);
    this->note_count();
}

void connection_pool::warm(std::string const& address,
                           std::uint32_t count,
                           std::uint32_t limit)
{
    auto& wanted = this->host_of(address);
    wanted.limit = limit;
    wanted.warm_count = std::min(count, limit);
    while (wanted.open < wanted.warm_count)
    {
        // Counted at once, so that this loop ends; open() counts it again.
        ++wanted.open;
        this->tasks.spawn(this->open_idle(address));
    }
}

void connection_pool::sweep()
{
    for (auto entry = this->hosts.begin(); entry != this->hosts.end();)
    {
        auto& among = entry->second;
        this->drop_unusable(among);
        bool const is_unused = among.open == 0 && among.warm_count == 0 &&
                               among.limit == this->chosen.limit;
        entry = is_unused ? this->hosts.erase(entry) : std::next(entry);
    }
    for (auto const& [address, wanted] : this->hosts)
    {
        if (wanted.open < wanted.warm_count)
        {
            this->warm(address, wanted.warm_count, wanted.limit);
        }
    }
}

void connection_pool::close_idle()
{
    for (auto& [address, among] : this->hosts)
    {
        among.warm_count = 0;
        for (auto const id : std::exchange(among.idle, {}))
        {
            this->discard(id);
        }
    }
}

std::size_t connection_pool::connection_count() const
{
    return this->connections.size();
}

connection_pool::host& connection_pool::host_of(std::string const& address)
{
    auto const [entry, is_new] = this->hosts.try_emplace(address);
    if (is_new)
    {
        entry->second.limit = this->chosen.limit;
    }
    return entry->second;
}

std::optional<connection_id>
connection_pool::take_idle(std::string const& address)
{
    auto& idle = this->host_of(address).idle;
    while (!idle.empty())
    {
        auto const id = idle.back();
        idle.pop_back();
        if (is_usable(this->connections.at(id).socket))
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
    auto& among = this->host_of(address);
    if (!endpoint || among.open >= among.limit)
    {
        this->figures.add(this->figure("connect_failures_total"));
        co_return endpoint ? connect_failure::limit : connect_failure::refused;
    }
    connection_id const id{++this->last_id};
    auto const [entry, is_new] =
        this->connections.try_emplace(id,
                                      this->tasks.executor(),
                                      std::move(address),
                                      this->chosen.buffer_bytes);
    auto& connection = entry->second;
    ++among.open;
    this->note_count();
    error_code problem;
    connection.guard.arm(time_left);
    co_await connection.socket.async_connect(
        endpoint.value(), asio::redirect_error(asio::use_awaitable, problem));
    connection.guard.disarm();
    if (problem)
    {
        bool const is_late = connection.guard.is_expired();
        this->discard(id);
        this->figures.add(this->figure("connect_failures_total"));
        co_return is_late ? connect_failure::timed_out
                          : connect_failure::refused;
    }
    connection.socket.set_option(tcp::no_delay(true), problem);
    notice_silence(connection.socket);
    this->figures.add(this->figure("connections_opened_total"));
    co_return id;
}

asio::awaitable<void> connection_pool::open_idle(std::string address)
{
    --this->host_of(address).open;
    auto const opened =
        co_await this->open(std::move(address), this->chosen.connect_timeout);
    if (auto const* const id = std::get_if<connection_id>(&opened))
    {
        this->give_back(*id);
    }
}

void connection_pool::drop_unusable(host& among)
{
    auto const oldest =
        std::chrono::steady_clock::now() - this->chosen.idle_timeout;
    std::vector<connection_id> kept;
    for (auto const id : std::exchange(among.idle, {}))
    {
        auto& connection = this->connections.at(id);
        // The count includes this connection.
        bool const is_spare = among.open > among.warm_count;
        bool const is_old = is_spare && connection.idle_since < oldest;
        if (!is_old && is_usable(connection.socket))
        {
            kept.push_back(id);
            continue;
        }
        this->discard(id);
    }
    among.idle = std::move(kept);
}

figure_name connection_pool::figure(std::string_view name) const
{
    return {name, "pool", this->chosen.name, {}, {}};
}

void connection_pool::note_count()
{
    this->figures.set(this->figure("pooled_connections"),
                      static_cast<double>(this->connections.size()));
}

} // namespace plantaintally::drivers
