#include "virtual_fleet.hpp"

#include "codec/document_codec.hpp"

#include <cmath>

namespace plantaintally::node
{

namespace
{

constexpr duration link_latency = std::chrono::milliseconds(1);
constexpr duration forming_time = std::chrono::seconds(5);
constexpr std::uint32_t good_status = 200;
constexpr std::uint32_t failed_call_status = 502;

} // namespace

bool virtual_fleet::task::operator<(task const& other) const
{
    return std::tie(other.when, other.order) <
           std::tie(this->when, this->order);
}

virtual_fleet::virtual_fleet(fleet_settings const& initial_settings)
    : settings(initial_settings), random(initial_settings.seed)
{
    configuration::document document = initial_settings.document;
    document.revision = 1;
    this->store.put(std::string(configuration::document_key),
                    codec::encode_document(document));
}

std::size_t virtual_fleet::add(upstream_plan const& plan,
                               std::string const& zone)
{
    std::size_t const index = this->members.size();
    options startup_options;
    startup_options.self.address =
        "10.0.0." + std::to_string(index + 1) + ":7000";
    startup_options.self.incarnation = 1;
    startup_options.availability_zone = zone;
    startup_options.seed = this->settings.seed + index;
    startup_options.is_policy_enabled = this->settings.is_policy_enabled;
    if (index > 0)
    {
        startup_options.contacts = {"10.0.0.1:7000"};
    }
    member fresh{
        make_state(startup_options), {}, zone, 0, instant::max(), true, {}};
    fresh.upstream.plan = plan;
    this->by_address[startup_options.self.address] = index;
    this->members.push_back(std::move(fresh));
    return index;
}

void virtual_fleet::form()
{
    for (std::size_t index = 0; index < this->members.size(); ++index)
    {
        upstream_plan const& plan = this->members[index].upstream.plan;
        upstream_announced announced;
        announced.announcement.service = plan.service;
        announced.announcement.address = "127.0.0.1:8000";
        announced.announcement.slots = plan.slots;
        announced.announcement.connections = plan.slots * 4;
        this->inject(index, announced);
    }
    this->run_for(forming_time);
}

void virtual_fleet::schedule(duration from_now, std::function<void()> action)
{
    this->tasks.push(
        task{this->time + from_now, ++this->order, std::move(action)});
}

void virtual_fleet::at(duration from_now, std::function<void()> action)
{
    this->schedule(from_now, std::move(action));
}

void virtual_fleet::inject(std::size_t node, event incoming, duration from_now)
{
    this->schedule(from_now,
                   [this, node, incoming = std::move(incoming)]()
                   { this->deliver(node, incoming); });
}

exchange_id virtual_fleet::next_exchange(std::size_t node)
{
    return exchange_id{++this->members[node].last_exchange};
}

void virtual_fleet::submit(std::size_t node,
                           request_head const& head,
                           duration from_now)
{
    this->schedule(from_now,
                   [this, node, head]()
                   {
                       request_arrived arrived;
                       arrived.exchange = this->next_exchange(node);
                       arrived.head = head;
                       reply_route route;
                       route.answer.trace_id = head.trace_id;
                       route.answer.service = head.service;
                       route.answer.rank = head.target;
                       route.answer.sent_at = this->time;
                       this->routes[{node, arrived.exchange}] = route;
                       this->deliver(node, arrived);
                   });
}

void virtual_fleet::run_for(duration span)
{
    instant const end = this->time + span;
    while (!this->tasks.empty() && this->tasks.top().when <= end)
    {
        task const next = this->tasks.top();
        this->tasks.pop();
        this->time = next.when;
        next.action();
    }
    this->time = end;
}

instant virtual_fleet::now() const
{
    return this->time;
}

virtual_upstream& virtual_fleet::upstream(std::size_t node)
{
    return this->members[node].upstream;
}

state& virtual_fleet::node(std::size_t node)
{
    return this->members[node].reducer;
}

bool virtual_fleet::has_exited(std::size_t node) const
{
    return !this->members[node].is_running;
}

std::uint32_t virtual_fleet::executions(std::string_view service,
                                        std::string const& trace_id) const
{
    std::uint32_t sum = 0;
    for (member const& each : this->members)
    {
        auto const found = each.upstream.executions.find(trace_id);
        bool const has_run = each.upstream.plan.service == service &&
                             found != each.upstream.executions.end();
        sum += has_run ? found->second : 0;
    }
    return sum;
}

std::vector<caller_answer> const& virtual_fleet::answers() const
{
    return this->caller_answers;
}

std::vector<codec::recorded_event> const&
virtual_fleet::recording(std::size_t node) const
{
    return this->members[node].recorded;
}

void virtual_fleet::deliver(std::size_t node, event const& incoming)
{
    member& target = this->members[node];
    if (!target.is_running)
    {
        return;
    }
    if (auto const* arrived = std::get_if<request_arrived>(&incoming))
    {
        this->heads[{node, arrived->exchange}] = arrived->head;
    }
    moment const at{this->time, wall_time(this->time.time_since_epoch())};
    if (this->is_recording)
    {
        target.recorded.push_back({at, incoming});
    }
    for (effect const& emitted : reduce(target.reducer, incoming, at))
    {
        this->carry_out(node, emitted);
    }
}

configuration::document test_document()
{
    configuration::document document;
    document.ranks = {{"confirmation", 40, 4, 3, std::chrono::seconds(2), true},
                      {"booking", 30, 4, 3, std::chrono::seconds(2), true},
                      {"browsing", 20, 2, 3, std::chrono::seconds(2), false},
                      {"default", 15, 1, 3, std::chrono::seconds(2), false},
                      {"export", 10, 1, 2, std::chrono::seconds(2), false}};
    document.rules = {{"r1", "", "", "/confirm", "confirmation"},
                      {"r2", "", "", "/book", "booking"},
                      {"r3", "", "", "/browse", "browsing"},
                      {"r4", "", "", "/export", "export"}};
    return document;
}

request_head make_head(std::string service,
                       std::string target,
                       std::string trace_id,
                       std::string method)
{
    request_head head;
    head.service = std::move(service);
    head.target = std::move(target);
    head.trace_id = std::move(trace_id);
    head.method = std::move(method);
    head.caller = "198.51.100.1";
    return head;
}

} // namespace plantaintally::node
