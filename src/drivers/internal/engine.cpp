#include "drivers/internal/engine.hpp"

#include "base/hash.hpp"
#include "drivers/internal/event_kind.hpp"
#include "logging/logging.hpp"
#include "metrics/metrics.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

constexpr duration housekeeping_interval = std::chrono::seconds(1);
// Minimum delay between the reducer's request to exit and the end of the
// process, in which the last control messages are sent.
constexpr auto min_exit_delay = std::chrono::milliseconds(100);
// Links of other nodes for each link of this one at most: which nodes others
// choose is random.
constexpr std::uint32_t incoming_links_factor = 4;
// Connections for health checks to an address: those of the incarnation that is
// checked now, and of former ones at the address that are still pending.
constexpr std::uint32_t max_check_connections = 4 * max_concurrent_checks;
// Time for responses still being written after the stop limit has passed.
constexpr auto final_write_grace = std::chrono::milliseconds(300);

} // namespace

engine::engine(asio::any_io_executor const& executor,
               settings::node_settings const& new_config,
               node_id self_id,
               node_callbacks given_callbacks,
               dialect outer_dialect)
    : config(new_config), self(std::move(self_id)),
      callbacks(std::move(given_callbacks)),
      external_dialect(std::move(outer_dialect)), tasks(executor),
      held_bodies(std::make_shared<admission::body_budget>(
          admission::body_budget{new_config.limits.max_held_body_bytes, 0})),
      answers(std::make_shared<admission::answer_budget>(
          new_config.limits.max_retained_bytes)),
      exchanges(executor),
      peer_pool(this->tasks,
                this->driver_metrics,
                this->pool_options("peer",
                                   new_config.limits.max_connections_per_peer)),
      upstream_pool(
          this->tasks, this->driver_metrics, this->pool_options("upstream", 1)),
      check_pool(this->tasks,
                 this->driver_metrics,
                 this->pool_options("check", max_check_connections)),
      platform_pool(
          this->tasks,
          this->driver_metrics,
          this->pool_options("platform", new_config.platform.max_connections)),
      peer_client(this->peer_pool, this->peer_client_limits()),
      upstream_client(
          this->upstream_pool,
          this->client_limits(
              this->external_dialect.allows_close_delimited_answers)),
      check_client(this->check_pool,
                   this->client_limits(
                       this->external_dialect.allows_close_delimited_answers)),
      store_http_client(this->platform_pool, this->client_limits(false)),
      outbound_attempts({this->tasks,
                         this->driver_metrics,
                         this->exchanges,
                         this->peer_client,
                         this->upstream_client,
                         this->external_dialect,
                         this->event_sink(),
                         this->answers}),
      platform({this->tasks,
                this->driver_metrics,
                this->store_http_client,
                this->external_dialect,
                this->event_sink(),
                settings::to_string(new_config.platform.address),
                new_config.platform.timeout}),
      probe({this->tasks,
             this->upstream_client,
             this->check_pool,
             this->check_client,
             this->external_dialect,
             this->event_sink()}),
      control(this->tasks,
              this->driver_metrics,
              {new_config.node.peer_address,
               new_config.limits.max_control_links,
               new_config.limits.max_control_links * incoming_links_factor},
              [this](control_envelope envelope)
              { this->submit_event(control_received{std::move(envelope)}); }),
      local({this->tasks,
             this->driver_metrics,
             this->event_sink(),
             [this] { return this->collect_metrics(); },
             new_config.limits.command_timeout}),
      edge({this->tasks,
            this->driver_metrics,
            this->external_dialect,
            this->event_sink(),
            [this] { return metrics::write_metrics(this->collect_metrics()); },
            this->config.edge.service}),
      timer(this->tasks, [this] { this->submit_event(timer_fired{}); }),
      caller_sessions(
          this->make_session_services(request_source::caller, "caller")),
      peer_sessions(this->make_session_services(request_source::peer, "peer")),
      local_sessions(
          this->make_session_services(request_source::local, "local")),
      edge_sessions(this->make_session_services(request_source::local, "edge")),
      caller_listener(
          this->make_listener("caller",
                              new_config.node.caller_address,
                              new_config.limits.max_caller_connections,
                              this->caller_sessions)),
      peer_listener(this->make_listener("peer",
                                        new_config.node.peer_address,
                                        new_config.limits.max_peer_connections,
                                        this->peer_sessions)),
      // Without a listener of its own, the upstream's reports come in here.
      local_listener(
          this->make_listener("local",
                              new_config.node.local_address,
                              new_config.limits.max_local_connections,
                              this->local_sessions,
                              new_config.edge.report_address.has_value()))
{
    this->peer_sessions.limits = this->peer_read_limits({});
    this->caller_sessions.limits.is_provisional =
        new_config.routes.source == settings::route_source::store;
    this->local_sessions.handle_locally =
        [this](incoming_request const& request)
    {
        return this->local.answer(request);
    };
    this->edge_sessions.handle_locally = [this](incoming_request const& request)
        -> asio::awaitable<std::optional<local_answer>>
    {
        co_return co_await this->edge.answer(request);
    };
    this->add_edge_listener("report", new_config.edge.report_address);
    this->add_edge_listener("ready", new_config.edge.ready_address);
    this->add_edge_listener("metrics", new_config.edge.metrics_address, true);
}

result<void> engine::open()
{
    this->tasks.set_owner(this->weak_from_this());
    auto opened = this->recorder.open(this->config.trace.file);
    for (auto* const each : this->all_listeners())
    {
        if (opened)
        {
            opened = each->open();
        }
    }
    return opened ? this->control.open() : opened;
}

void engine::start()
{
    for (auto* const each : this->all_listeners())
    {
        each->start();
    }
    this->tasks.spawn(this->run_housekeeping());
    this->submit_event(timer_fired{});
}

void engine::request_stop()
{
    if (std::exchange(this->is_stop_requested, true))
    {
        return;
    }
    this->stop_requested_at = std::chrono::steady_clock::now();
    logging::write({logging::level::info, "drivers", "stop-requested", {}});
    this->mark_sessions_stopping();
    this->submit_event(stop_requested{});
}

bool engine::can_exit() const
{
    if (!this->is_exiting)
    {
        return false;
    }
    auto const since_exit_begun =
        std::chrono::steady_clock::now() - this->exit_begun_at;
    bool const is_quiet =
        this->open_session_count() == 0 && since_exit_begun > min_exit_delay;
    auto const since_stop_request =
        std::chrono::steady_clock::now() - this->stop_requested_at;
    return is_quiet || since_exit_begun > this->config.limits.write_timeout ||
           since_stop_request >
               this->config.node.stop_limit + final_write_grace;
}

void engine::close()
{
    this->control.close();
    this->timer.cancel();
    this->recorder.flush();
    for (auto* const each : this->all_listeners())
    {
        each->close();
    }
}

void engine::submit_event(event happened)
{
    this->event_queue.push_back(std::move(happened));
    if (this->is_reducing)
    {
        return;
    }
    this->is_reducing = true;
    while (!this->event_queue.empty())
    {
        auto const next = std::move(this->event_queue.front());
        this->event_queue.pop_front();
        this->process_event(next);
    }
    this->is_reducing = false;
}

void engine::process_event(event const& happened)
{
    auto const now = read_moment();
    this->recorder.record(now, happened);
    this->driver_metrics.add(
        {"events_total", "kind", event_kind_name(happened), {}, {}});
    for (auto const& effect : this->call_reducer(happened, now))
    {
        std::visit([this](auto const& each) { this->carry_out(each); }, effect);
    }
}

effects engine::call_reducer(event const& happened, moment const& now)
{
    try
    {
        return this->callbacks.reduce(happened, now);
    }
    catch (std::exception const& cause)
    {
        this->driver_metrics.add({"reducer_failures_total"});
        logging::write({logging::level::error,
                        "drivers",
                        "reducer-failed",
                        {{"event", std::string(event_kind_name(happened))},
                         {"cause", cause.what()}}});
        return {};
    }
}

std::function<void(event)> engine::event_sink()
{
    return [this](event happened)
    {
        this->submit_event(std::move(happened));
    };
}

void engine::reload(settings::node_settings const& new_config)
{
    auto const changed = settings::changed_keys(this->config, new_config);
    logging::set_level(static_cast<logging::level>(new_config.log.level));
    this->config.log.level = new_config.log.level;
    logging::write({logging::level::info,
                    "drivers",
                    "settings-reloaded",
                    {{"changed", changed.empty() ? "nothing" : changed},
                     {"in_force", "log.level"}}});
}

std::string engine::make_trace_id()
{
    return fmt::format("{:016x}-{:x}-{:x}",
                       stable_hash(this->self.address),
                       this->self.incarnation,
                       ++this->last_trace_number);
}

std::vector<node::statistic> engine::collect_metrics()
{
    auto all = this->callbacks.collect_statistics();
    this->driver_metrics.set({"log_lines_dropped"},
                             static_cast<double>(logging::dropped_count()));
    this->driver_metrics.set(
        {"held_body_bytes"},
        static_cast<double>(this->held_bodies->held_bytes));
    this->driver_metrics.set({"answer_bytes_being_read"},
                             static_cast<double>(this->answers->read_bytes()));
    this->driver_metrics.set(
        {"answers_broken_off_total"},
        static_cast<double>(this->answers->broken_off_count()));
    this->driver_metrics.set({"exchanges_open"},
                             static_cast<double>(this->exchanges.size()));
    this->driver_metrics.set(
        {"attempts_running"},
        static_cast<double>(this->outbound_attempts.running_count()));
    for (auto const& part :
         {this->driver_metrics.collect(), collect_process_metrics()})
    {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

asio::awaitable<void> engine::run_housekeeping()
{
    asio::steady_timer pause(this->tasks.executor());
    while (!this->is_exiting)
    {
        error_code ec;
        pause.expires_after(housekeeping_interval);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
        this->recorder.flush();
        logging::flush();
        this->exchanges.sweep();
        this->peer_pool.sweep();
        this->upstream_pool.sweep();
        this->check_pool.sweep();
        this->platform_pool.sweep();
        auto const& announced = this->local.announcement();
        if (announced && this->external_dialect.calls_upstream_endpoints)
        {
            this->probe.probe(announced->address);
        }
    }
}

void engine::mark_sessions_stopping()
{
    for (auto* const sessions : {&this->caller_sessions, &this->peer_sessions})
    {
        sessions->is_stopping = true;
    }
}

void engine::begin_exit()
{
    if (std::exchange(this->is_exiting, true))
    {
        return;
    }
    this->exit_begun_at = std::chrono::steady_clock::now();
    this->mark_sessions_stopping();
    this->local_sessions.is_stopping = true;
    this->edge_sessions.is_stopping = true;
    for (auto* const each : this->all_listeners())
    {
        each->close();
    }
    for (auto* const sessions : {&this->caller_sessions,
                                 &this->peer_sessions,
                                 &this->local_sessions,
                                 &this->edge_sessions})
    {
        for (auto* const each : sessions->open_sessions)
        {
            each->close_if_idle();
        }
    }
    if (this->on_exit_begun)
    {
        this->on_exit_begun();
    }
}

std::size_t engine::open_session_count() const
{
    return this->caller_sessions.open_sessions.size() +
           this->peer_sessions.open_sessions.size() +
           this->local_sessions.open_sessions.size() +
           this->edge_sessions.open_sessions.size();
}

} // namespace plantaintally::drivers
