#include "drivers/internal/arrival.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::drivers;

namespace
{

incoming_request request_with(std::vector<header_field> headers)
{
    headers.push_back({"Host", "Duty-Desk:8080"});
    return {"POST", "/swap?slot=7", std::move(headers), "body", true};
}

request_origin from(request_source source)
{
    return {source, "10.0.0.9", "fresh-1"};
}

std::string problem_of(incoming_request const& request)
{
    auto const parsed = parse_arrival(request, from(request_source::caller));
    return parsed ? "none" : parsed.error().message;
}

} // namespace

TEST_CASE("a caller's head becomes the reducer's")
{
    auto const parsed =
        parse_arrival(request_with({{"idempotency-key", "k1"},
                                    {"X-Request-Id", "t1"},
                                    {"Plantaintally-Deadline-Ms", "250"}}),
                      from(request_source::caller));
    REQUIRE(parsed.has_value());
    CHECK(parsed.value().head == request_head{"t1",
                                              "duty-desk",
                                              "duty-desk",
                                              "POST",
                                              "/swap?slot=7",
                                              "k1",
                                              "10.0.0.9",
                                              duration(250'000),
                                              4});
    CHECK(!parsed.value().hop);
}

TEST_CASE("a caller can't set what only nodes may set")
{
    auto const parsed =
        parse_arrival(request_with({{"Plantaintally-Hop", R"(["","",99])"},
                                    {"plantaintally-caller", "somebody"},
                                    {"Plantaintally-Anything", "x"},
                                    {"Connection", "close, X-Hop"},
                                    {"X-Hop", "1"},
                                    {"Transfer-Encoding", "chunked"},
                                    {"Accept", "text/plain"}}),
                      from(request_source::caller));
    REQUIRE(parsed.has_value());
    CHECK(!parsed.value().hop);
    CHECK(parsed.value().head.caller == "10.0.0.9");
    CHECK(parsed.value().head.trace_id == "fresh-1");
    REQUIRE(parsed.value().forwarded_headers.size() == 1);
    CHECK(parsed.value().forwarded_headers.front().name == "Accept");
}

TEST_CASE("a peer's hop fields and caller are taken")
{
    auto const parsed =
        parse_arrival(request_with({{"Plantaintally-Hop", R"(["","",99])"},
                                    {"Plantaintally-Caller", "somebody"}}),
                      from(request_source::peer));
    REQUIRE(parsed.has_value());
    REQUIRE(parsed.value().hop);
    CHECK(parsed.value().hop->urgency == 99);
    CHECK(parsed.value().head.caller == "somebody");
}

TEST_CASE("a peer's malformed hop fields are told")
{
    auto const parsed =
        parse_arrival(request_with({{"Plantaintally-Hop", "much"}}),
                      from(request_source::peer));
    REQUIRE(!parsed.has_value());
    CHECK(parsed.error().message ==
          "header Plantaintally-Hop: malformed at byte 1");
}

TEST_CASE("a local call names the request that it belongs to")
{
    auto const parsed =
        parse_arrival(request_with({}), from(request_source::local));
    REQUIRE(!parsed.has_value());
    CHECK(parsed.error().message.starts_with("header X-Request-Id is missing"));
}

TEST_CASE("malformed heads are told")
{
    CHECK(problem_of({"GET", "/", {}, "", true}) ==
          "header Host is missing; it names the service");
    CHECK(problem_of({"CONNECT", "a:80", {{"Host", "a"}}, "", true}) ==
          "the request's target is not a path");
    CHECK(problem_of({"GET", "/\xff", {{"Host", "a"}}, "", true}) ==
          "the request's target is not a path");
    CHECK(problem_of(request_with({{"Host", "other"}})) ==
          "header Host stands twice");
    CHECK(problem_of(request_with(
              {{"Idempotency-Key", "a"}, {"idempotency-key", "b"}})) ==
          "header Idempotency-Key stands twice");
    CHECK(problem_of(
              request_with({{"Idempotency-Key", std::string(257, 'k')}})) ==
          "header Idempotency-Key is longer than 256 bytes");
    CHECK(problem_of(request_with({{"X-Request-Id", "a b"}})) ==
          "header X-Request-Id has other than visible ASCII characters");
    for (auto const* const time : {"-1", "soon", "86400001", ""})
    {
        CHECK(problem_of(request_with({{"Plantaintally-Deadline-Ms", time}})) ==
              "header Plantaintally-Deadline-Ms is no number of milliseconds "
              "up to 86400000");
    }
}

TEST_CASE("an answer's own headers pass, those of nodes do not")
{
    auto const passed =
        forwarded_answer_headers({{"Content-Type", "text/plain"},
                                  {"Plantaintally-Verdict", "not-run"},
                                  {"X-Request-Id", "other"},
                                  {"Content-Length", "5"}});
    REQUIRE(passed.size() == 1);
    CHECK(passed.front().name == "Content-Type");
}
