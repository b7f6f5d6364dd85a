// The part of the virtual fleet that carries out effects.
#include "virtual_fleet.hpp"

namespace plantaintally::node
{

namespace
{

constexpr duration link_latency = std::chrono::milliseconds(1);
constexpr duration store_latency = std::chrono::milliseconds(3);
constexpr std::uint32_t good_status = 200;

} // namespace

void virtual_fleet::carry_out(std::size_t node, effect const& asked)
{
    if (auto const* forwarded = std::get_if<forward_request>(&asked))
    {
        return this->carry_out(node, *forwarded);
    }
    if (auto const* dispatched = std::get_if<dispatch_request>(&asked))
    {
        return this->carry_out(node, *dispatched);
    }
    if (auto const* cancelled = std::get_if<cancel_attempt>(&asked))
    {
        return this->carry_out(node, *cancelled);
    }
    if (auto const* answer = std::get_if<answer_from_attempt>(&asked))
    {
        return this->reply(
            node, answer->exchange, good_status, answer->report, true);
    }
    if (auto const* refused = std::get_if<refuse_request>(&asked))
    {
        return this->reply(
            node, refused->exchange, refused->status, refused->report, false);
    }
    if (auto const* sent = std::get_if<send_control>(&asked))
    {
        auto const found = this->by_address.find(sent->address);
        if (found != this->by_address.end())
        {
            control_envelope envelope;
            envelope.sender = this->members[node].reducer.own.self;
            envelope.message = sent->message;
            this->hand_in(
                found->second, control_received{envelope}, link_latency);
        }
        return;
    }
    if (auto const* call = std::get_if<call_store>(&asked))
    {
        store_replied replied{
            call->call, call->client, this->store.call(call->request)};
        auto const* watch = std::get_if<store_watch>(&call->request);
        bool const waits =
            watch != nullptr &&
            std::holds_alternative<store_unchanged>(replied.result);
        return this->hand_in(
            node, replied, waits ? watch->limit : store_latency);
    }
    if (auto const* wake = std::get_if<wake_at>(&asked))
    {
        instant const when = std::max(wake->when, this->time);
        this->members[node].wake = when;
        return this->schedule(when - this->time,
                              [this, node, when]()
                              {
                                  if (this->members[node].wake == when)
                                  {
                                      this->members[node].wake = instant::max();
                                      this->give(node, timer_fired{});
                                  }
                              });
    }
    if (std::holds_alternative<exit_process>(asked))
    {
        this->members[node].is_running = false;
    }
}

void virtual_fleet::carry_out(std::size_t node, forward_request const& asked)
{
    this->open_attempts[{node, asked.attempt}] = std::nullopt;
    attempt_failed late{asked.attempt, attempt_failure::timed_out, true};
    this->schedule(asked.timeout,
                   [this, node, late]()
                   { this->end_attempt(node, late.attempt, late); });
    auto const found = this->by_address.find(asked.peer_address);
    bool const is_up = found != this->by_address.end() &&
                       this->members[found->second].is_running;
    if (!is_up)
    {
        attempt_failed refused{
            asked.attempt, attempt_failure::connect_refused, false};
        return this->schedule(
            link_latency,
            [this, node, refused]()
            { this->end_attempt(node, refused.attempt, refused); });
    }
    std::size_t const peer = found->second;
    this->schedule(
        link_latency,
        [this, node, peer, asked]()
        {
            request_arrived arrived;
            arrived.exchange = this->next_exchange(peer);
            arrived.source = request_source::peer;
            arrived.head = asked.head;
            arrived.hop = asked.hop;
            exchange_place const place{peer, arrived.exchange};
            reply_route route;
            route.to = reply_route::kind::peer;
            route.node = node;
            route.attempt = asked.attempt;
            this->routes[place] = route;
            auto const open = this->open_attempts.find({node, asked.attempt});
            if (open != this->open_attempts.end())
            {
                open->second = place;
            }
            this->give(peer, arrived);
        });
}

void virtual_fleet::carry_out(std::size_t node, dispatch_request const& asked)
{
    this->open_attempts[{node, asked.attempt}] = std::nullopt;
    attempt_failed late{asked.attempt, attempt_failure::timed_out, true};
    this->schedule(asked.timeout,
                   [this, node, late]()
                   { this->end_attempt(node, late.attempt, late); });
    request_head const& head = this->heads[{node, asked.exchange}];
    upstream_job job;
    job.attempt = asked.attempt;
    job.trace_id = head.trace_id;
    job.key = head.idempotency_key;
    job.method = head.method;
    job.deadline = this->time + asked.time_left;
    this->start_job(node, std::move(job));
}

void virtual_fleet::carry_out(std::size_t node, cancel_attempt const& asked)
{
    auto const open = this->open_attempts.find({node, asked.attempt});
    if (open == this->open_attempts.end())
    {
        return;
    }
    if (open->second)
    {
        auto const [peer, exchange] = *open->second;
        this->hand_in(peer, caller_gone{exchange}, link_latency);
    }
    attempt_failed ended{asked.attempt, attempt_failure::cancelled, true};
    this->schedule({},
                   [this, node, ended]()
                   { this->end_attempt(node, ended.attempt, ended); });
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
    std::optional<exchange_place> const peer = open->second;
    this->open_attempts.erase(open);
    if (peer && std::holds_alternative<attempt_failed>(end))
    {
        this->hand_in(peer->first, caller_gone{peer->second}, link_latency);
    }
    this->give(node, end);
}

// Some of the lost answers are noticed at once, as the connection closes.
void virtual_fleet::lose_answer(std::size_t node, attempt_id attempt)
{
    if (draw_fraction(this->random) >= this->settings.closed_share)
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
                          bool is_whole)
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
        if (draw_fraction(this->random) < this->settings.lost_peer_answers)
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
        bool const is_good = is_whole && status == good_status;
        return this->schedule(
            {},
            [this, route, is_good]()
            { this->end_call(route.node, route.attempt, is_good); });
    }
    route.answer.is_whole = is_whole;
    route.answer.status = status;
    route.answer.outcome = report.outcome;
    route.answer.reason =
        report.reason ? std::string(to_string(*report.reason)) : "";
    route.answer.attempts = report.attempts;
    route.answer.answered_at = this->time;
    this->told.push_back(std::move(route.answer));
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
    this->give(node, arrived);
}

} // namespace plantaintally::node
