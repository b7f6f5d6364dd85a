#include "membership/measure/configuration_fleet.hpp"

#include "configuration/internal/change_rules.hpp"
#include "configuration/internal/in_force.hpp"
#include "membership/measure/samples.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::measure
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t peer_sample_size = 8;
// Mean delay of a message between regions.
constexpr duration network_delay = 20ms;
constexpr duration max_spread_time = 60s;

configuration::document first_document()
{
    configuration::document content = sample_document(20, 20, 20);
    content.revision = 100;
    return content;
}

} // namespace

configuration_fleet::configuration_fleet(std::size_t nodes,
                                         double loss_rate,
                                         std::uint64_t seed)
    : random(seed), loss(loss_rate)
{
    for (std::size_t index = 0; index < nodes; ++index)
    {
        member added{{}, random_source(seed + index), {}, {}, {}};
        added.configuration.self = {sample_address(index), 1};
        added.configuration.availability_zone =
            "zone-" + std::to_string(index % planned_zones);
        added.configuration.in_force = first_document();
        added.configuration.is_started = true;
        added.configuration.is_ready = true;
        // There is no platform's key-value store here, so no node must become a
        // relay.
        added.configuration.own_relay.is_call_in_flight = true;
        added.configuration.next_digest =
            this->now + std::chrono::duration_cast<duration>(
                            2s * draw_fraction(this->random));
        this->index_by_address[sample_address(index)] = index;
        this->members.push_back(std::move(added));
    }
    for (std::size_t index = 0; index < nodes; ++index)
    {
        this->set_timer(index);
    }
}

void configuration_fleet::run_for(duration span)
{
    instant const end = this->now + span;
    while (!this->queue.empty() && this->queue.top().at <= end)
    {
        scheduled const next = this->queue.top();
        this->queue.pop();
        this->handle(next);
    }
    this->now = end;
}

void configuration_fleet::accept_change(configuration::change const& requested)
{
    member& first = this->members.front();
    using namespace configuration;
    document successor =
        make_successor(first.configuration.in_force, requested).value();
    accepted_change accepted;
    accepted.base_revision = successor.revision;
    accepted.revision = successor.revision + 1;
    accepted.requested = requested;
    set_revision(successor, accepted.revision);
    accepted.content_hash = hash_document(successor);
    effects produced;
    step current{
        moment{this->now, {}}, first.random, first.ids, first.clock, produced};
    adopt_change(first.configuration, accepted, current);
    this->apply_effects(0, produced);
    this->set_timer(0);
}

spread_figures configuration_fleet::run_until_in_force()
{
    instant const begin = this->now;
    std::uint64_t const revision =
        this->members.front().configuration.in_force.revision;
    std::vector<bool> has_change(this->members.size(), false);
    has_change[0] = true;
    std::size_t count = 1;
    spread_figures figures;
    this->change_messages = 0;
    while (count < this->members.size() && !this->queue.empty() &&
           this->now - begin < max_spread_time)
    {
        scheduled const next = this->queue.top();
        this->queue.pop();
        this->handle(next);
        bool const has_change_now =
            this->members[next.receiver].configuration.in_force.revision ==
            revision;
        if (has_change_now && !has_change[next.receiver])
        {
            has_change[next.receiver] = true;
            count += 1;
            figures.until_all = this->now - begin;
        }
        if (count * 100 >= this->members.size() * 99 &&
            figures.until_99_percent == duration{})
        {
            figures.until_99_percent = this->now - begin;
        }
    }
    if (count < this->members.size())
    {
        figures.until_all = duration::max();
    }
    // Rounds that carry the change continue after the last node has it.
    this->run_for(2s);
    figures.messages = this->change_messages;
    return figures;
}

void configuration_fleet::handle(scheduled const& next)
{
    this->now = std::max(this->now, next.at);
    member& receiver = this->members[next.receiver];
    effects produced;
    step current{moment{this->now, {}},
                 receiver.random,
                 receiver.ids,
                 receiver.clock,
                 produced};
    std::vector<std::string> const peers = this->draw_peers(next.receiver);
    if (next.message)
    {
        configuration::handle_message(
            receiver.configuration,
            this->members[next.sender].configuration.self,
            *next.message,
            peers,
            current);
    }
    else if (receiver.timer_at == next.at)
    {
        receiver.timer_at.reset();
        configuration::handle_time(receiver.configuration, peers, current);
    }
    this->apply_effects(next.receiver, produced);
    this->set_timer(next.receiver);
}

void configuration_fleet::apply_effects(std::size_t index,
                                        effects const& produced)
{
    for (effect const& produced_effect : produced)
    {
        auto const* sent = std::get_if<send_control>(&produced_effect);
        if (sent == nullptr)
        {
            continue;
        }
        auto const& message = std::get<configuration::message>(sent->message);
        this->change_messages +=
            std::holds_alternative<configuration::change_batch>(message) ? 1
                                                                         : 0;
        if (draw_fraction(this->random) < this->loss)
        {
            continue;
        }
        this->queue.push(scheduled{
            this->now + draw_jittered(this->random, network_delay, 0.9),
            ++this->last_order,
            this->index_by_address.at(sent->address),
            index,
            message});
    }
}

void configuration_fleet::set_timer(std::size_t index)
{
    member& subject = this->members[index];
    std::optional<instant> const next =
        configuration::next_wakeup(subject.configuration);
    if (!next || subject.timer_at == next)
    {
        return;
    }
    subject.timer_at = std::max(*next, this->now);
    this->queue.push(scheduled{
        *subject.timer_at, ++this->last_order, index, index, std::nullopt});
}

std::vector<std::string> configuration_fleet::draw_peers(std::size_t self)
{
    std::vector<std::string> peers;
    while (peers.size() < std::min(peer_sample_size, this->members.size() - 1))
    {
        std::size_t const chosen =
            draw_below(this->random, this->members.size());
        std::string const& address =
            this->members[chosen].configuration.self.address;
        bool const is_drawn =
            std::find(peers.begin(), peers.end(), address) != peers.end();
        if (chosen != self && !is_drawn)
        {
            peers.push_back(address);
        }
    }
    return peers;
}

} // namespace plantaintally::measure
