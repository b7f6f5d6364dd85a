// The virtual fleet's execution of effects.
#include "virtual_fleet.hpp"

namespace plantaintally::node
{

namespace
{

constexpr duration link_latency = std::chrono::milliseconds(1);
constexpr duration store_latency = std::chrono::milliseconds(3);
constexpr std::uint32_t good_status = 200;

} // namespace

void virtual_fleet::carry_out(std::size_t node, effect const& emitted)
{
    if (auto const* forwarded = std::get_if<forward_request>(&emitted))
    {
        return this->carry_out(node, *forwarded);
    }
    if (auto const* dispatched = std::get_if<dispatch_request>(&emitted))
    {
        return this->carry_out(node, *dispatched);
    }
    if (auto const* cancelled = std::get_if<cancel_attempt>(&emitted))
    {
        return this->carry_out(node, *cancelled);
    }
    if (auto const* answer = std::get_if<answer_from_attempt>(&emitted))
    {
        return this->reply(node,
                           answer->exchange,
                           this->statuses[{node, answer->attempt}],
                           answer->report,
                           true);
    }
    if (auto const* refused = std::get_if<refuse_request>(&emitted))
    {
        return this->reply(
            node, refused->exchange, refused->status, refused->report, false);
    }
    if (auto const* message = std::get_if<send_control>(&emitted))
    {
        auto const found = this->by_address.find(message->address);
        if (found != this->by_address.end())
        {
            control_envelope envelope;
            envelope.sender = this->members[node].reducer.startup_options.self;
            envelope.message = message->message;
            this->inject(
                found->second, control_received{envelope}, link_latency);
        }
        return;
    }
    if (auto const* call = std::get_if<call_store>(&emitted))
    {
        store_replied replied{call->call,
                              call->client,
                              this->store.call(call->request),
                              this->store.era};
        auto const* watch = std::get_if<store_watch>(&call->request);
        bool const waits =
            watch != nullptr &&
            std::holds_alternative<store_unchanged>(replied.result);
        return this->inject(
            node, replied, waits ? watch->limit : store_latency);
    }
    if (auto const* wake = std::get_if<wake_at>(&emitted))
    {
        instant const when = std::max(wake->when, this->time);
        this->members[node].wake = when;
        return this->schedule(when - this->time,
                              [this, node, when]()
                              {
                                  if (this->members[node].wake == when)
                                  {
                                      this->members[node].wake = instant::max();
                                      this->deliver(node, timer_fired{});
                                  }
                              });
    }
    if (std::holds_alternative<exit_process>(emitted))
    {
        this->members[node].is_running = false;
    }
}

void virtual_fleet::carry_out(std::size_t node, forward_request const& emitted)
{
    this->open_attempts[{node, emitted.attempt}] = std::nullopt;
    attempt_failed timed_out{emitted.attempt, attempt_failure::timed_out, true};
    this->schedule(emitted.timeout,
                   [this, node, timed_out]()
                   { this->end_attempt(node, timed_out.attempt, timed_out); });
    auto const found = this->by_address.find(emitted.peer_address);
    bool const is_up = found != this->by_address.end() &&
                       this->members[found->second].is_running;
    if (!is_up)
    {
        attempt_failed refused{
            emitted.attempt, attempt_failure::connect_refused, false};
        return this->schedule(
            link_latency,
            [this, node, refused]()
            { this->end_attempt(node, refused.attempt, refused); });
    }
    std::size_t const peer = found->second;
    this->schedule(
        link_latency,
        [this, node, peer, emitted]()
        {
            request_arrived arrived;
            arrived.exchange = this->next_exchange(peer);
            arrived.source = request_source::peer;
            arrived.head = emitted.head;
            arrived.hop = emitted.hop;
            exchange_key const peer_exchange{peer, arrived.exchange};
            reply_route route;
            route.to = reply_route::kind::peer;
            route.node = node;
            route.attempt = emitted.attempt;
            this->routes[peer_exchange] = route;
            auto const open = this->open_attempts.find({node, emitted.attempt});
            if (open != this->open_attempts.end())
            {
                open->second = peer_exchange;
            }
            this->deliver(peer, arrived);
        });
}

void virtual_fleet::carry_out(std::size_t node, dispatch_request const& emitted)
{
    this->open_attempts[{node, emitted.attempt}] = std::nullopt;
    attempt_failed timed_out{emitted.attempt, attempt_failure::timed_out, true};
    this->schedule(emitted.timeout,
                   [this, node, timed_out]()
                   { this->end_attempt(node, timed_out.attempt, timed_out); });
    request_head const& head = this->heads[{node, emitted.exchange}];
    upstream_job job;
    job.attempt = emitted.attempt;
    job.trace_id = head.trace_id;
    job.key = head.idempotency_key;
    job.method = head.method;
    job.deadline = this->time + emitted.time_left;
    this->start_job(node, std::move(job));
}

void virtual_fleet::carry_out(std::size_t node, cancel_attempt const& emitted)
{
    auto const open = this->open_attempts.find({node, emitted.attempt});
    if (open == this->open_attempts.end())
    {
        return;
    }
    if (open->second)
    {
        auto const [peer, exchange] = *open->second;
        this->inject(peer, caller_gone{exchange}, link_latency);
    }
    attempt_failed cancellation{
        emitted.attempt, attempt_failure::cancelled, true};
    this->schedule(
        {},
        [this, node, cancellation]()
        { this->end_attempt(node, cancellation.attempt, cancellation); });
}

void virtual_fleet::end_attempt(std::size_t node,
                                attempt_id attempt,
                                event const& end)
{
    auto const open = this->open_attempts.find({node, attempt});
    if (open == this->open_attempts.end())
    {
        return;
    }
    std::optional<exchange_key> const peer = open->second;
    this->open_attempts.erase(open);
    if (auto const* answered = std::get_if<attempt_answered>(&end))
    {
        this->statuses[{node, attempt}] = answered->status;
    }
    if (peer && std::holds_alternative<attempt_failed>(end))
    {
        this->inject(peer->first, caller_gone{peer->second}, link_latency);
    }
    this->deliver(node, end);
}

// Some lost answers are detected immediately because the connection closes.
void virtual_fleet::lose_answer(std::size_t node, attempt_id attempt)
{
    if (draw_fraction(this->random) >= this->settings.closed_fraction)
    {
        return;
    }
    attempt_failed closed{attempt, attempt_failure::closed_after_write, true};
    this->schedule(link_latency,
                   [this, node, closed]()
                   { this->end_attempt(node, closed.attempt, closed); });
}

void virtual_fleet::reply(std::size_t node,
                          exchange_id exchange,
                          std::uint32_t status,
                          hop_report const& report,
                          bool is_upstream_answer)
{
    auto const found = this->routes.find({node, exchange});
    if (found == this->routes.end())
    {
        return;
    }
    reply_route route = found->second;
    this->routes.erase(found);
    this->heads.erase({node, exchange});
    if (route.to == reply_route::kind::peer)
    {
        if (draw_fraction(this->random) <
            this->settings.lost_peer_answer_fraction)
        {
            return this->lose_answer(route.node, route.attempt);
        }
        attempt_answered answered{route.attempt, status, report, false};
        return this->schedule(
            link_latency,
            [this, route, answered]()
            { this->end_attempt(route.node, answered.attempt, answered); });
    }
    if (route.to == reply_route::kind::upstream)
    {
        bool const is_good = is_upstream_answer && status == good_status;
        return this->schedule(
            {},
            [this, route, is_good]()
            { this->end_call(route.node, route.attempt, is_good); });
    }
    route.answer.is_upstream_answer = is_upstream_answer;
    route.answer.status = status;
    route.answer.outcome = report.outcome;
    route.answer.reason =
        report.reason ? std::string(to_string(*report.reason)) : "";
    route.answer.attempts = report.attempts;
    route.answer.answered_at = this->time;
    this->caller_answers.push_back(route.answer);
    if (this->on_answer)
    {
        this->on_answer(route.answer);
    }
}

void virtual_fleet::call_downstream(std::size_t node,
                                    upstream_job const& job,
                                    std::string const& service)
{
    request_arrived arrived;
    arrived.exchange = this->next_exchange(node);
    arrived.source = request_source::local;
    arrived.head = make_head(service, "/inner", job.trace_id, job.method);
    reply_route route;
    route.to = reply_route::kind::upstream;
    route.node = node;
    route.attempt = job.attempt;
    this->routes[{node, arrived.exchange}] = route;
    this->deliver(node, arrived);
}

} // namespace plantaintally::node
