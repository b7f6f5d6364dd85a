#include "standin/answer_body.hpp"
#include "standin/caller_report.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::standin;

namespace
{

http_response answer_with(std::string const& id, std::string body)
{
    http_response response;
    response.result(200);
    response.set("X-Request-Id", id);
    response.set("Plantaintally-Verdict", "ran");
    response.set("Plantaintally-Attempts", "3");
    response.body() = std::move(body);
    return response;
}

} // namespace

std::vector<std::string> const only_try{"r1"};

TEST_CASE("a complete answer to the caller's own request is accepted")
{
    auto const outcome = classify_answer(
        answer_with("r1", make_answer_body("r1", "up", 100)), only_try);
    CHECK(outcome.result == try_result::complete_answer);
    CHECK(outcome.verdict == "ran");
    CHECK(outcome.attempts == 3);
}

TEST_CASE("a truncated, damaged or mismatched answer is classified as wrong")
{
    auto const whole = make_answer_body("r1", "up", 100);
    auto const is_wrong = [](std::string const& id, std::string body)
    {
        auto const answer = answer_with(id, std::move(body));
        return classify_answer(answer, only_try).result ==
               try_result::wrong_answer;
    };
    CHECK(is_wrong("r1", whole.substr(0, whole.size() - 1)));
    CHECK(is_wrong("r1", whole + "x"));
    CHECK(is_wrong("r1", ""));
    auto damaged = whole;
    damaged.back() = '!';
    CHECK(is_wrong("r1", damaged));
    CHECK(is_wrong("r2", whole));
    CHECK(is_wrong("r1", make_answer_body("r2", "up", 100)));
}

TEST_CASE(
    "a retry may get the recorded body of an earlier try of its own request")
{
    std::vector<std::string> const tries{"r1-0", "r1-1"};
    auto const judge = [&](std::string const& id, std::string const& body_id)
    {
        auto const body = make_answer_body(body_id, "up", 100);
        return classify_answer(answer_with(id, body), tries).result;
    };
    CHECK(judge("r1-1", "r1-0") == try_result::complete_answer);
    CHECK(judge("r1-0", "r1-0") == try_result::wrong_answer);
    CHECK(judge("r1-1", "r2-0") == try_result::wrong_answer);
}

TEST_CASE("the reason of a refusal is read from its JSON body")
{
    auto refusal = answer_with("r1", R"({"reason":"overload"})");
    refusal.result(503);
    auto const refused = classify_answer(refusal, only_try);
    CHECK(refused.result == try_result::refused);
    CHECK(refused.reason == "overload");

    refusal.body() = "not JSON";
    CHECK(classify_answer(refusal, only_try).reason.empty());
}

TEST_CASE("a call without an answer is classified by its error code")
{
    auto const result_of = [](errc code)
    {
        result<http_response> const failed = error{code, ""};
        return classify_answer(failed, only_try).result;
    };
    CHECK(result_of(errc::unavailable) == try_result::unreachable);
    CHECK(result_of(errc::timeout) == try_result::timed_out);
    CHECK(result_of(errc::io_failure) == try_result::interrupted);
}

TEST_CASE(
    "goodput counts only complete answers, in the bucket of their end time")
{
    caller_report report;
    request_record good;
    good.class_name = "browse";
    good.start_ms = 100;
    good.end_ms = 700;
    good.last.result = try_result::complete_answer;
    request_record bad = good;
    bad.last.result = try_result::wrong_answer;
    bad.wrong_answers = 1;
    report.add(good);
    report.add(bad);
    auto const summary = report.summary_json(1, 1000);
    CHECK(summary.find(R"("whole":1)") != std::string::npos);
    CHECK(summary.find(R"("whole_buckets":[0,1,0])") != std::string::npos);
    CHECK(summary.find(R"("offered_buckets":[2,0,0])") != std::string::npos);
    CHECK(summary.find(R"("wrong_answers":1)") != std::string::npos);
}
