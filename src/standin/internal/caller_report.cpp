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

// The "reason" of a problem body.
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

// The sums of one class.
struct class_sums
{
    std::uint64_t offered = 0;
    std::uint64_t whole = 0;
    std::uint64_t tries = 0;
    std::uint64_t attempts = 0;
    std::uint32_t most_attempts = 0;
    std::uint64_t wrong = 0;
    std::uint64_t interrupted = 0;
    std::map<std::string, std::uint64_t> ends;
    std::map<std::string, std::uint64_t> verdicts;
    std::map<std::string, std::uint64_t> reasons;
    std::map<unsigned, std::uint64_t> statuses;
    std::vector<double> latencies_ms;
    std::vector<std::uint64_t> offered_buckets;
    std::vector<std::uint64_t> whole_buckets;

    explicit class_sums(std::size_t buckets = 0)
        : offered_buckets(buckets), whole_buckets(buckets)
    {
    }

    void add(request_record const& record);
    json to_json() const;
};

void count_at(std::vector<std::uint64_t>& buckets, double at_ms)
{
    auto const index = static_cast<std::size_t>(at_ms / bucket_ms);
    if (index < buckets.size())
    {
        ++buckets[index];
    }
}

void class_sums::add(request_record const& record)
{
    ++this->offered;
    this->tries += record.tries;
    this->attempts += record.attempts;
    this->most_attempts = std::max(this->most_attempts, record.most_attempts);
    this->wrong += record.wrong_answers;
    this->interrupted += record.interrupted_tries;
    ++this->ends[std::string(to_string(record.last.end))];
    ++this->verdicts[record.last.verdict.empty() ? "none"
                                                 : record.last.verdict];
    if (!record.last.reason.empty())
    {
        ++this->reasons[record.last.reason];
    }
    ++this->statuses[record.last.status];
    count_at(this->offered_buckets, record.start_ms);
    if (record.last.end == try_end::whole_answer)
    {
        ++this->whole;
        this->latencies_ms.push_back(record.end_ms - record.start_ms);
        count_at(this->whole_buckets, record.end_ms);
    }
}

json class_sums::to_json() const
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
            {"attempts_max", this->most_attempts},
            {"wrong_answers", this->wrong},
            {"interrupted", this->interrupted},
            {"ends", this->ends},
            {"verdicts", this->verdicts},
            {"reasons", this->reasons},
            {"statuses", status_counts},
            {"latency_ms", latency_json(this->latencies_ms)},
            {"offered_buckets", this->offered_buckets},
            {"whole_buckets", this->whole_buckets}};
}

} // namespace

std::string_view to_string(try_end end)
{
    switch (end)
    {
    case try_end::whole_answer:
        return "whole";
    case try_end::wrong_answer:
        return "wrong";
    case try_end::refused:
        return "refused";
    case try_end::unreachable:
        return "unreachable";
    case try_end::timed_out:
        return "timed-out";
    case try_end::interrupted:
        return "interrupted";
    }
    return "";
}

try_outcome judge_answer(result<http_response> const& answer,
                         std::span<std::string const> try_ids)
{
    try_outcome outcome;
    if (!answer)
    {
        auto const kind = answer.error().code;
        outcome.end = kind == errc::unavailable ? try_end::unreachable
                      : kind == errc::timeout   ? try_end::timed_out
                                                : try_end::interrupted;
        return outcome;
    }
    auto const& response = answer.value();
    outcome.status = response.result_int();
    outcome.verdict = header(response, "Plantaintally-Verdict");
    outcome.attempts = parse_count(header(response, "Plantaintally-Attempts"));
    if (!is_success(outcome.status))
    {
        outcome.end = try_end::refused;
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
    outcome.end = is_whole ? try_end::whole_answer : try_end::wrong_answer;
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
    std::map<std::string, class_sums> sums;
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
        json const line = {{"class", record.class_name},
                           {"key", record.key},
                           {"request", record.request_id},
                           {"start_ms", record.start_ms},
                           {"end_ms", record.end_ms},
                           {"tries", record.tries},
                           {"attempts", record.attempts},
                           {"end", to_string(record.last.end)},
                           {"status", record.last.status},
                           {"verdict", record.last.verdict},
                           {"reason", record.last.reason},
                           {"uncertain_before", record.may_have_run_before}};
        lines += line.dump();
        lines += '\n';
    }
    return lines;
}

} // namespace plantaintally::standin
