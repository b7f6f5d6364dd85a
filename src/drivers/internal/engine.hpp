// Connects the drivers to the reducer: feeds it events one at a time and
// executes its effects.
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
           settings::node_settings const& new_config,
           node_id self_id,
           node_callbacks given_callbacks,
           dialect outer_dialect);

    result<void> open();
    // Applies the settings that can change while the node runs, and logs all
    // changed settings; the others take effect after a restart.
    void reload(settings::node_settings const& new_config);
    // Starts accepting connections, and submits the first event to the reducer.
    void start();
    // Submits a planned stop to the reducer; later calls have no effect.
    void request_stop();
    // True once the reducer has requested the end of the process and every
    // session has ended or the time limit for them has passed.
    [[nodiscard]] bool can_exit() const;
    // Called once, when the reducer requests the end of the process.
    std::function<void()> on_exit_begun;
    // Closes the listeners, the control link and the timer, and flushes the
    // trace.
    void close();

    // Queues an event. Reduces all queued events unless an event is being
    // reduced already.
    void submit_event(event happened);

    void carry_out(forward_request const& effect);
    void carry_out(dispatch_request const& effect);
    void carry_out(cancel_attempt const& effect);
    void carry_out(answer_from_attempt const& effect);
    void carry_out(refuse_request const& effect);
    void carry_out(release_attempt const& effect);
    void carry_out(send_control const& effect);
    void carry_out(renew_link const& effect);
    void carry_out(call_store const& effect);
    void carry_out(answer_report const& effect);
    void carry_out(tell_readiness const& effect);
    void carry_out(limit_callers const& effect);
    void carry_out(answer_operator const& effect);
    void carry_out(wake_at const& effect);
    void carry_out(drain_upstream const& effect);
    void carry_out(check_upstream const& effect);
    void carry_out(warm_connections const& effect);
    void carry_out(record_entry const& effect);
    void carry_out(exit_process const& effect);

private:
    settings::node_settings config;
    node_id self;
    node_callbacks callbacks;
    dialect external_dialect;
    dialect peer_dialect = native_dialect();
    counters driver_metrics;
    task_scope tasks;
    trace_recorder recorder;
    std::shared_ptr<admission::body_budget> held_bodies;
    std::shared_ptr<admission::answer_budget> answers;
    exchange_table exchanges;
    connection_pool peer_pool;
    connection_pool upstream_pool;
    connection_pool check_pool;
    connection_pool platform_pool;
    http_client peer_client;
    http_client upstream_client;
    http_client check_client;
    http_client store_http_client;
    attempts outbound_attempts;
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
    // The edge listeners that have an address in the settings.
    std::list<listener> edge_listeners;

    std::deque<event> event_queue;
    bool is_reducing = false;
    bool is_stop_requested = false;
    bool is_exiting = false;
    std::chrono::steady_clock::time_point stop_requested_at;
    std::chrono::steady_clock::time_point exit_begun_at;
    std::uint64_t last_trace_number = 0;

    std::function<void(event)> event_sink();
    connection_pool::options pool_options(std::string_view name,
                                          std::uint32_t limit) const;
    http_client::limits
    client_limits(bool allows_close_delimited_answers) const;
    http_client::limits peer_client_limits() const;
    session_services make_session_services(request_source source,
                                           std::string_view name);
    listener make_listener(std::string_view name,
                           settings::endpoint const& address,
                           std::uint32_t limit,
                           session_services& services,
                           bool is_optional = false);
    void process_event(event const& happened);
    // Returns the effects of an event. If the reducer throws, logs the
    // exception and returns none.
    effects call_reducer(event const& happened, moment const& now);
    std::string make_trace_id();
    void add_edge_listener(std::string_view name,
                           std::optional<settings::endpoint> const& address,
                           bool is_optional = false);
    // All listeners, including the edge listeners.
    std::vector<listener*> all_listeners();
    read_limits
    caller_read_limits(routes::caller_limits const& configured) const;
    // Limits for requests from other nodes: all that callers may send, and the
    // headers of the hop.
    read_limits peer_read_limits(routes::caller_limits const& configured) const;
    std::vector<node::statistic> collect_metrics();
    asio::awaitable<void> run_housekeeping();
    void begin_exit();
    void mark_sessions_stopping();
    [[nodiscard]] std::size_t open_session_count() const;
};

} // namespace plantaintally::drivers
