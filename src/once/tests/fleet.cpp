#include "once/tests/fleet.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace plantaintally::once::test
{

namespace
{

constexpr char const* service_name = "bookings";
constexpr std::size_t zone_count = 3;
// Maximum errors of each process' clocks: half of the bounds in the options, as
// the errors of two processes may have opposite signs.
constexpr double largest_rate_error = 0.04;
constexpr std::int64_t largest_wall_error_us = 250'000;

std::string address_of(std::size_t index)
{
    return "10.0.0." + std::to_string(index + 1) + ":7001";
}

std::string zone_of(std::string const& address)
{
    return "zone-" + std::to_string(stable_hash(address) % zone_count);
}

bool is_not_run(claim_decision const& decision)
{
    auto const* refused = std::get_if<refuse_key>(&decision);
    return refused != nullptr && refused->outcome == verdict::not_run;
}

} // namespace

std::string make_key(duration at, int number)
{
    std::int64_t const created_at_ms = (start_us + at.count()) / 1000;
    std::array<char, 40> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%08llx-%04llx-7000-8000-%012x",
                  static_cast<unsigned long long>(created_at_ms >> 16),
                  static_cast<unsigned long long>(created_at_ms & 0xffff),
                  static_cast<unsigned>(number));
    return text.data();
}

moment process::read_clocks(instant at) const
{
    auto const elapsed = static_cast<double>(at.time_since_epoch().count());
    duration const local(
        static_cast<duration::rep>(elapsed * this->monotonic_rate));
    return {instant(this->monotonic_base + local),
            wall_time(duration(start_us) + at.time_since_epoch() +
                      this->wall_clock_error)};
}

instant process::to_virtual_time(instant local_time) const
{
    duration const local = local_time.time_since_epoch() - this->monotonic_base;
    double const elapsed =
        static_cast<double>(local.count()) / this->monotonic_rate;
    return instant(duration(static_cast<duration::rep>(elapsed) + 1));
}

bool fleet::due_event::operator<(due_event const& other) const
{
    return std::pair(other.at, other.sequence) <
           std::pair(this->at, this->sequence);
}

fleet::fleet(std::size_t nodes, std::uint64_t seed, std::uint32_t max_keys)
    : key_limit(max_keys), rng(seed)
{
    for (std::size_t i = 0; i < nodes; ++i)
    {
        this->processes[address_of(i)].is_alive = false;
    }
    for (std::string const& address : this->addresses())
    {
        this->restart(address);
    }
    this->update_members();
}

std::vector<std::string> fleet::addresses() const
{
    std::vector<std::string> listed;
    for (auto const& [address, node] : this->processes)
    {
        listed.push_back(address);
    }
    return listed;
}

process& fleet::at(std::string const& address)
{
    return this->processes.at(address);
}

duration fleet::elapsed() const
{
    return this->time.time_since_epoch();
}

exchange_id fleet::last_exchange() const
{
    return exchange_id{this->last_exchange_number};
}

step fleet::make_step(process& owner)
{
    return {owner.read_clocks(this->time),
            owner.random,
            owner.ids,
            owner.clock,
            this->effects_out};
}

void fleet::schedule(instant at, std::function<void()> run)
{
    this->events.push({at, ++this->last_event_sequence, std::move(run)});
}

void fleet::run_step_at(std::string const& address,
                        std::uint64_t incarnation,
                        std::function<void(process&, step&)> handle)
{
    process& node = this->at(address);
    bool const is_same =
        node.is_alive &&
        node.once.startup_options.self.incarnation == incarnation;
    if (!is_same)
    {
        return;
    }
    if (node.paused_until > this->time)
    {
        this->schedule(node.paused_until,
                       [this, address, incarnation, handle = std::move(handle)]
                       { this->run_step_at(address, incarnation, handle); });
        return;
    }
    step current = this->make_step(node);
    handle(node, current);
    for (resolved_claim& resolved : take_resolved_claims(node.once, current))
    {
        this->count_decision(resolved.exchange, resolved.decision);
        this->resolved_decisions.insert_or_assign(resolved.exchange,
                                                  resolved.decision);
    }
    this->apply_effects(address, node);
}

void fleet::apply_effects(std::string const& address, process& owner)
{
    effects const effects_to_apply = std::move(this->effects_out);
    this->effects_out.clear();
    for (effect const& requested : effects_to_apply)
    {
        if (auto const* sent = std::get_if<send_control>(&requested))
        {
            this->send_message(address, *sent);
        }
        if (auto const* called = std::get_if<call_store>(&requested))
        {
            this->reply_from_store(address, owner, *called);
        }
    }
}

void fleet::send_message(std::string const& from, send_control const& sent)
{
    bool const is_broken =
        this->cut_links.contains(std::minmax(from, sent.address));
    bool const is_lost = draw_fraction(this->rng) < this->network.loss;
    if (is_broken || is_lost || !this->processes.contains(sent.address))
    {
        return;
    }
    node_id const sender = this->at(from).once.startup_options.self;
    auto const content = std::get<message>(sent.message);
    duration const range =
        this->network.longest_delay - this->network.shortest_delay;
    duration const delay =
        this->network.shortest_delay +
        duration(
            draw_below(this->rng, static_cast<std::size_t>(range.count()) + 1));
    std::string const address = sent.address;
    this->schedule(
        this->time + delay,
        [this, sender, content, address]
        {
            std::uint64_t const incarnation =
                this->at(address).once.startup_options.self.incarnation;
            this->run_step_at(
                address,
                incarnation,
                [sender, content](process& receiver, step& current)
                { handle_message(receiver.once, sender, content, current); });
        });
}

store_result fleet::execute_store_request(store_request const& request)
{
    if (auto const* read = std::get_if<store_get>(&request))
    {
        ++this->store_reads;
        auto const found = this->store.find(read->key);
        return found == this->store.end() ? store_result(store_missing{})
                                          : store_result(found->second);
    }
    auto const& write = std::get<store_compare_and_set>(request);
    ++this->store_writes;
    store_entry& entry = this->store[write.key];
    if (entry.revision != write.expected_revision)
    {
        return store_conflict{entry.revision};
    }
    entry = {write.key, write.value, ++this->last_store_revision};
    return store_written{entry.revision};
}

void fleet::reply_from_store(std::string const& address,
                             process& owner,
                             call_store const& called)
{
    std::uint64_t const incarnation =
        owner.once.startup_options.self.incarnation;
    duration delay = milliseconds(2);
    store_result result = store_unavailable{true};
    if (!this->is_store_down)
    {
        result = this->execute_store_request(called.request);
        if (this->drops_store_replies)
        {
            result = store_unavailable{true};
        }
    }
    if (std::holds_alternative<store_unavailable>(result))
    {
        delay = called.timeout;
    }
    store_call_id const call = called.call;
    this->schedule(this->time + delay,
                   [this, address, incarnation, call, result]
                   {
                       this->run_step_at(
                           address,
                           incarnation,
                           [call, result](process& caller, step& current) {
                               handle_store(caller.once, call, result, current);
                           });
                   });
}

std::optional<instant> fleet::next_timer() const
{
    std::optional<instant> earliest;
    for (auto const& [address, node] : this->processes)
    {
        std::optional<instant> const due = next_wakeup(node.once);
        if (!node.is_alive || !due)
        {
            continue;
        }
        instant const at = std::max(
            {node.to_virtual_time(*due), node.paused_until, this->time});
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

void fleet::run_timers()
{
    for (auto& [address, node] : this->processes)
    {
        std::optional<instant> const due = next_wakeup(node.once);
        bool const is_due =
            node.is_alive && due && node.to_virtual_time(*due) <= this->time;
        if (is_due && node.paused_until <= this->time)
        {
            this->run_step_at(address,
                              node.once.startup_options.self.incarnation,
                              [](process& woken, step& current)
                              { handle_time(woken.once, current); });
        }
    }
}

void fleet::run_for(duration span)
{
    instant const end = this->time + span;
    while (true)
    {
        std::optional<instant> const timer = this->next_timer();
        bool const is_event_next = !this->events.empty() &&
                                   (!timer || this->events.top().at <= *timer);
        instant const next = is_event_next ? this->events.top().at
                                           : timer.value_or(instant::max());
        if (next > end)
        {
            break;
        }
        this->time = std::max(this->time, next);
        if (!is_event_next)
        {
            this->run_timers();
            continue;
        }
        due_event const due = this->events.top();
        this->events.pop();
        due.run();
    }
    this->time = end;
}

claim_decision fleet::submit_claim(std::string const& address,
                                   std::string const& key)
{
    process& node = this->at(address);
    exchange_id const exchange{++this->last_exchange_number};
    this->submitted_claims[exchange] = {
        key, address, node.once.startup_options.self.incarnation};
    step current = this->make_step(node);
    claim_decision decision =
        claim_key(node.once, {exchange, service_name, key}, current);
    this->count_decision(exchange, decision);
    this->apply_effects(address, node);
    return decision;
}

void fleet::count_decision(exchange_id exchange, claim_decision const& decision)
{
    std::string const& key = this->submitted_claims.at(exchange).key;
    if (std::holds_alternative<run_now>(decision))
    {
        ++this->execution_counts[key];
    }
    if (is_not_run(decision) && this->execution_counts[key] > 0)
    {
        this->wrong_not_run_keys.push_back(key);
    }
}

void fleet::finish(exchange_id exchange, verdict outcome, std::uint64_t attempt)
{
    submitted_claim const& claimed = this->submitted_claims.at(exchange);
    bool is_delivered = false;
    this->run_step_at(claimed.home,
                      claimed.incarnation,
                      [&](process& node, step& current)
                      {
                          is_delivered = true;
                          finish_key(node.once,
                                     exchange,
                                     {outcome, attempt_id{attempt}, {}},
                                     current);
                      });
    if (is_delivered && outcome == verdict::not_run)
    {
        --this->execution_counts[claimed.key];
    }
}

std::optional<claim_decision>
fleet::resolved_decision(exchange_id exchange) const
{
    auto const found = this->resolved_decisions.find(exchange);
    return found == this->resolved_decisions.end()
               ? std::nullopt
               : std::optional(found->second);
}

void fleet::crash(std::string const& address)
{
    this->at(address).is_alive = false;
}

void fleet::restart(std::string const& address)
{
    process& node = this->at(address);
    std::uint64_t const incarnation =
        node.once.startup_options.self.incarnation + 1;
    process started;
    std::swap(node, started);
    node.once.startup_options.self = {address, incarnation};
    node.once.startup_options.availability_zone = zone_of(address);
    node.once.startup_options.key_limit = this->key_limit;
    node.random = random_source(stable_hash(address, incarnation));
    node.monotonic_base = seconds(1 + draw_below(this->rng, 1000));
    node.monotonic_rate =
        1 + largest_rate_error * (2 * draw_fraction(this->rng) - 1);
    node.wall_clock_error =
        duration(static_cast<std::int64_t>(
                     draw_below(this->rng, 2 * largest_wall_error_us)) -
                 largest_wall_error_us);
    step current = this->make_step(node);
    start(node.once, current);
}

void fleet::pause(std::string const& address, duration span)
{
    this->at(address).paused_until = this->time + span;
}

void fleet::disconnect(std::string const& first, std::string const& second)
{
    this->cut_links.insert(std::minmax(first, second));
}

void fleet::isolate(std::string const& address)
{
    for (std::string const& other : this->addresses())
    {
        this->disconnect(address, other);
    }
}

void fleet::connect_all()
{
    this->cut_links.clear();
}

std::vector<membership::member_record>
fleet::live_members(std::set<std::string> const& without) const
{
    std::vector<membership::member_record> members;
    for (auto const& [address, node] : this->processes)
    {
        if (node.is_alive && !without.contains(address))
        {
            membership::member_record member;
            member.node = node.once.startup_options.self;
            member.service = service_name;
            member.availability_zone =
                node.once.startup_options.availability_zone;
            members.push_back(std::move(member));
        }
    }
    return members;
}

void fleet::update_members_at(std::string const& address,
                              std::set<std::string> const& without)
{
    std::vector<membership::member_record> const members =
        this->live_members(without);
    this->run_step_at(
        address,
        this->at(address).once.startup_options.self.incarnation,
        [members](process& updated, step& current) {
            handle_members(
                updated.once, service_name, members, members, current);
        });
}

void fleet::update_members(std::set<std::string> const& without)
{
    for (std::string const& address : this->addresses())
    {
        this->update_members_at(address, without);
    }
}

void fleet::leave(std::string const& address)
{
    this->update_members({address});
    this->run_step_at(address,
                      this->at(address).once.startup_options.self.incarnation,
                      [](process& leaving, step& current)
                      { hand_over(leaving.once, current); });
}

epoch const* fleet::newest_known_epoch() const
{
    epoch const* newest = nullptr;
    for (auto const& [address, node] : this->processes)
    {
        for (auto const& [name, cell] : node.once.cells)
        {
            bool const is_newer =
                !cell.epochs.empty() &&
                (newest == nullptr ||
                 cell.epochs.back().content.number > newest->number);
            if (is_newer)
            {
                newest = &cell.epochs.back().content;
            }
        }
    }
    return newest;
}

std::string fleet::home(std::string const& key) const
{
    epoch const* newest = this->newest_known_epoch();
    node_id const* found = newest == nullptr ? nullptr : home_of(*newest, key);
    return found == nullptr ? std::string() : found->address;
}

std::string fleet::new_key_with_home(std::string const& address,
                                     duration created_at)
{
    static int number = 0;
    while (true)
    {
        std::string key = make_key(created_at, ++number);
        if (this->home(key) == address)
        {
            return key;
        }
    }
}

int fleet::executions(std::string const& key) const
{
    auto const found = this->execution_counts.find(key);
    return found == this->execution_counts.end() ? 0 : found->second;
}

} // namespace plantaintally::once::test
