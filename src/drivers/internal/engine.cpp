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

constexpr duration house_interval = std::chrono::seconds(1);
// Least time between the reducer's end and the process's, in which the last
// control messages leave.
constexpr auto farewell_time = std::chrono::milliseconds(100);
// Time that answers still being written have after the limit of the stop.
constexpr auto last_writing_time = std::chrono::milliseconds(300);

} // namespace

engine::engine(asio::any_io_executor const& executor,
               settings::node_settings const& wanted,
               node_id own,
               decisions decided,
               dialect spoken_outside)
    : chosen(wanted), self(std::move(own)), decide(std::move(decided)),
      spoken(std::move(spoken_outside)), tasks(executor), exchanges(executor),
      peer_pool(
          this->tasks,
          this->figures,
          this->pool_options("peer", wanted.limits.max_connections_per_peer)),
      upstream_pool(
          this->tasks, this->figures, this->pool_options("upstream", 1)),
      platform_pool(
          this->tasks,
          this->figures,
          this->pool_options("platform", wanted.platform.max_connections)),
      peer_client(this->peer_pool, this->client_limits(false)),
      upstream_client(
          this->upstream_pool,
          this->client_limits(this->spoken.allows_close_delimited_answers)),
      store_http(this->platform_pool, this->client_limits(false)),
      attempted({this->tasks,
                 this->figures,
                 this->exchanges,
                 this->peer_client,
                 this->upstream_client,
                 this->spoken,
                 this->event_sink(),
                 wanted.limits.max_retained_bytes}),
      platform({this->tasks,
                this->figures,
                this->store_http,
                this->spoken,
                this->event_sink(),
                settings::to_string(wanted.platform.address),
                wanted.platform.timeout}),
      probe({this->tasks, this->upstream_client, this->event_sink()}),
      control(this->tasks,
              this->figures,
              {wanted.node.peer_address, wanted.limits.max_control_links},
              [this](control_envelope envelope)
              { this->hand_in(control_received{std::move(envelope)}); }),
      local({this->tasks,
             this->figures,
             this->event_sink(),
             [this] { return this->collect(); },
             wanted.limits.command_timeout}),
      edge({this->tasks,
            this->figures,
            this->spoken,
            this->event_sink(),
            [this]
            {
                return metrics::write_metrics(this->collect());
            }}),
      timer(this->tasks, [this] { this->hand_in(timer_fired{}); }),
      caller_sessions(this->make_sessions(request_source::caller, "caller")),
      peer_sessions(this->make_sessions(request_source::peer, "peer")),
      local_sessions(this->make_sessions(request_source::local, "local")),
      edge_sessions(this->make_sessions(request_source::local, "edge")),
      caller_listener(this->make_listener("caller",
                                          wanted.node.caller_address,
                                          wanted.limits.max_caller_connections,
                                          this->caller_sessions)),
      peer_listener(this->make_listener("peer",
                                        wanted.node.peer_address,
                                        wanted.limits.max_peer_connections,
                                        this->peer_sessions)),
      local_listener(this->make_listener("local",
                                         wanted.node.local_address,
                                         wanted.limits.max_local_connections,
                                         this->local_sessions))
{
    this->local_sessions.answer_locally =
        [this](incoming_request const& request)
    {
        return this->local.answer(request);
    };
    this->edge_sessions.answer_locally = [this](incoming_request const& request)
        -> asio::awaitable<std::optional<local_answer>>
    {
        co_return co_await this->edge.answer(request);
    };
    this->open_edge("report", wanted.edge.report_address);
    this->open_edge("ready", wanted.edge.ready_address);
    this->open_edge("metrics", wanted.edge.metrics_address);
}

result<void> engine::open()
{
    this->tasks.keep(this->weak_from_this());
    auto opened = this->recorder.open(this->chosen.trace.file);
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
    this->tasks.spawn(this->keep_house());
    this->hand_in(timer_fired{});
}

void engine::request_stop()
{
    if (std::exchange(this->is_stop_requested, true))
    {
        return;
    }
    this->stop_requested_at = std::chrono::steady_clock::now();
    logging::write({logging::level::info, "drivers", "stop-requested", {}});
    this->set_stopping();
    this->hand_in(stop_requested{});
}

bool engine::is_finished() const
{
    if (!this->is_ending)
    {
        return false;
    }
    auto const waited = std::chrono::steady_clock::now() - this->ending_since;
    bool const is_quiet = this->busy_sessions() == 0 && waited > farewell_time;
    auto const stopping =
        std::chrono::steady_clock::now() - this->stop_requested_at;
    return is_quiet || waited > this->chosen.limits.write_timeout ||
           stopping > this->chosen.node.stop_limit + last_writing_time;
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

void engine::hand_in(event happened)
{
    this->queued.push_back(std::move(happened));
    if (this->is_reducing)
    {
        return;
    }
    this->is_reducing = true;
    while (!this->queued.empty())
    {
        auto const next = std::move(this->queued.front());
        this->queued.pop_front();
        this->reduce_one(next);
    }
    this->is_reducing = false;
}

void engine::reduce_one(event const& happened)
{
    auto const now = read_moment();
    this->recorder.record(now, happened);
    this->figures.add({"events_total", "kind", kind_of(happened), {}, {}});
    for (auto const& asked : this->decide_on(happened, now))
    {
        std::visit([this](auto const& each) { this->carry_out(each); }, asked);
    }
}

effects engine::decide_on(event const& happened, moment const& now)
{
    try
    {
        return this->decide.reduce(happened, now);
    }
    catch (std::exception const& cause)
    {
        this->figures.add({"reducer_failures_total"});
        logging::write({logging::level::error,
                        "drivers",
                        "reducer-failed",
                        {{"event", std::string(kind_of(happened))},
                         {"cause", cause.what()}}});
        return {};
    }
}

std::function<void(event)> engine::event_sink()
{
    return [this](event happened)
    {
        this->hand_in(std::move(happened));
    };
}

void engine::reload(settings::node_settings const& wanted)
{
    auto const changed = settings::changed_keys(this->chosen, wanted);
    logging::set_level(static_cast<logging::level>(wanted.log.level));
    this->chosen.log.level = wanted.log.level;
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
                       ++this->last_trace);
}

std::vector<node::statistic> engine::collect()
{
    auto all = this->decide.collect_statistics();
    this->figures.set({"log_lines_dropped"},
                      static_cast<double>(logging::dropped_count()));
    this->figures.set({"exchanges_open"},
                      static_cast<double>(this->exchanges.size()));
    this->figures.set({"attempts_running"},
                      static_cast<double>(this->attempted.running_count()));
    for (auto const& part :
         {this->figures.collect(), collect_process_figures()})
    {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

asio::awaitable<void> engine::keep_house()
{
    asio::steady_timer pause(this->tasks.executor());
    while (!this->is_ending)
    {
        error_code problem;
        pause.expires_after(house_interval);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, problem));
        this->recorder.flush();
        logging::flush();
        this->exchanges.sweep();
        this->peer_pool.sweep();
        this->upstream_pool.sweep();
        this->platform_pool.sweep();
        auto const& announced = this->local.announcement();
        if (announced && this->spoken.calls_upstream_endpoints)
        {
            this->probe.probe(announced->address);
        }
    }
}

void engine::set_stopping()
{
    for (auto* const sessions : {&this->caller_sessions, &this->peer_sessions})
    {
        sessions->is_stopping = true;
    }
}

void engine::begin_ending()
{
    if (std::exchange(this->is_ending, true))
    {
        return;
    }
    this->ending_since = std::chrono::steady_clock::now();
    this->set_stopping();
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
    if (this->on_ending)
    {
        this->on_ending();
    }
}

std::size_t engine::busy_sessions() const
{
    return this->caller_sessions.open_sessions.size() +
           this->peer_sessions.open_sessions.size() +
           this->local_sessions.open_sessions.size() +
           this->edge_sessions.open_sessions.size();
}

} // namespace plantaintally::drivers
