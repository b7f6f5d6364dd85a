// What a stand-in caller saw, request by request and summed up.
#pragma once

#include "base/result.hpp"
#include "standin/internal/http_server.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::standin
{

// How one try of a request ended, as seen by the caller.
enum class try_end
{
    // A whole answer with a 2xx status to this very request.
    whole_answer,
    // A 2xx answer that is short, damaged or another request's.
    wrong_answer,
    // Any other status.
    refused,
    // No byte was sent.
    unreachable,
    timed_out,
    // The connection ended without a whole answer.
    interrupted
};

std::string_view to_string(try_end end);

// One try of a request, judged.
struct try_outcome
{
    try_end end = try_end::interrupted;
    unsigned status = 0;
    // What the caller was told: a verdict, or "" if nothing.
    std::string verdict;
    // The reason in a refusal's problem body; "" if there is none.
    std::string reason;
    // Executions in the whole chain, as reported; 0 if nothing was told.
    std::uint32_t attempts = 0;
};

// Judges the result of the last of a request's tries. The answer must name the
// last try's id in its head; its body may be the one that was made for an
// earlier try, as a repeated key is answered with the recorded answer.
try_outcome judge_answer(result<http_response> const& answer,
                         std::span<std::string const> try_ids);

// A request with all its tries. Times are milliseconds since the run began.
struct request_record
{
    std::string class_name;
    std::string key;
    // The id of the last try.
    std::string request_id;
    double start_ms = 0;
    double end_ms = 0;
    std::uint32_t tries = 0;
    std::uint32_t attempts = 0;
    std::uint32_t wrong_answers = 0;
    std::uint32_t interrupted_tries = 0;
    // The largest number of attempts reported on one answer.
    std::uint32_t most_attempts = 0;
    // Set if any try but the last ended without a not-run.
    bool may_have_run_before = false;
    try_outcome last;
};

// Bounded by the number of requests of one run.
class caller_report
{
public:
    void add(request_record record);

    // A request that was not sent, as too many were in flight.
    void count_suppressed(std::string const& class_name);

    // Sums by class, with goodput in buckets of this many milliseconds.
    std::string summary_json(std::uint64_t seed, double run_ms) const;

    // One JSON object a line, for each request.
    std::string records_json_lines() const;

    std::size_t size() const
    {
        return this->records.size();
    }

private:
    std::vector<request_record> records;
    std::map<std::string, std::uint64_t> suppressed;
};

} // namespace plantaintally::standin
