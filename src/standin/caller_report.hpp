// The results of a stand-in caller: one record per request, and totals.
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

// The result of one try of a request, as seen by the caller.
enum class try_result
{
    // A complete answer with a 2xx status to this request.
    complete_answer,
    // A 2xx answer that is truncated, damaged or belongs to another request.
    wrong_answer,
    // Any other status.
    refused,
    // No byte of the request was sent.
    unreachable,
    timed_out,
    // The connection failed before a complete answer arrived.
    interrupted
};

std::string_view to_string(try_result result);

// The result of one try with the details of its answer.
struct try_outcome
{
    try_result result = try_result::interrupted;
    unsigned status = 0;
    // The answer's Plantaintally-Verdict; empty if it has none.
    std::string verdict;
    // The "reason" member of a refusal's JSON body; empty if it has none.
    std::string reason;
    // Executions in the whole call chain, from the Plantaintally-Attempts
    // header; 0 if it is missing.
    std::uint32_t attempts = 0;
};

// Classifies the answer to the last of a request's tries. The X-Request-Id
// header must hold the last try's id. The body may hold the id of an earlier
// try, because a repeated key gets the recorded answer.
try_outcome classify_answer(result<http_response> const& answer,
                            std::span<std::string const> try_ids);

// A request with all its tries. Times are milliseconds since the start of the
// run.
struct request_record
{
    std::string class_name;
    // The key of the first try; empty if the class sends none.
    std::string key;
    // The id of the last try.
    std::string request_id;
    double start_ms = 0;
    double end_ms = 0;
    std::uint32_t tries = 0;
    std::uint32_t attempts = 0;
    std::uint32_t wrong_answers = 0;
    std::uint32_t interrupted_tries = 0;
    // The largest number of attempts that a single answer reported.
    std::uint32_t max_attempts_reported = 0;
    // True if a try before the last was sent and got no not-run verdict.
    bool earlier_try_may_have_run = false;
    try_outcome last;
};

// Memory grows with the number of requests of the run.
class caller_report
{
public:
    void add(request_record record);

    // Counts a request that was not sent because too many were in flight.
    void count_suppressed(std::string const& class_name);

    // Returns totals by class, with offered requests and complete answers per
    // time bucket, as JSON. `run_ms` is the length of the run.
    std::string summary_json(std::uint64_t seed, double run_ms) const;

    // Returns the records as JSON lines, one object per request.
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
