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

request_origin make_origin(request_source source)
{
    return {source, "10.0.0.9", "fresh-1"};
}

std::string error_of(incoming_request const& request)
{
    auto const parsed =
        parse_request(request, make_origin(request_source::caller));
    return parsed ? "none" : parsed.error().message;
}

} // namespace

TEST_CASE("a caller's request is parsed into a request head")
{
    auto const parsed =
        parse_request(request_with({{"idempotency-key", "k1"},
                                    {"X-Request-Id", "t1"},
                                    {"Plantaintally-Deadline-Ms", "250"}}),
                      make_origin(request_source::caller));
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

TEST_CASE("headers reserved for nodes are ignored in callers' requests")
{
    auto const parsed =
        parse_request(request_with({{"Plantaintally-Hop", R"(["","",99])"},
                                    {"plantaintally-caller", "somebody"},
                                    {"Plantaintally-Anything", "x"},
                                    {"Connection", "close, X-Hop"},
                                    {"X-Hop", "1"},
                                    {"Transfer-Encoding", "chunked"},
                                    {"Accept", "text/plain"}}),
                      make_origin(request_source::caller));
    REQUIRE(parsed.has_value());
    CHECK(!parsed.value().hop);
    CHECK(parsed.value().head.caller == "10.0.0.9");
    CHECK(parsed.value().head.trace_id == "fresh-1");
    REQUIRE(parsed.value().forwarded_headers.size() == 1);
    CHECK(parsed.value().forwarded_headers.front().name == "Accept");
}

TEST_CASE("the hop context and the caller are accepted from a peer")
{
    auto const parsed =
        parse_request(request_with({{"Plantaintally-Hop", R"(["","",99])"},
                                    {"Plantaintally-Caller", "somebody"}}),
                      make_origin(request_source::peer));
    REQUIRE(parsed.has_value());
    REQUIRE(parsed.value().hop);
    CHECK(parsed.value().hop->urgency == 99);
    CHECK(parsed.value().head.caller == "somebody");
}

TEST_CASE("a malformed hop header from a peer is an error")
{
    auto const parsed =
        parse_request(request_with({{"Plantaintally-Hop", "much"}}),
                      make_origin(request_source::peer));
    REQUIRE(!parsed.has_value());
    CHECK(parsed.error().message ==
          "header Plantaintally-Hop: malformed at byte 1");
}

TEST_CASE("a request on the local listener must have X-Request-Id")
{
    auto const parsed =
        parse_request(request_with({}), make_origin(request_source::local));
    REQUIRE(!parsed.has_value());
    CHECK(parsed.error().message.starts_with("header X-Request-Id is missing"));
}

TEST_CASE("malformed request heads are rejected with a description")
{
    CHECK(error_of({"GET", "/", {}, "", true}) ==
          "header Host is missing; it names the service");
    CHECK(error_of({"CONNECT", "a:80", {{"Host", "a"}}, "", true}) ==
          "the request's target is not a path");
    CHECK(error_of({"GET", "/\xff", {{"Host", "a"}}, "", true}) ==
          "the request's target is not a path");
    CHECK(error_of(request_with({{"Host", "other"}})) ==
          "duplicate header Host in the request");
    CHECK(error_of(request_with(
              {{"Idempotency-Key", "a"}, {"idempotency-key", "b"}})) ==
          "duplicate header Idempotency-Key in the request");
    CHECK(
        error_of(request_with({{"Idempotency-Key", std::string(257, 'k')}})) ==
        "header Idempotency-Key is longer than 256 bytes");
    CHECK(error_of(request_with({{"X-Request-Id", "a b"}})) ==
          "header X-Request-Id contains characters other than visible ASCII");
    for (auto const* const time : {"-1", "soon", "86400001", ""})
    {
        CHECK(error_of(request_with({{"Plantaintally-Deadline-Ms", time}})) ==
              "header Plantaintally-Deadline-Ms is not a whole number of "
              "milliseconds up to 86400000");
    }
}

TEST_CASE("only headers that nodes do not set are forwarded to the caller")
{
    auto const forwardable =
        forwarded_answer_headers({{"Content-Type", "text/plain"},
                                  {"Plantaintally-Verdict", "not-run"},
                                  {"X-Request-Id", "other"},
                                  {"Content-Length", "5"}});
    REQUIRE(forwardable.size() == 1);
    CHECK(forwardable.front().name == "Content-Type");
}
