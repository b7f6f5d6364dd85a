#include "codec/hop_headers.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaintally;
using codec::header_field;

namespace
{

result<hop_context> decode_one(header_field const& header)
{
    std::vector<header_field> const headers{header};
    return codec::decode_hop_context(headers);
}

} // namespace

TEST_CASE("hop fields survive their way through headers")
{
    CHECK(rc::check(
        []
        {
            hop_context hop;
            hop.rank = *rc::gen::element<std::string>("booking", "", "ä \"b\"");
            hop.urgency = *rc::gen::arbitrary<std::uint32_t>();
            hop.retries_left = *rc::gen::arbitrary<std::uint32_t>();
            hop.to_key_home = *rc::gen::arbitrary<bool>();
            hop.is_probe = *rc::gen::arbitrary<bool>();
            hop.is_repeat = *rc::gen::arbitrary<bool>();
            hop.service = *rc::gen::element<std::string>("desk", "");
            if (*rc::gen::arbitrary<bool>())
            {
                hop.route = route_terms{*rc::gen::arbitrary<bool>(), {}};
            }
            hop.sent_at = {*rc::gen::arbitrary<std::int64_t>(), 3};
            auto const read = decode_one(codec::encode_hop_context(hop));
            RC_ASSERT(read.has_value());
            RC_ASSERT(read.value() == hop);
        }));
}

TEST_CASE("a report survives its way through headers")
{
    hop_report report;
    report.outcome = verdict::not_run;
    report.reason = refusal::not_key_home;
    report.key_home = "10.0.0.3:7001";
    report.retry_after = duration(1'500'000);
    report.is_draining = true;
    report.is_repeat_granted = true;
    report.has_reached_upstream = true;
    std::vector<header_field> const headers{codec::encode_hop_report(report)};
    auto const read = codec::decode_hop_report(headers);
    REQUIRE(read.has_value());
    CHECK(read.value() == report);
}

TEST_CASE("header names are compared without case and others are ignored")
{
    std::vector<header_field> const headers{
        {"plantaintally-hop", R"(["","",0,2,0,0,0,0,true,0,"newer"])"},
        {"Plantaintally-Hop-Newer-Header", "[1]"},
        {"Host", "not json"}};
    auto const read = codec::decode_hop_context(headers);
    REQUIRE(read.has_value());
    CHECK(read.value().retries_left == 2);
    CHECK(read.value().rank.empty());
}

TEST_CASE("malformed hop headers are told")
{
    auto const problem = [](std::string const& value)
    {
        auto const read = decode_one({"Plantaintally-Hop", value});
        return read ? std::string("none") : read.error().message;
    };
    CHECK(problem("high") == "header Plantaintally-Hop: malformed at byte 1");
    CHECK(problem(R"(["","",-1])") ==
          "header Plantaintally-Hop: number out of range");
    CHECK(problem("[7]") == "header Plantaintally-Hop: not a string");
    CHECK(problem("{}") == "header Plantaintally-Hop: not an array");
}

TEST_CASE("arbitrary header values give fields or an error")
{
    CHECK(rc::check(
        [](std::string const& value)
        {
            std::vector<header_field> const headers{
                {"Plantaintally-Report", value}};
            auto const read = codec::decode_hop_report(headers);
            RC_ASSERT(read.has_value() || !read.error().message.empty());
        }));
}
