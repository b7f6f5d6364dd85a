// Several membership and configuration reducers in virtual time, for tests and
// measurements. Messages can be delayed, lost and cut; nodes can crash, pause
// and restart. Nothing runs outside the calling thread.
#pragma once

#include "configuration/configuration.hpp"
#include "membership/membership.hpp"
#include "test_fleet/fake_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace plantaintally::test_fleet
{

// How messages between nodes travel.
struct network
{
    duration delay = std::chrono::milliseconds(2);
    // Part of the messages that are lost, in [0, 1].
    double loss = 0;
    // Nodes of different groups don't reach each other; group zero if absent.
    std::map<std::string, int> groups;
};

// One node: the pure states and what the reducer's steps need.
struct fleet_node
{
    explicit fleet_node(std::uint64_t seed) : random(seed) {}

    membership::state membership;
    configuration::state configuration;
    random_source random;
    id_source ids;
    timeline::hybrid_clock clock;
    bool is_up = true;
    instant paused_until{};
    // The timer that is set, and how many were set before.
    std::optional<instant> timer_at;
    std::uint64_t timer = 0;
    std::vector<answer_operator> answers;
    std::vector<timeline_entry> entries;
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed) : random(seed) {}

    // Starts a node at the address; one that ran there before is replaced by a
    // higher incarnation. `service` is announced unless empty.
    fleet_node& start_node(std::string const& address,
                           std::string const& zone,
                           std::string const& service,
                           std::vector<std::string> contacts = {});
    // Ends the node without any farewell.
    void crash(std::string const& address);
    // The node does nothing for this long; what reaches it waits.
    void pause(std::string const& address, duration span);

    // Runs one step of a node's reducers, and what it asks for.
    using action = std::function<void(fleet_node&, step&)>;
    void act(std::string const& address, action const& body);
    // Submits a change at a node under the command's number.
    void submit(std::string const& address,
                std::uint64_t command,
                configuration::change const& requested);

    void run_for(duration span);
    // Runs until `is_reached` holds or the limit has passed; true if it holds.
    bool run_until(std::function<bool()> const& is_reached, duration limit);

    fleet_node& at(std::string const& address);
    // The status of `subject` as `viewer` sees it; gone if it sees none.
    membership::member_status status(std::string const& viewer,
                                     std::string const& subject);
    // The status of an answered command, or empty.
    std::string answer_of(std::string const& address, std::uint64_t command);
    // Addresses of the nodes that are up.
    std::vector<std::string> live_addresses() const;
    instant now() const
    {
        return this->clock;
    }

    network net;
    fake_store store;
    // Called for each message sent; for measurements.
    std::function<void(std::string const& from, send_control const&)> on_send;
    // Whether nodes keep their time lines; off for large fleets.
    bool keeps_entries = true;

private:
    struct scheduled
    {
        instant at{};
        std::uint64_t order = 0;
        std::string address;
        std::uint64_t incarnation = 0;
        action body;
    };
    struct is_later
    {
        bool operator()(scheduled const& left, scheduled const& right) const
        {
            return std::pair(left.at, left.order) >
                   std::pair(right.at, right.order);
        }
    };

    void schedule(instant when,
                  std::string const& address,
                  std::uint64_t incarnation,
                  action body);
    void run_next();
    void carry_out(fleet_node& node, effects const& asked);
    void deliver(fleet_node const& from, send_control const& sent);
    void call(fleet_node const& from, call_store const& asked);
    void set_timer(fleet_node& node);
    bool is_cut(std::string const& from, std::string const& to) const;

    instant clock = instant(std::chrono::hours(1));
    random_source random;
    std::uint64_t last_order = 0;
    std::map<std::string, fleet_node> nodes;
    std::map<std::string, std::uint64_t> incarnations;
    std::priority_queue<scheduled, std::vector<scheduled>, is_later> queue;
};

} // namespace plantaintally::test_fleet
