// Runs the membership and configuration reducers of several nodes in virtual
// time, for tests and measurements. Messages can be delayed or lost and the
// network can be partitioned; nodes can crash, pause and restart. Everything
// runs in the calling thread.
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
#include <utility>
#include <vector>

namespace plantaintally::test_fleet
{

// Simulated network between the nodes.
struct network
{
    // Mean delivery delay; the delay of a message deviates by up to half of it.
    duration delay = std::chrono::milliseconds(2);
    // Fraction of the messages that are lost, in [0, 1].
    double loss = 0;
    // Partitions by node address: nodes in different groups can't reach each
    // other. A node that is not listed is in group zero.
    std::map<std::string, int> groups;
    // Links, by sender and receiver address, that lose every message.
    std::set<std::pair<std::string, std::string>> silent_links;
    // Links, by sender and receiver address, that still lead to a former
    // process of the receiver: they lose every message until the sender renews
    // them.
    std::set<std::pair<std::string, std::string>> stale_links;
};

// A simulated node: the states of its reducers and the sources of randomness,
// ids and time that their steps use.
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
    // When the current timer fires, and its number; earlier timers are ignored.
    std::optional<instant> timer_at;
    std::uint64_t timer = 0;
    std::vector<answer_operator> answers;
    std::vector<timeline_entry> entries;
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed) : random(seed) {}

    // Starts a node at the address. A node that already exists there is
    // replaced by one with a higher incarnation. Announces an upstream of
    // `service` unless that is empty.
    fleet_node& start_node(std::string const& address,
                           std::string const& zone,
                           std::string const& service,
                           std::vector<std::string> contacts = {});
    // Stops the node abruptly: it notifies no other node.
    void crash(std::string const& address);
    // Suspends the node for this long; messages, store results and timers are
    // handled afterwards.
    void pause(std::string const& address, duration span);

    // Runs `body` as one step of the node's reducers and executes the effects
    // that it requests.
    using action = std::function<void(fleet_node&, step&)>;
    void run_step(std::string const& address, action const& body);
    // Submits a configuration change at a node, with `command` as the command
    // id.
    void submit(std::string const& address,
                std::uint64_t command,
                configuration::change const& requested);

    // Runs all events of the given span of virtual time.
    void run_for(duration span);
    // Runs events until `is_reached` returns true, for at most `limit` of
    // virtual time; returns false if it never did.
    bool run_until(std::function<bool()> const& is_reached, duration limit);

    fleet_node& at(std::string const& address);
    // The status of `subject` in the membership view of `viewer`; gone if it is
    // not in the view.
    membership::member_status status(std::string const& viewer,
                                     std::string const& subject);
    // The status with which the node answered the command; empty if it has not
    // answered.
    std::string command_status(std::string const& address,
                               std::uint64_t command);
    // Addresses of the nodes that are up.
    std::vector<std::string> live_addresses() const;
    instant now() const
    {
        return this->clock;
    }

    network net;
    fake_store store;
    // Called for each message that a node sends, also if it is lost; for
    // measurements.
    std::function<void(std::string const& from, send_control const&)> on_send;
    // Called for each call that a node makes to the store; for measurements.
    std::function<void(call_store const&)> on_store_call;
    // Whether nodes keep their time-line entries; disabled for large fleets to
    // save memory.
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
    void carry_out(fleet_node& node, effects const& requested);
    void deliver(fleet_node const& from, send_control const& sent);
    void call(fleet_node const& from, call_store const& requested);
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
