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

TEST_CASE("a decoded hop context equals the one that was encoded")
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
            auto const decoded = decode_one(codec::encode_hop_context(hop));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded.value() == hop);
        }));
}

TEST_CASE("a decoded hop report equals the one that was encoded")
{
    hop_report report;
    report.outcome = verdict::not_run;
    report.reason = refusal::not_key_home;
    report.key_home = "10.0.0.3:7001";
    report.retry_after = duration(1'500'000);
    report.is_draining = true;
    report.is_repeat_granted = true;
    report.lacks_capacity = true;
    report.has_reached_upstream = true;
    std::vector<header_field> const headers{codec::encode_hop_report(report)};
    auto const decoded = codec::decode_hop_report(headers);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value() == report);
}

TEST_CASE(
    "header names are compared ignoring case, and other headers are ignored")
{
    std::vector<header_field> const headers{
        {"plantaintally-hop", R"(["","",0,2,0,0,0,0,true,0,"newer"])"},
        {"Plantaintally-Hop-Newer-Header", "[1]"},
        {"Host", "not json"}};
    auto const decoded = codec::decode_hop_context(headers);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().retries_left == 2);
    CHECK(decoded.value().rank.empty());
}

TEST_CASE("malformed hop headers are reported")
{
    auto const error_message_of = [](std::string const& value)
    {
        auto const decoded = decode_one({"Plantaintally-Hop", value});
        return decoded ? std::string("none") : decoded.error().message;
    };
    CHECK(error_message_of("high") ==
          "header Plantaintally-Hop: malformed at byte 1");
    CHECK(error_message_of(R"(["","",-1])") ==
          "header Plantaintally-Hop: number out of range");
    CHECK(error_message_of("[7]") == "header Plantaintally-Hop: not a string");
    CHECK(error_message_of("{}") == "header Plantaintally-Hop: not an array");
}

TEST_CASE("arbitrary header values give fields or an error")
{
    CHECK(rc::check(
        [](std::string const& value)
        {
            std::vector<header_field> const headers{
                {"Plantaintally-Report", value}};
            auto const decoded = codec::decode_hop_report(headers);
            RC_ASSERT(decoded.has_value() || !decoded.error().message.empty());
        }));
}
