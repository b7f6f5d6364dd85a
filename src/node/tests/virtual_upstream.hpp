// An upstream in virtual time, for tests: execution slots, a short internal
// queue, downstream calls, and counts of its executions.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace plantaintally::node
{

// Behaviour of an upstream; may be changed while the test runs.
struct upstream_plan
{
    std::string service;
    std::uint32_t slots = 10;
    duration service_time = std::chrono::milliseconds(10);
    // Services that each request calls while it occupies its slot.
    std::vector<std::string> downstream;
    bool is_parallel = false;
    // Maximum number of requests queued inside the upstream; further ones are
    // refused.
    std::uint32_t queue_limit = 0;
    // Fraction of the answers that are lost.
    double lost_answer_fraction = 0;
    // Fraction of the requests answered with 503 and "not run".
    double refused_fraction = 0;
    // Fraction of the requests with a failed downstream call that are answered
    // with 503 and "not run"; these do not count as executed here.
    double late_refusal_fraction = 0;
};

// A request at the upstream.
struct upstream_job
{
    attempt_id attempt;
    std::string trace_id;
    std::string key;
    std::string method;
    instant deadline{};
    std::size_t next_call = 0;
    std::uint32_t open_calls = 0;
    bool has_failed_call = false;
};

class virtual_upstream
{
public:
    upstream_plan plan;
    std::map<attempt_id, upstream_job> running;
    std::deque<upstream_job> waiting;
    // Executions by trace id.
    std::map<std::string, std::uint32_t> executions;
    // Executions by idempotency key.
    std::map<std::string, std::uint32_t> executions_by_key;
    std::uint64_t executed = 0;
};

} // namespace plantaintally::node
