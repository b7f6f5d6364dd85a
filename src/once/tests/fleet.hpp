// A simulation, in virtual time, of a few nodes of one service with a store and
// a network, and of their faults.
#pragma once

#include "base/hash.hpp"
#include "once/once.hpp"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace plantaintally::once::test
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Start of virtual time by an exact wall clock, in microseconds since 1970.
inline constexpr std::int64_t start_us = 1'800'000'000'000'000;

// A time-ordered key created `at` after the start of virtual time.
std::string make_key(duration at, int number);

// One simulated process. Events that arrive while it is paused are handled when
// it resumes.
struct process
{
    state once;
    random_source random{1};
    id_source ids;
    timeline::hybrid_clock clock;
    bool is_alive = true;
    instant paused_until{};
    // Error of the wall clock; offset and rate of the monotonic clock.
    duration wall_clock_error{};
    duration monotonic_base{};
    double monotonic_rate = 1;

    moment read_clocks(instant at) const;
    // The virtual time at which this process' monotonic clock shows
    // `local_time`.
    instant to_virtual_time(instant local_time) const;
};

struct network_options
{
    duration shortest_delay = std::chrono::microseconds(500);
    duration longest_delay = std::chrono::milliseconds(3);
    double loss = 0;
};

class fleet
{
public:
    explicit fleet(std::size_t nodes,
                   std::uint64_t seed = 1,
                   std::uint32_t key_limit = 1000);

    // Runs all events of the next `span` of virtual time.
    void run_for(duration span);

    // Claims the key at this node.
    claim_decision submit_claim(std::string const& address,
                                std::string const& key);
    // Reports the outcome of an execution to the home that allowed it.
    void finish(exchange_id exchange, verdict outcome, std::uint64_t attempt);
    // The exchange id of the last submit_claim().
    exchange_id last_exchange() const;
    // The decision on a deferred claim; none if it is still pending.
    std::optional<claim_decision> resolved_decision(exchange_id exchange) const;

    void crash(std::string const& address);
    // Starts a new incarnation at this address, with new clock errors.
    void restart(std::string const& address);
    void pause(std::string const& address, duration span);
    // Drops all messages between these two nodes until connect_all().
    void disconnect(std::string const& first, std::string const& second);
    // Drops all messages to and from the node until connect_all().
    void isolate(std::string const& address);
    void connect_all();
    // Sets the membership at every node to all live processes except `without`.
    void update_members(std::set<std::string> const& without = {});
    // Does the same at one node only.
    void update_members_at(std::string const& address,
                           std::set<std::string> const& without);
    // Starts the planned stop of a node.
    void leave(std::string const& address);

    process& at(std::string const& address);
    // The address of the key's home in the newest epoch that any node knows.
    std::string home(std::string const& key) const;
    // A new key whose home is `address`, created at this time since the start.
    std::string new_key_with_home(std::string const& address,
                                  duration created_at);
    // Virtual time since the start.
    duration elapsed() const;
    std::vector<std::string> addresses() const;
    // Number of allowed executions of the key, without those reported as not
    // run.
    int executions(std::string const& key) const;
    // The newest epoch that any node knows; nullptr if there is none.
    epoch const* newest_known_epoch() const;

    network_options network;
    // Faults of the store: it doesn't reply and executes nothing, or it
    // executes every request but the reply is lost.
    bool is_store_down = false;
    bool drops_store_replies = false;
    std::size_t store_reads = 0;
    std::size_t store_writes = 0;
    std::map<std::string, store_entry> store;
    // Keys that were refused as not_run although an execution had been allowed.
    std::vector<std::string> wrong_not_run_keys;

private:
    struct submitted_claim
    {
        std::string key;
        std::string home;
        std::uint64_t incarnation = 0;
    };

    struct due_event
    {
        instant at{};
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(due_event const& other) const;
    };

    step make_step(process& owner);
    void apply_effects(std::string const& address, process& owner);
    void send_message(std::string const& from, send_control const& sent);
    void reply_from_store(std::string const& address,
                          process& owner,
                          call_store const& called);
    store_result execute_store_request(store_request const& request);
    void schedule(instant at, std::function<void()> run);
    void run_step_at(std::string const& address,
                     std::uint64_t incarnation,
                     std::function<void(process&, step&)> handle);
    void run_timers();
    std::optional<instant> next_timer() const;
    void count_decision(exchange_id exchange, claim_decision const& decision);
    std::vector<membership::member_record>
    live_members(std::set<std::string> const& without) const;

    std::uint32_t key_limit = 0;
    instant time{};
    std::uint64_t last_event_sequence = 0;
    std::uint64_t last_exchange_number = 0;
    std::uint64_t last_store_revision = 0;
    random_source rng;
    effects effects_out;
    std::map<std::string, process> processes;
    std::priority_queue<due_event> events;
    std::set<std::pair<std::string, std::string>> cut_links;
    std::map<std::string, int> execution_counts;
    std::map<exchange_id, submitted_claim> submitted_claims;
    std::map<exchange_id, claim_decision> resolved_decisions;
};

} // namespace plantaintally::once::test
