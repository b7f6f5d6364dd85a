// Joins the drivers: events go to the reducer one at a time, and its effects
// to the driver that carries them out.
#pragma once

#include "drivers/internal/attempts.hpp"
#include "drivers/internal/connection_pool.hpp"
#include "drivers/internal/control_link.hpp"
#include "drivers/internal/counters.hpp"
#include "drivers/internal/edge_api.hpp"
#include "drivers/internal/exchange_table.hpp"
#include "drivers/internal/http_client.hpp"
#include "drivers/internal/listener.hpp"
#include "drivers/internal/local_api.hpp"
#include "drivers/internal/platform_client.hpp"
#include "drivers/internal/session.hpp"
#include "drivers/internal/task_scope.hpp"
#include "drivers/internal/trace_recorder.hpp"
#include "drivers/internal/upstream_probe.hpp"
#include "drivers/internal/wake_timer.hpp"
#include "drivers/runtime.hpp"

#include <chrono>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace plantaintally::drivers
{

class engine : public std::enable_shared_from_this<engine>
{
public:
    engine(asio::any_io_executor const& executor,
           settings::node_settings const& wanted,
           node_id own,
           decisions decided,
           dialect spoken_outside);

    result<void> open();
    // Takes over the settings that can change while the node runs, and logs
    // which others need a new start.
    void reload(settings::node_settings const& wanted);
    // Starts accepting, and hands the first event to the reducer.
    void start();
    // Hands a planned stop to the reducer, the first time only.
    void request_stop();
    // True once the reducer has asked for the end and every answer is written.
    [[nodiscard]] bool is_finished() const;
    // Called once, when the reducer asks for the end.
    std::function<void()> on_ending;
    // Ends everything that is still open.
    void close();

    // Queues an event and, unless one is being reduced, reduces all queued.
    void hand_in(event happened);

    void carry_out(forward_request const& wanted);
    void carry_out(dispatch_request const& wanted);
    void carry_out(cancel_attempt const& wanted);
    void carry_out(answer_from_attempt const& wanted);
    void carry_out(refuse_request const& wanted);
    void carry_out(release_attempt const& wanted);
    void carry_out(send_control const& wanted);
    void carry_out(call_store const& wanted);
    void carry_out(answer_report const& wanted);
    void carry_out(tell_readiness const& wanted);
    void carry_out(limit_callers const& wanted);
    void carry_out(answer_operator const& wanted);
    void carry_out(wake_at const& wanted);
    void carry_out(drain_upstream const& wanted);
    void carry_out(warm_connections const& wanted);
    void carry_out(record_entry const& wanted);
    void carry_out(exit_process const& wanted);

private:
    settings::node_settings chosen;
    node_id self;
    decisions decide;
    dialect spoken;
    dialect between_nodes = native_dialect();
    counters figures;
    task_scope tasks;
    trace_recorder recorder;
    exchange_table exchanges;
    connection_pool peer_pool;
    connection_pool upstream_pool;
    connection_pool platform_pool;
    http_client peer_client;
    http_client upstream_client;
    http_client store_http;
    attempts attempted;
    platform_client platform;
    upstream_probe probe;
    control_link control;
    local_api local;
    edge_api edge;
    wake_timer timer;
    session_services caller_sessions;
    session_services peer_sessions;
    session_services local_sessions;
    session_services edge_sessions;
    listener caller_listener;
    listener peer_listener;
    listener local_listener;
    // Those of the edge that the settings name.
    std::list<listener> edge_listeners;

    std::deque<event> queued;
    bool is_reducing = false;
    bool is_stop_requested = false;
    bool is_ending = false;
    std::chrono::steady_clock::time_point stop_requested_at;
    std::chrono::steady_clock::time_point ending_since;
    std::uint64_t last_trace = 0;

    std::function<void(event)> event_sink();
    connection_pool::options pool_options(std::string_view name,
                                          std::uint32_t limit) const;
    http_client::limits
    client_limits(bool allows_close_delimited_answers) const;
    session_services make_sessions(request_source source,
                                   std::string_view name);
    listener make_listener(std::string_view name,
                           settings::endpoint const& address,
                           std::uint32_t limit,
                           session_services& services);
    void reduce_one(event const& happened);
    // The effects of an event; none if the reducer throws, which is logged.
    effects decide_on(event const& happened, moment const& now);
    std::string make_trace_id();
    void open_edge(std::string_view name,
                   std::optional<settings::endpoint> const& address);
    // Every listener, the edge's included.
    std::vector<listener*> all_listeners();
    read_limits caller_limits(routes::caller_limits const& wanted) const;
    std::vector<node::statistic> collect();
    asio::awaitable<void> keep_house();
    void begin_ending();
    void set_stopping();
    [[nodiscard]] std::size_t busy_sessions() const;
};

} // namespace plantaintally::drivers
