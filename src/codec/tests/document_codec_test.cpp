#include "codec/document_codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaintally;
using codec::decode_document;
using codec::encode_document;

TEST_CASE("a decoded document equals the one that was encoded")
{
    CHECK(rc::check(
        []
        {
            configuration::document original;
            original.revision = *rc::gen::arbitrary<std::uint64_t>();
            original.ranks.push_back({"booking",
                                      *rc::gen::arbitrary<std::uint32_t>(),
                                      *rc::gen::arbitrary<std::uint32_t>(),
                                      3,
                                      duration(*rc::gen::inRange(0, 1'000'000)),
                                      *rc::gen::arbitrary<bool>()});
            original.rules.push_back({"a", "b", "POST", "/slots", "booking"});
            original.drained_nodes = {"127.0.0.1:7001"};
            original.changes.push_back(
                {"id", original.revision, "create rank", "rank:booking"});
            auto const decoded = decode_document(encode_document(original));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded.value() == original);
        }));
}

TEST_CASE("text that is not a document is reported")
{
    CHECK(decode_document("").error().message ==
          "configuration document: malformed at byte 1");
    CHECK(decode_document("[]").error().message ==
          "configuration document: not an object");
    CHECK(decode_document(R"({"ranks":[{"urgency":4294967296}]})")
              .error()
              .message ==
          "configuration document: ranks: urgency: number out of range");
    CHECK(!decode_document(std::string(1'000'000, '[')).has_value());
}

TEST_CASE("arbitrary text gives a document or an error")
{
    CHECK(rc::check(
        [](std::string const& text)
        {
            auto const decoded = decode_document(text);
            RC_ASSERT(decoded.has_value() || !decoded.error().message.empty());
        }));
}
