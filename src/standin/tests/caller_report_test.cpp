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

TEST_CASE("a whole answer to the own request is accepted")
{
    auto const outcome = judge_answer(
        answer_with("r1", make_answer_body("r1", "up", 100)), only_try);
    CHECK(outcome.end == try_end::whole_answer);
    CHECK(outcome.verdict == "ran");
    CHECK(outcome.attempts == 3);
}

TEST_CASE("a short, damaged or crossed answer is found")
{
    auto const whole = make_answer_body("r1", "up", 100);
    auto const is_wrong = [](std::string const& id, std::string body)
    {
        auto const answer = answer_with(id, std::move(body));
        return judge_answer(answer, only_try).end == try_end::wrong_answer;
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

TEST_CASE("a repeat may get the recorded body of an earlier try, not another's")
{
    std::vector<std::string> const tries{"r1-0", "r1-1"};
    auto const judge = [&](std::string const& id, std::string const& body_id)
    {
        auto const body = make_answer_body(body_id, "up", 100);
        return judge_answer(answer_with(id, body), tries).end;
    };
    CHECK(judge("r1-1", "r1-0") == try_end::whole_answer);
    CHECK(judge("r1-0", "r1-0") == try_end::wrong_answer);
    CHECK(judge("r1-1", "r2-0") == try_end::wrong_answer);
}

TEST_CASE("a refusal is recorded with its reason, if it has one")
{
    auto refusal = answer_with("r1", R"({"reason":"overload"})");
    refusal.result(503);
    auto const refused = judge_answer(refusal, only_try);
    CHECK(refused.end == try_end::refused);
    CHECK(refused.reason == "overload");

    refusal.body() = "not JSON";
    CHECK(judge_answer(refusal, only_try).reason.empty());
}

TEST_CASE("a call without an answer is judged by its failure")
{
    auto const end_of = [](errc kind)
    {
        result<http_response> const failed = error{kind, ""};
        return judge_answer(failed, only_try).end;
    };
    CHECK(end_of(errc::unavailable) == try_end::unreachable);
    CHECK(end_of(errc::timeout) == try_end::timed_out);
    CHECK(end_of(errc::io_failure) == try_end::interrupted);
}

TEST_CASE("goodput counts whole answers only, in the bucket of their end")
{
    caller_report report;
    request_record good;
    good.class_name = "browse";
    good.start_ms = 100;
    good.end_ms = 700;
    good.last.end = try_end::whole_answer;
    request_record bad = good;
    bad.last.end = try_end::wrong_answer;
    bad.wrong_answers = 1;
    report.add(good);
    report.add(bad);
    auto const summary = report.summary_json(1, 1000);
    CHECK(summary.find(R"("whole":1)") != std::string::npos);
    CHECK(summary.find(R"("whole_buckets":[0,1,0])") != std::string::npos);
    CHECK(summary.find(R"("offered_buckets":[2,0,0])") != std::string::npos);
    CHECK(summary.find(R"("wrong_answers":1)") != std::string::npos);
}
