#include "test_fleet/fleet.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::test_fleet
{

namespace
{

// Number of random peers that each step offers to the configuration module as
// gossip targets.
constexpr std::size_t peer_sample_size = 8;

void handle_control(fleet_node& node,
                    node_id const& sender,
                    control_message const& received,
                    step& current)
{
    if (auto const* message = std::get_if<membership::message>(&received))
    {
        membership::handle_message(node.membership, sender, *message, current);
        if (auto const* beat = std::get_if<membership::heartbeat>(message))
        {
            configuration::note_peer_revision(node.configuration,
                                              sender.address,
                                              beat->configuration_revision,
                                              current);
        }
    }
    if (auto const* message = std::get_if<configuration::message>(&received))
    {
        configuration::handle_message(
            node.configuration,
            sender,
            *message,
            membership::draw_peers(node.membership, peer_sample_size, current),
            current);
    }
}

void handle_timer(fleet_node& node, step& current)
{
    membership::set_configuration_revision(
        node.membership, node.configuration.in_force.revision);
    membership::handle_time(node.membership, current);
    configuration::handle_time(
        node.configuration,
        membership::draw_peers(node.membership, peer_sample_size, current),
        current);
}

} // namespace

fleet_node& fleet::start_node(std::string const& address,
                              std::string const& zone,
                              std::string const& service,
                              std::vector<std::string> contacts)
{
    this->nodes.erase(address);
    std::uint64_t const incarnation = ++this->incarnations[address];
    auto const seed =
        static_cast<std::uint64_t>(draw_below(this->random, 1'000'000'000));
    fleet_node& node =
        this->nodes.emplace(address, fleet_node(seed)).first->second;
    node.membership.startup_options.self = node_id{address, incarnation};
    node.membership.startup_options.availability_zone = zone;
    node.membership.startup_options.contacts = std::move(contacts);
    node.configuration.self = node.membership.startup_options.self;
    node.configuration.availability_zone = zone;
    this->run_step(address,
                   [&](fleet_node& self, step& current)
                   {
                       membership::start(self.membership, current);
                       configuration::start(self.configuration, current);
                       if (!service.empty())
                       {
                           upstream_announcement announcement;
                           announcement.service = service;
                           announcement.slots = 10;
                           membership::announce(
                               self.membership, announcement, current);
                       }
                   });
    return node;
}

void fleet::crash(std::string const& address)
{
    this->at(address).is_up = false;
}

void fleet::pause(std::string const& address, duration span)
{
    this->at(address).paused_until = this->clock + span;
}

void fleet::run_step(std::string const& address, action const& body)
{
    fleet_node& node = this->at(address);
    effects requested;
    wall_time const wall(this->clock.time_since_epoch());
    step current{moment{this->clock, wall},
                 node.random,
                 node.ids,
                 node.clock,
                 requested};
    body(node, current);
    this->carry_out(node, requested);
    this->set_timer(node);
}

void fleet::submit(std::string const& address,
                   std::uint64_t command,
                   configuration::change const& requested)
{
    this->run_step(address,
                   [&](fleet_node& node, step& current)
                   {
                       configuration::submit_change(node.configuration,
                                                    command_id{command},
                                                    requested,
                                                    current);
                   });
}

void fleet::run_for(duration span)
{
    instant const end = this->clock + span;
    while (!this->queue.empty() && this->queue.top().at <= end)
    {
        this->run_next();
    }
    this->clock = end;
}

bool fleet::run_until(std::function<bool()> const& is_reached, duration limit)
{
    instant const end = this->clock + limit;
    while (!is_reached())
    {
        if (this->queue.empty() || this->queue.top().at > end)
        {
            return false;
        }
        this->run_next();
    }
    return true;
}

fleet_node& fleet::at(std::string const& address)
{
    return this->nodes.at(address);
}

membership::member_status fleet::status(std::string const& viewer,
                                        std::string const& subject)
{
    membership::member_record const* const record =
        membership::find_member(this->at(viewer).membership, subject);
    return record == nullptr ? membership::member_status::gone : record->status;
}

std::string fleet::command_status(std::string const& address,
                                  std::uint64_t command)
{
    for (answer_operator const& answer : this->at(address).answers)
    {
        if (answer.command.value == command)
        {
            return answer.status;
        }
    }
    return "";
}

std::vector<std::string> fleet::live_addresses() const
{
    std::vector<std::string> addresses;
    for (auto const& [address, node] : this->nodes)
    {
        if (node.is_up)
        {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void fleet::schedule(instant when,
                     std::string const& address,
                     std::uint64_t incarnation,
                     action body)
{
    this->queue.push(scheduled{
        when, ++this->last_order, address, incarnation, std::move(body)});
}

void fleet::run_next()
{
    scheduled next = this->queue.top();
    this->queue.pop();
    this->clock = std::max(this->clock, next.at);
    auto const found = this->nodes.find(next.address);
    bool const is_deliverable =
        found != this->nodes.end() && found->second.is_up &&
        (next.incarnation == 0 ||
         next.incarnation ==
             found->second.membership.startup_options.self.incarnation);
    if (!is_deliverable)
    {
        return;
    }
    if (found->second.paused_until > this->clock)
    {
        this->schedule(found->second.paused_until,
                       next.address,
                       next.incarnation,
                       std::move(next.body));
        return;
    }
    this->run_step(next.address, next.body);
}

void fleet::carry_out(fleet_node& node, effects const& requested)
{
    // A renewed link takes the messages of later steps only.
    std::vector<std::string> renewed;
    for (effect const& each : requested)
    {
        if (auto const* renewal = std::get_if<renew_link>(&each))
        {
            renewed.push_back(renewal->address);
        }
        if (auto const* sent = std::get_if<send_control>(&each))
        {
            this->deliver(node, *sent);
        }
        if (auto const* called = std::get_if<call_store>(&each))
        {
            this->call(node, *called);
        }
        if (auto const* answer = std::get_if<answer_operator>(&each))
        {
            node.answers.push_back(*answer);
        }
        if (auto const* entry = std::get_if<record_entry>(&each);
            entry != nullptr && this->keeps_entries)
        {
            node.entries.push_back(entry->entry);
        }
    }
    std::string const& address = node.membership.startup_options.self.address;
    for (std::string const& receiver : renewed)
    {
        this->net.stale_links.erase({address, receiver});
    }
}

void fleet::deliver(fleet_node const& from, send_control const& sent)
{
    if (this->on_send)
    {
        this->on_send(from.membership.startup_options.self.address, sent);
    }
    node_id const sender = from.membership.startup_options.self;
    bool const is_lost =
        this->net.loss > 0 && draw_fraction(this->random) < this->net.loss;
    if (is_lost || this->is_cut(sender.address, sent.address))
    {
        return;
    }
    duration const delay = draw_jittered(this->random, this->net.delay, 0.5);
    this->schedule(
        this->clock + delay,
        sent.address,
        0,
        [sender, message = sent.message](fleet_node& node, step& current)
        { handle_control(node, sender, message, current); });
}

void fleet::call(fleet_node const& from, call_store const& requested)
{
    if (this->on_store_call)
    {
        this->on_store_call(requested);
    }
    // The store executes the request even if its answer comes after the
    // timeout, so the node can't know whether the request took effect.
    store_result result = this->store.handle(requested.request, this->clock);
    std::uint64_t era = this->store.is_down ? 0 : this->store.era;
    duration delay = this->store.delay;
    if (delay > requested.timeout)
    {
        delay = requested.timeout;
        result = store_unavailable{true};
        era = 0;
    }
    this->schedule(
        this->clock + delay,
        from.membership.startup_options.self.address,
        from.membership.startup_options.self.incarnation,
        [id = requested.call, client = requested.client, result, era](
            fleet_node& node, step& current)
        {
            membership::note_store_era(node.membership, era, current);
            membership::note_store_reply(node.membership, id, result, current);
            if (client == store_client::membership)
            {
                membership::handle_store(node.membership, id, result, current);
                return;
            }
            configuration::handle_store(
                node.configuration, id, result, current);
        });
}

void fleet::set_timer(fleet_node& node)
{
    std::optional<instant> next = membership::next_wakeup(node.membership);
    std::optional<instant> const configuration_next =
        configuration::next_wakeup(node.configuration);
    if (configuration_next && (!next || *configuration_next < *next))
    {
        next = configuration_next;
    }
    if (!next)
    {
        return;
    }
    if (node.timer_at == next)
    {
        return;
    }
    node.timer_at = next;
    std::uint64_t const timer = ++node.timer;
    this->schedule(std::max(*next, this->clock),
                   node.membership.startup_options.self.address,
                   node.membership.startup_options.self.incarnation,
                   [timer](fleet_node& self, step& current)
                   {
                       if (self.timer == timer)
                       {
                           self.timer_at.reset();
                           handle_timer(self, current);
                       }
                   });
}

bool fleet::is_cut(std::string const& from, std::string const& to) const
{
    auto const group_of = [this](std::string const& address)
    {
        auto const found = this->net.groups.find(address);
        return found == this->net.groups.end() ? 0 : found->second;
    };
    return group_of(from) != group_of(to) ||
           this->net.silent_links.contains({from, to}) ||
           this->net.stale_links.contains({from, to});
}

} // namespace plantaintally::test_fleet
