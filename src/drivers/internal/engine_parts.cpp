// The part of the engine that creates pools, sessions and listeners from the
// settings.
#include "drivers/internal/engine.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

constexpr duration connect_timeout = std::chrono::seconds(1);
// Buffer space for the part of a response's body that is read together with the
// headers.
constexpr std::size_t answer_buffer_bytes = 64U << 10U;
// Space for the headers that nodes add to a request or an answer.
constexpr std::uint64_t hop_header_bytes = 4U << 10U;
// A renamed header grows to less than this multiple of its size.
constexpr std::uint64_t max_header_growth = 3;

// The size that a head of up to this size can have between nodes.
std::uint32_t size_between_nodes(std::uint32_t head_bytes)
{
    std::uint64_t const bytes =
        head_bytes * max_header_growth + hop_header_bytes;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        bytes, std::numeric_limits<std::uint32_t>::max()));
}

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
            this->config.limits.max_header_bytes + answer_buffer_bytes,
            this->config.limits.idle_timeout,
            connect_timeout};
}

http_client::limits
engine::client_limits(bool allows_close_delimited_answers) const
{
    return {this->config.limits.max_header_bytes,
            this->config.limits.max_answer_bytes,
            allows_close_delimited_answers,
            this->answers};
}

http_client::limits engine::peer_client_limits() const
{
    auto limits = this->client_limits(false);
    limits.max_header_bytes = size_between_nodes(limits.max_header_bytes);
    return limits;
}

session_services engine::make_session_services(request_source source,
                                               std::string_view name)
{
    auto const& limits = this->config.limits;
    return {this->driver_metrics,
            this->exchanges,
            this->external_dialect,
            this->peer_dialect,
            this->event_sink(),
            {limits.max_header_bytes,
             limits.max_body_bytes,
             limits.idle_timeout,
             limits.header_timeout,
             limits.body_timeout,
             this->held_bodies},
            limits.write_timeout,
            source,
            name,
            [this] { return this->make_trace_id(); },
            [this]
            {
                auto const& announced = this->local.announcement();
                return announced ? announced->service : std::string();
            },
            source == request_source::caller ? this->config.edge.service
                                             : std::string(),
            nullptr,
            false,
            {}};
}

listener engine::make_listener(std::string_view name,
                               settings::endpoint const& address,
                               std::uint32_t limit,
                               session_services& services,
                               bool is_optional)
{
    return {this->tasks,
            this->driver_metrics,
            {name, address, limit, is_optional},
            [&services](tcp::socket accepted)
            { return serve_session(std::move(accepted), services); },
            [&services](tcp::socket accepted)
            {
                return refuse_session(std::move(accepted), services);
            }};
}

void engine::add_edge_listener(std::string_view name,
                               std::optional<settings::endpoint> const& address,
                               bool is_optional)
{
    if (!address)
    {
        return;
    }
    this->edge_listeners.push_back(
        this->make_listener(name,
                            *address,
                            this->config.limits.max_local_connections,
                            this->edge_sessions,
                            is_optional));
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

read_limits
engine::peer_read_limits(routes::caller_limits const& configured) const
{
    auto const& limits = this->config.limits;
    return {size_between_nodes(
                std::max(limits.max_header_bytes, configured.max_header_bytes)),
            limits.max_body_bytes,
            limits.idle_timeout,
            limits.header_timeout,
            limits.body_timeout,
            this->held_bodies};
}

read_limits
engine::caller_read_limits(routes::caller_limits const& configured) const
{
    auto const& node_limits = this->config.limits;
    read_limits limits = {node_limits.max_header_bytes,
                          node_limits.max_body_bytes,
                          node_limits.idle_timeout,
                          node_limits.header_timeout,
                          node_limits.body_timeout,
                          this->held_bodies};
    if (configured.max_header_bytes > 0)
    {
        limits.max_header_bytes = configured.max_header_bytes;
    }
    if (configured.max_body_bytes > 0)
    {
        limits.max_body_bytes =
            static_cast<std::uint32_t>(std::min<std::uint64_t>(
                configured.max_body_bytes, node_limits.max_body_bytes));
    }
    if (configured.header_timeout > duration::zero())
    {
        limits.header_timeout = configured.header_timeout;
    }
    if (configured.idle_timeout > duration::zero())
    {
        limits.idle_timeout = configured.idle_timeout;
    }
    return limits;
}

} // namespace plantaintally::drivers
