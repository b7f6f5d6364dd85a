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
            configuration::document written;
            written.revision = *rc::gen::arbitrary<std::uint64_t>();
            written.ranks.push_back({"booking",
                                     *rc::gen::arbitrary<std::uint32_t>(),
                                     *rc::gen::arbitrary<std::uint32_t>(),
                                     3,
                                     duration(*rc::gen::inRange(0, 1'000'000)),
                                     *rc::gen::arbitrary<bool>()});
            written.rules.push_back({"a", "b", "POST", "/slots", "booking"});
            written.drained_nodes = {"127.0.0.1:7001"};
            written.changes.push_back(
                {"id", written.revision, "create rank", "rank:booking"});
            auto const read = decode_document(encode_document(written));
            RC_ASSERT(read.has_value());
            RC_ASSERT(read.value() == written);
        }));
}

TEST_CASE("text that is no document is told")
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
            auto const read = decode_document(text);
            RC_ASSERT(read.has_value() || !read.error().message.empty());
        }));
}
