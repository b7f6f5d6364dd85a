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
// Clocks of different processes differ by this at most: half the options'
// bound on each side.
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

bool is_not_run(claim_decision const& made)
{
    auto const* refused = std::get_if<refuse_key>(&made);
    return refused != nullptr && refused->outcome == verdict::not_run;
}

} // namespace

std::string make_key(duration at, int number)
{
    std::int64_t const minted_ms = (start_us + at.count()) / 1000;
    std::array<char, 40> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%08llx-%04llx-7000-8000-%012x",
                  static_cast<unsigned long long>(minted_ms >> 16),
                  static_cast<unsigned long long>(minted_ms & 0xffff),
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
                      this->wall_error)};
}

instant process::when(instant shown) const
{
    duration const local = shown.time_since_epoch() - this->monotonic_base;
    double const elapsed =
        static_cast<double>(local.count()) / this->monotonic_rate;
    return instant(duration(static_cast<duration::rep>(elapsed) + 1));
}

bool fleet::due_event::operator<(due_event const& other) const
{
    return std::pair(other.at, other.order) < std::pair(this->at, this->order);
}

fleet::fleet(std::size_t nodes, std::uint64_t seed, std::uint32_t limit)
    : key_limit(limit), chance(seed)
{
    for (std::size_t i = 0; i < nodes; ++i)
    {
        this->processes[address_of(i)].is_alive = false;
    }
    for (std::string const& address : this->addresses())
    {
        this->restart(address);
    }
    this->spread_members();
}

std::vector<std::string> fleet::addresses() const
{
    std::vector<std::string> listed;
    for (auto const& [address, known] : this->processes)
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
    return exchange_id{this->exchanges};
}

step fleet::make_step(process& at_process)
{
    return {at_process.read_clocks(this->time),
            at_process.random,
            at_process.ids,
            at_process.clock,
            this->effects_out};
}

void fleet::schedule(instant at, std::function<void()> run)
{
    this->events.push({at, ++this->orders, std::move(run)});
}

void fleet::handle_at(std::string const& address,
                      std::uint64_t incarnation,
                      std::function<void(process&, step&)> handle)
{
    process& known = this->at(address);
    bool const is_same =
        known.is_alive && known.once.own.self.incarnation == incarnation;
    if (!is_same)
    {
        return;
    }
    if (known.paused_until > this->time)
    {
        this->schedule(known.paused_until,
                       [this, address, incarnation, handle = std::move(handle)]
                       { this->handle_at(address, incarnation, handle); });
        return;
    }
    step current = this->make_step(known);
    handle(known, current);
    for (resolved_claim& made : take_resolved_claims(known.once, current))
    {
        this->note_claim(made.exchange, made.decision);
        this->resolutions.insert_or_assign(made.exchange, made.decision);
    }
    this->carry_out(address, known);
}

void fleet::carry_out(std::string const& address, process& at_process)
{
    effects const asked_effects = std::move(this->effects_out);
    this->effects_out.clear();
    for (effect const& wanted : asked_effects)
    {
        if (auto const* sent = std::get_if<send_control>(&wanted))
        {
            this->deliver(address, *sent);
        }
        if (auto const* called = std::get_if<call_store>(&wanted))
        {
            this->answer_store(address, at_process, *called);
        }
    }
}

void fleet::deliver(std::string const& from, send_control const& sent)
{
    bool const is_broken =
        this->broken_links.contains(std::minmax(from, sent.address));
    bool const is_lost = draw_fraction(this->chance) < this->network.loss;
    if (is_broken || is_lost || !this->processes.contains(sent.address))
    {
        return;
    }
    node_id const sender = this->at(from).once.own.self;
    auto const content = std::get<message>(sent.message);
    duration const range =
        this->network.longest_delay - this->network.shortest_delay;
    duration const delay =
        this->network.shortest_delay +
        duration(draw_below(this->chance,
                            static_cast<std::size_t>(range.count()) + 1));
    std::string const address = sent.address;
    this->schedule(
        this->time + delay,
        [this, sender, content, address]
        {
            std::uint64_t const incarnation =
                this->at(address).once.own.self.incarnation;
            this->handle_at(
                address,
                incarnation,
                [sender, content](process& receiver, step& current)
                { handle_message(receiver.once, sender, content, current); });
        });
}

store_result fleet::serve(store_request const& request)
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
    entry = {write.key, write.value, ++this->revisions};
    return store_written{entry.revision};
}

void fleet::answer_store(std::string const& address,
                         process& at_process,
                         call_store const& called)
{
    std::uint64_t const incarnation = at_process.once.own.self.incarnation;
    duration delay = milliseconds(2);
    store_result result = store_unavailable{true};
    if (!this->is_store_down)
    {
        result = this->serve(called.request);
        if (this->loses_store_answers)
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
                       this->handle_at(
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
    for (auto const& [address, known] : this->processes)
    {
        std::optional<instant> const due = next_deadline(known.once);
        if (!known.is_alive || !due)
        {
            continue;
        }
        instant const at =
            std::max({known.when(*due), known.paused_until, this->time});
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

void fleet::run_timers()
{
    for (auto& [address, known] : this->processes)
    {
        std::optional<instant> const due = next_deadline(known.once);
        bool const is_due =
            known.is_alive && due && known.when(*due) <= this->time;
        if (is_due && known.paused_until <= this->time)
        {
            this->handle_at(address,
                            known.once.own.self.incarnation,
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

claim_decision fleet::ask(std::string const& address, std::string const& key)
{
    process& known = this->at(address);
    exchange_id const exchange{++this->exchanges};
    this->asked[exchange] = {key, address, known.once.own.self.incarnation};
    step current = this->make_step(known);
    claim_decision made =
        claim_key(known.once, {exchange, service_name, key}, current);
    this->note_claim(exchange, made);
    this->carry_out(address, known);
    return made;
}

void fleet::note_claim(exchange_id exchange, claim_decision const& made)
{
    std::string const& key = this->asked.at(exchange).key;
    if (std::holds_alternative<run_now>(made))
    {
        ++this->allowed[key];
    }
    if (is_not_run(made) && this->allowed[key] > 0)
    {
        this->false_refusals.push_back(key);
    }
}

void fleet::finish(exchange_id exchange, verdict outcome, std::uint64_t attempt)
{
    asked_claim const& claimed = this->asked.at(exchange);
    bool was_told = false;
    this->handle_at(claimed.home,
                    claimed.incarnation,
                    [&](process& known, step& current)
                    {
                        was_told = true;
                        finish_key(known.once,
                                   exchange,
                                   {outcome, attempt_id{attempt}, {}},
                                   current);
                    });
    if (was_told && outcome == verdict::not_run)
    {
        --this->allowed[claimed.key];
    }
}

std::optional<claim_decision> fleet::resolved(exchange_id exchange) const
{
    auto const found = this->resolutions.find(exchange);
    return found == this->resolutions.end() ? std::nullopt
                                            : std::optional(found->second);
}

void fleet::crash(std::string const& address)
{
    this->at(address).is_alive = false;
}

void fleet::restart(std::string const& address)
{
    process& known = this->at(address);
    std::uint64_t const incarnation = known.once.own.self.incarnation + 1;
    process started;
    std::swap(known, started);
    known.once.own.self = {address, incarnation};
    known.once.own.availability_zone = zone_of(address);
    known.once.own.key_limit = this->key_limit;
    known.random = random_source(stable_hash(address, incarnation));
    known.monotonic_base = seconds(1 + draw_below(this->chance, 1000));
    known.monotonic_rate =
        1 + largest_rate_error * (2 * draw_fraction(this->chance) - 1);
    known.wall_error = duration(static_cast<std::int64_t>(draw_below(
                                    this->chance, 2 * largest_wall_error_us)) -
                                largest_wall_error_us);
    step current = this->make_step(known);
    start(known.once, current);
}

void fleet::pause(std::string const& address, duration span)
{
    this->at(address).paused_until = this->time + span;
}

void fleet::disconnect(std::string const& first, std::string const& second)
{
    this->broken_links.insert(std::minmax(first, second));
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
    this->broken_links.clear();
}

std::vector<membership::member_record>
fleet::view(std::set<std::string> const& without) const
{
    std::vector<membership::member_record> members;
    for (auto const& [address, known] : this->processes)
    {
        if (known.is_alive && !without.contains(address))
        {
            membership::member_record member;
            member.node = known.once.own.self;
            member.service = service_name;
            member.availability_zone = known.once.own.availability_zone;
            members.push_back(std::move(member));
        }
    }
    return members;
}

void fleet::tell_members(std::string const& address,
                         std::set<std::string> const& without)
{
    std::vector<membership::member_record> const members = this->view(without);
    this->handle_at(address,
                    this->at(address).once.own.self.incarnation,
                    [members](process& told, step& current) {
                        handle_members(
                            told.once, service_name, members, members, current);
                    });
}

void fleet::spread_members(std::set<std::string> const& without)
{
    for (std::string const& address : this->addresses())
    {
        this->tell_members(address, without);
    }
}

void fleet::leave(std::string const& address)
{
    this->spread_members({address});
    this->handle_at(address,
                    this->at(address).once.own.self.incarnation,
                    [](process& leaving, step& current)
                    { hand_over(leaving.once, current); });
}

epoch const* fleet::newest_known() const
{
    epoch const* newest = nullptr;
    for (auto const& [address, known] : this->processes)
    {
        for (auto const& [name, cell] : known.once.cells)
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
    epoch const* newest = this->newest_known();
    node_id const* found = newest == nullptr ? nullptr : home_of(*newest, key);
    return found == nullptr ? std::string() : found->address;
}

std::string fleet::key_at(std::string const& address, duration minted)
{
    static int number = 0;
    while (true)
    {
        std::string key = make_key(minted, ++number);
        if (this->home(key) == address)
        {
            return key;
        }
    }
}

int fleet::executions(std::string const& key) const
{
    auto const found = this->allowed.find(key);
    return found == this->allowed.end() ? 0 : found->second;
}

} // namespace plantaintally::once::test
