// An upstream in virtual time, for tests: slots, a short queue of its own,
// downstream calls, and a count of what it has executed.
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

// How an upstream behaves; may be changed while the test runs.
struct upstream_plan
{
    std::string service;
    std::uint32_t slots = 10;
    duration service_time = std::chrono::milliseconds(10);
    // Services that each request calls while it holds its slot.
    std::vector<std::string> downstream;
    bool is_parallel = false;
    // Requests that wait inside the upstream; further ones are refused.
    std::uint32_t queue_limit = 0;
    // Part of the answers that never arrive.
    double lost_answer_fraction = 0;
    // Part of the requests answered with 503 and "not run".
    double refused_fraction = 0;
    // Part of the requests that are answered so after a downstream call has
    // failed; they then don't count as executed here.
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
