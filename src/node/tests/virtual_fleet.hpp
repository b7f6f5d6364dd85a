// Several node reducers and their upstreams, connected in virtual time: effects
// become events of other nodes. Uses no sockets and no real clock.
#pragma once

#include "codec/trace_codec.hpp"
#include "fake_store.hpp"
#include "node/node.hpp"
#include "virtual_upstream.hpp"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace plantaintally::node
{

// The answer that a caller received.
struct caller_answer
{
    std::string trace_id;
    std::string service;
    std::string rank;
    bool is_upstream_answer = false;
    std::uint32_t status = 0;
    verdict outcome = verdict::may_have_run;
    std::string reason;
    std::uint32_t attempts = 0;
    instant sent_at{};
    instant answered_at{};
};

struct fleet_settings
{
    std::uint64_t seed = 1;
    bool is_policy_enabled = true;
    // Fraction of the answers between nodes that are lost.
    double lost_peer_answer_fraction = 0;
    // Fraction of all lost answers, including those of upstreams, whose
    // connection closes immediately; the others are detected by a timeout.
    double closed_fraction = 0.5;
    configuration::document document;
};

class virtual_fleet
{
public:
    explicit virtual_fleet(fleet_settings const& initial_settings);

    // Adds a node with its upstream; returns its index.
    std::size_t add(upstream_plan const& plan, std::string const& zone = "z1");

    // Announces every upstream and runs for some seconds, until the nodes know
    // each other.
    void form();

    // Submits a caller's request after the delay.
    void
    submit(std::size_t node, request_head const& head, duration from_now = {});
    void inject(std::size_t node, event incoming, duration from_now = {});
    // Calls the function after the delay.
    void at(duration from_now, std::function<void()> action);
    void run_for(duration span);

    instant now() const;
    virtual_upstream& upstream(std::size_t node);
    state& node(std::size_t node);
    bool has_exited(std::size_t node) const;
    // Number of executions at the service's upstreams that belong to the trace.
    std::uint32_t executions(std::string_view service,
                             std::string const& trace_id) const;
    std::vector<caller_answer> const& answers() const;
    // The events that the node has received while `is_recording` was set.
    std::vector<codec::recorded_event> const& recording(std::size_t node) const;

    // Called with each answer to a caller; may submit further requests.
    std::function<void(caller_answer const&)> on_answer;
    fleet_settings settings;
    bool is_recording = false;

private:
    struct member
    {
        state reducer;
        virtual_upstream upstream;
        std::string zone;
        std::uint64_t last_exchange = 0;
        instant wake = instant::max();
        bool is_running = true;
        std::vector<codec::recorded_event> recorded;
    };
    // The destination of an exchange's answer.
    struct reply_route
    {
        enum class kind
        {
            caller,
            peer,
            upstream
        };
        kind to = kind::caller;
        std::size_t node = 0;
        attempt_id attempt;
        caller_answer answer;
    };
    struct task
    {
        instant when{};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(task const& other) const;
    };
    using exchange_key = std::pair<std::size_t, exchange_id>;
    using attempt_key = std::pair<std::size_t, attempt_id>;

    void deliver(std::size_t node, event const& incoming);
    void carry_out(std::size_t node, effect const& emitted);
    void carry_out(std::size_t node, forward_request const& emitted);
    void carry_out(std::size_t node, dispatch_request const& emitted);
    void carry_out(std::size_t node, cancel_attempt const& emitted);
    void reply(std::size_t node,
               exchange_id exchange,
               std::uint32_t status,
               hop_report const& report,
               bool is_upstream_answer);
    void lose_answer(std::size_t node, attempt_id attempt);
    void end_attempt(std::size_t node, attempt_id attempt, event const& end);
    void start_job(std::size_t node, upstream_job job);
    void step_job(std::size_t node, attempt_id attempt);
    void call_downstream(std::size_t node,
                         upstream_job const& job,
                         std::string const& service);
    void finish_job(std::size_t node, attempt_id attempt);
    void free_slot(std::size_t node);
    void end_call(std::size_t node, attempt_id job, bool is_good);
    exchange_id next_exchange(std::size_t node);
    duration draw_service_time(upstream_plan const& plan);
    void schedule(duration from_now, std::function<void()> action);

    instant time{std::chrono::seconds(1000)};
    std::uint64_t order = 0;
    random_source random;
    fake_store store;
    std::vector<member> members;
    std::map<std::string, std::size_t> by_address;
    std::priority_queue<task> tasks;
    std::map<exchange_key, reply_route> routes;
    // The head of each open request, which the drivers keep in production.
    std::map<exchange_key, request_head> heads;
    // Open attempts, with the peer's exchange if the request was forwarded.
    std::map<attempt_key, std::optional<exchange_key>> open_attempts;
    // Status of each upstream answer, which the drivers keep in production.
    std::map<attempt_key, std::uint32_t> statuses;
    std::vector<caller_answer> caller_answers;
};

// A configuration with the ranks that the tests use: confirmations and bookings
// are protected, browsing and exports are not.
configuration::document test_document();

request_head make_head(std::string service,
                       std::string target,
                       std::string trace_id,
                       std::string method = "GET");

} // namespace plantaintally::node
