#include "standin/caller_report.hpp"

#include "standin/answer_body.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace plantaintally::standin
{

using json = nlohmann::json;

namespace
{

constexpr double bucket_ms = 500;

std::string header(http_response const& response, std::string_view name)
{
    auto const value = response[name];
    return {value.data(), value.size()};
}

std::uint32_t parse_count(std::string const& text)
{
    std::uint32_t count = 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return count;
}

// Returns the "reason" member of a JSON body; empty if there is none.
std::string read_reason(std::string const& body)
{
    auto const problem = json::parse(body, nullptr, false);
    bool const has_reason = problem.is_object() && problem.contains("reason") &&
                            problem["reason"].is_string();
    return has_reason ? problem["reason"].get<std::string>() : std::string();
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

double percentile(std::vector<double> const& sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    auto const last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(share * last)];
}

json latency_json(std::vector<double> latencies)
{
    std::sort(latencies.begin(), latencies.end());
    return {{"p50", percentile(latencies, 0.50)},
            {"p90", percentile(latencies, 0.90)},
            {"p99", percentile(latencies, 0.99)},
            {"max", percentile(latencies, 1)}};
}

// The totals of one request class.
struct class_totals
{
    std::uint64_t offered = 0;
    std::uint64_t whole = 0;
    std::uint64_t tries = 0;
    std::uint64_t attempts = 0;
    std::uint32_t max_attempts_reported = 0;
    std::uint64_t wrong = 0;
    std::uint64_t interrupted = 0;
    std::map<std::string, std::uint64_t> results;
    std::map<std::string, std::uint64_t> verdicts;
    std::map<std::string, std::uint64_t> reasons;
    std::map<unsigned, std::uint64_t> statuses;
    std::vector<double> latencies_ms;
    std::vector<std::uint64_t> offered_buckets;
    std::vector<std::uint64_t> whole_buckets;

    explicit class_totals(std::size_t buckets = 0)
        : offered_buckets(buckets), whole_buckets(buckets)
    {
    }

    void add(request_record const& record);
    json to_json() const;
};

void increment_bucket(std::vector<std::uint64_t>& buckets, double time_ms)
{
    auto const index = static_cast<std::size_t>(time_ms / bucket_ms);
    if (index < buckets.size())
    {
        ++buckets[index];
    }
}

void class_totals::add(request_record const& record)
{
    ++this->offered;
    this->tries += record.tries;
    this->attempts += record.attempts;
    this->max_attempts_reported =
        std::max(this->max_attempts_reported, record.max_attempts_reported);
    this->wrong += record.wrong_answers;
    this->interrupted += record.interrupted_tries;
    ++this->results[std::string(to_string(record.last.result))];
    ++this->verdicts[record.last.verdict.empty() ? "none"
                                                 : record.last.verdict];
    if (!record.last.reason.empty())
    {
        ++this->reasons[record.last.reason];
    }
    ++this->statuses[record.last.status];
    increment_bucket(this->offered_buckets, record.start_ms);
    if (record.last.result == try_result::complete_answer)
    {
        ++this->whole;
        this->latencies_ms.push_back(record.end_ms - record.start_ms);
        increment_bucket(this->whole_buckets, record.end_ms);
    }
}

json class_totals::to_json() const
{
    json status_counts = json::object();
    for (auto const& [status, count] : this->statuses)
    {
        status_counts[std::to_string(status)] = count;
    }
    auto const requests =
        static_cast<double>(std::max<std::uint64_t>(1, this->offered));
    return {{"offered", this->offered},
            {"whole", this->whole},
            {"tries", this->tries},
            {"attempts_mean", static_cast<double>(this->attempts) / requests},
            {"attempts_max", this->max_attempts_reported},
            {"wrong_answers", this->wrong},
            {"interrupted", this->interrupted},
            {"ends", this->results},
            {"verdicts", this->verdicts},
            {"reasons", this->reasons},
            {"statuses", status_counts},
            {"latency_ms", latency_json(this->latencies_ms)},
            {"offered_buckets", this->offered_buckets},
            {"whole_buckets", this->whole_buckets}};
}

} // namespace

std::string_view to_string(try_result result)
{
    switch (result)
    {
    case try_result::complete_answer:
        return "whole";
    case try_result::wrong_answer:
        return "wrong";
    case try_result::refused:
        return "refused";
    case try_result::unreachable:
        return "unreachable";
    case try_result::timed_out:
        return "timed-out";
    case try_result::interrupted:
        return "interrupted";
    }
    return "";
}

try_outcome classify_answer(result<http_response> const& answer,
                            std::span<std::string const> try_ids)
{
    try_outcome outcome;
    if (!answer)
    {
        auto const code = answer.error().code;
        outcome.result = code == errc::unavailable ? try_result::unreachable
                         : code == errc::timeout   ? try_result::timed_out
                                                   : try_result::interrupted;
        return outcome;
    }
    auto const& response = answer.value();
    outcome.status = response.result_int();
    outcome.verdict = header(response, "Plantaintally-Verdict");
    outcome.attempts = parse_count(header(response, "Plantaintally-Attempts"));
    if (!is_success(outcome.status))
    {
        outcome.result = try_result::refused;
        outcome.reason = read_reason(response.body());
        return outcome;
    }
    bool const is_own = header(response, "X-Request-Id") == try_ids.back();
    bool const is_whole =
        is_own &&
        std::ranges::any_of(
            try_ids,
            [&](std::string const& id)
            { return check_answer_body(response.body(), id).has_value(); });
    outcome.result =
        is_whole ? try_result::complete_answer : try_result::wrong_answer;
    return outcome;
}

void caller_report::add(request_record record)
{
    this->records.push_back(std::move(record));
}

void caller_report::count_suppressed(std::string const& class_name)
{
    ++this->suppressed[class_name];
}

std::string caller_report::summary_json(std::uint64_t seed, double run_ms) const
{
    auto const buckets = static_cast<std::size_t>(run_ms / bucket_ms) + 1;
    std::map<std::string, class_totals> sums;
    for (auto const& record : this->records)
    {
        sums.try_emplace(record.class_name, buckets).first->second.add(record);
    }
    json classes = json::object();
    for (auto const& [name, sum] : sums)
    {
        classes[name] = sum.to_json();
    }
    json const body = {{"seed", seed},
                       {"run_ms", run_ms},
                       {"bucket_ms", bucket_ms},
                       {"suppressed", this->suppressed},
                       {"classes", classes}};
    return body.dump();
}

std::string caller_report::records_json_lines() const
{
    std::string lines;
    for (auto const& record : this->records)
    {
        json const line = {
            {"class", record.class_name},
            {"key", record.key},
            {"request", record.request_id},
            {"start_ms", record.start_ms},
            {"end_ms", record.end_ms},
            {"tries", record.tries},
            {"attempts", record.attempts},
            {"end", to_string(record.last.result)},
            {"status", record.last.status},
            {"verdict", record.last.verdict},
            {"reason", record.last.reason},
            {"uncertain_before", record.earlier_try_may_have_run}};
        lines += line.dump();
        lines += '\n';
    }
    return lines;
}

} // namespace plantaintally::standin
