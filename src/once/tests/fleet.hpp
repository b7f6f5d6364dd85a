// A handful of nodes of one service, composed in virtual time with a store, a
// network, and faults of both.
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

// Start of virtual time, by every clock.
inline constexpr std::int64_t start_us = 1'800'000'000'000'000;

// Key minted `at` after the start of virtual time.
std::string make_key(duration at, int number);

// One process. Events that come while it is paused are handled on resumption.
struct process
{
    state once;
    random_source random{1};
    id_source ids;
    timeline::hybrid_clock clock;
    bool is_alive = true;
    instant paused_until{};
    // Error of the wall clock, and base and rate of the monotonic one.
    duration wall_error{};
    duration monotonic_base{};
    double monotonic_rate = 1;

    moment read_clocks(instant at) const;
    // When this process' monotonic clock shows `shown`.
    instant when(instant shown) const;
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

    // Runs every event until `span` from now.
    void run_for(duration span);

    claim_decision ask(std::string const& address, std::string const& key);
    void finish(exchange_id exchange, verdict outcome, std::uint64_t attempt);
    // The exchange id that the last ask() used.
    exchange_id last_exchange() const;
    // Decision of a claim that was put off; none if there is none yet.
    std::optional<claim_decision> resolved(exchange_id exchange) const;

    void crash(std::string const& address);
    void restart(std::string const& address);
    void pause(std::string const& address, duration span);
    // Messages between these two are lost until connect().
    void disconnect(std::string const& first, std::string const& second);
    // No message reaches the node or comes from it until connect_all().
    void isolate(std::string const& address);
    void connect_all();
    // Members as every node sees them; all live processes but `without`.
    void spread_members(std::set<std::string> const& without = {});
    // The same at one node only.
    void tell_members(std::string const& address,
                      std::set<std::string> const& without);
    void leave(std::string const& address);

    process& at(std::string const& address);
    // The home of the key in the newest epoch that any node knows.
    std::string home(std::string const& key) const;
    // A key of this age whose home is `address`.
    std::string key_at(std::string const& address, duration minted);
    // Time since the start.
    duration elapsed() const;
    std::vector<std::string> addresses() const;
    // Executions allowed of a key that were not reported as not run.
    int executions(std::string const& key) const;
    // The newest epoch that any node knows; null if there is none.
    epoch const* newest_known() const;

    network_options network;
    // The store: down; or every write takes effect but its answer is lost.
    bool is_store_down = false;
    bool loses_store_answers = false;
    std::size_t store_reads = 0;
    std::size_t store_writes = 0;
    std::map<std::string, store_entry> store;
    // Keys for which not_run was said although an execution was allowed.
    std::vector<std::string> false_refusals;

private:
    struct asked_claim
    {
        std::string key;
        std::string home;
        std::uint64_t incarnation = 0;
    };

    struct due_event
    {
        instant at{};
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(due_event const& other) const;
    };

    step make_step(process& at_process);
    void carry_out(std::string const& address, process& at_process);
    void deliver(std::string const& from, send_control const& sent);
    void answer_store(std::string const& address,
                      process& at_process,
                      call_store const& called);
    store_result serve(store_request const& request);
    void schedule(instant at, std::function<void()> run);
    void handle_at(std::string const& address,
                   std::uint64_t incarnation,
                   std::function<void(process&, step&)> handle);
    void run_timers();
    std::optional<instant> next_timer() const;
    void note_claim(exchange_id exchange, claim_decision const& made);
    std::vector<membership::member_record>
    view(std::set<std::string> const& without) const;

    std::uint32_t key_limit = 0;
    instant time{};
    std::uint64_t orders = 0;
    std::uint64_t exchanges = 0;
    std::uint64_t revisions = 0;
    random_source chance;
    effects effects_out;
    std::map<std::string, process> processes;
    std::priority_queue<due_event> events;
    std::set<std::pair<std::string, std::string>> broken_links;
    std::map<std::string, int> allowed;
    std::map<exchange_id, asked_claim> asked;
    std::map<exchange_id, claim_decision> resolutions;
};

} // namespace plantaintally::once::test
