// The part of the engine that makes its pools, sessions and listeners from the
// settings.
#include "drivers/internal/engine.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

constexpr duration connect_timeout = std::chrono::seconds(1);
// Room in a client's buffer for the part of an answer read with its headers.
constexpr std::size_t answer_buffer_bytes = 64U << 10U;

asio::awaitable<void> serve_session(tcp::socket accepted,
                                    session_services& services)
{
    session served(std::move(accepted), services);
    co_await served.serve();
}

asio::awaitable<void> refuse_session(tcp::socket accepted,
                                     session_services& services)
{
    session refused(std::move(accepted), services);
    co_await refused.refuse_connection();
}

} // namespace

connection_pool::options engine::pool_options(std::string_view name,
                                              std::uint32_t limit) const
{
    return {name,
            limit,
            this->chosen.limits.max_header_bytes + answer_buffer_bytes,
            this->chosen.limits.idle_timeout,
            connect_timeout};
}

http_client::limits
engine::client_limits(bool allows_close_delimited_answers) const
{
    return {this->chosen.limits.max_header_bytes,
            this->chosen.limits.max_answer_bytes,
            allows_close_delimited_answers};
}

session_services engine::make_sessions(request_source source,
                                       std::string_view name)
{
    auto const& limits = this->chosen.limits;
    return {this->figures,
            this->exchanges,
            this->spoken,
            this->between_nodes,
            this->event_sink(),
            {limits.max_header_bytes,
             limits.max_body_bytes,
             limits.idle_timeout,
             limits.header_timeout,
             limits.body_timeout},
            limits.write_timeout,
            source,
            name,
            [this] { return this->make_trace_id(); },
            [this]
            {
                auto const& announced = this->local.announcement();
                return announced ? announced->service : std::string();
            },
            source == request_source::caller ? this->chosen.edge.service
                                             : std::string(),
            nullptr,
            false,
            {}};
}

listener engine::make_listener(std::string_view name,
                               settings::endpoint const& address,
                               std::uint32_t limit,
                               session_services& services)
{
    return {this->tasks,
            this->figures,
            {name, address, limit},
            [&services](tcp::socket accepted)
            { return serve_session(std::move(accepted), services); },
            [&services](tcp::socket accepted)
            {
                return refuse_session(std::move(accepted), services);
            }};
}

void engine::open_edge(std::string_view name,
                       std::optional<settings::endpoint> const& address)
{
    if (!address)
    {
        return;
    }
    auto& services = this->edge_sessions;
    this->edge_listeners.emplace_back(
        this->tasks,
        this->figures,
        listener::options{
            name, *address, this->chosen.limits.max_local_connections},
        [&services](tcp::socket accepted)
        { return serve_session(std::move(accepted), services); },
        [&services](tcp::socket accepted)
        { return refuse_session(std::move(accepted), services); });
}

std::vector<listener*> engine::all_listeners()
{
    std::vector<listener*> all{
        &this->caller_listener, &this->peer_listener, &this->local_listener};
    for (listener& each : this->edge_listeners)
    {
        all.push_back(&each);
    }
    return all;
}

read_limits engine::caller_limits(routes::caller_limits const& wanted) const
{
    auto const& own = this->chosen.limits;
    read_limits limits = {own.max_header_bytes,
                          own.max_body_bytes,
                          own.idle_timeout,
                          own.header_timeout,
                          own.body_timeout};
    if (wanted.max_header_bytes > 0)
    {
        limits.max_header_bytes = wanted.max_header_bytes;
    }
    if (wanted.max_body_bytes > 0)
    {
        limits.max_body_bytes = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(wanted.max_body_bytes, own.max_body_bytes));
    }
    if (wanted.header_timeout > duration::zero())
    {
        limits.header_timeout = wanted.header_timeout;
    }
    if (wanted.idle_timeout > duration::zero())
    {
        limits.idle_timeout = wanted.idle_timeout;
    }
    return limits;
}

} // namespace plantaintally::drivers
