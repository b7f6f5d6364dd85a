#include "codec/control_codec.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

using namespace plantaintally;
using codec::decode_control;
using codec::encode_control;

namespace
{

membership::member_record arbitrary_record()
{
    return {{*rc::gen::arbitrary<std::string>(),
             *rc::gen::arbitrary<std::uint64_t>()},
            *rc::gen::arbitrary<std::string>(),
            *rc::gen::arbitrary<std::string>(),
            static_cast<membership::member_status>(*rc::gen::inRange(0, 4)),
            *rc::gen::arbitrary<std::uint32_t>(),
            *rc::gen::arbitrary<std::uint32_t>()};
}

std::vector<membership::member_record> arbitrary_records()
{
    std::vector<membership::member_record> records(
        static_cast<std::size_t>(*rc::gen::inRange(0, 4)));
    for (auto& record : records)
    {
        record = arbitrary_record();
    }
    return records;
}

control_message arbitrary_message()
{
    auto const text = *rc::gen::arbitrary<std::string>();
    auto const number = *rc::gen::arbitrary<std::uint64_t>();
    auto const flag = *rc::gen::arbitrary<bool>();
    auto const at = instant(duration(*rc::gen::arbitrary<std::int64_t>()));
    switch (*rc::gen::inRange(0, 12))
    {
    case 0:
        return membership::message(membership::heartbeat{{7, 4'000'000'000},
                                                         arbitrary_records(),
                                                         number,
                                                         7,
                                                         5,
                                                         flag,
                                                         number});
    case 1:
        return membership::message(
            membership::gossip{arbitrary_records(), flag});
    case 2:
        return membership::message(
            membership::view_digest{{1, number}, {text}, {number}, flag});
    case 3:
        return configuration::message(
            configuration::revision_digest{number,
                                           flag,
                                           !flag,
                                           duration(9),
                                           wall_time(duration(number % 1000))});
    case 9:
        return configuration::message(configuration::change_batch{
            {{number,
              number + 1,
              number,
              {text, number, text, configuration::drain_node{text}}}}});
    case 4:
        return once::message(once::vouch_request{text, number, at});
    case 5:
        return once::message(once::vouch_reply{text, number, at, flag, 3});
    case 6:
        return once::message(once::key_answer{
            text, text, number, once::key_history::running, flag});
    case 7:
        return query::message(
            query::partial_query{number, text, {text}, duration(5)});
    case 8:
        return once::message(once::key_transfer{
            text, number, 2, 3, wall_time(at.time_since_epoch()), {text}});
    case 10:
        return once::message(once::epoch_news{text, number, text});
    default:
        return query::message(
            query::partial_answer{number, {{"a"}, {{text}}}, 3, {text}});
    }
}

std::vector<std::uint8_t> pack(nlohmann::json const& value)
{
    return nlohmann::json::to_msgpack(value);
}

} // namespace

TEST_CASE("a decoded control message equals the one that was encoded")
{
    CHECK(rc::check(
        []
        {
            control_envelope const sent{
                {"10.0.0.1:7001", 5}, {9, 2}, arbitrary_message()};
            auto const decoded = decode_control(encode_control(sent));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded.value().sender == sent.sender);
            RC_ASSERT(decoded.value().sent_at == sent.sent_at);
            RC_ASSERT(decoded.value().message == sent.message);
        }));
}

TEST_CASE("arbitrary bytes give a control message or an error")
{
    CHECK(rc::check(
        [](std::vector<std::uint8_t> const& bytes)
        {
            auto const decoded = decode_control(bytes);
            RC_ASSERT(decoded.has_value() || !decoded.error().message.empty());
        }));
}

TEST_CASE("a corrupted control message gives a value or an error")
{
    CHECK(rc::check(
        []
        {
            auto bytes =
                encode_control({{"a:1", 5}, {9, 2}, arbitrary_message()});
            auto const where = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[where] = *rc::gen::arbitrary<std::uint8_t>();
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            auto const decoded = decode_control(bytes);
            RC_ASSERT(decoded.has_value() || !decoded.error().message.empty());
        }));
}

TEST_CASE("deeply nested input is refused before it exhausts the stack")
{
    constexpr std::uint8_t array_of_one = 0x91;
    constexpr std::size_t depth = 1U << 20U;
    std::vector<std::uint8_t> const bytes(depth, array_of_one);
    auto const decoded = decode_control(bytes);
    REQUIRE(!decoded.has_value());
    CHECK(decoded.error().message == "control message: nested too deeply");
}

TEST_CASE("a control message that is too large is refused")
{
    std::vector<std::uint8_t> const bytes(codec::max_control_message_bytes + 1);
    REQUIRE(!decode_control(bytes).has_value());
    CHECK(decode_control(bytes).error().code == errc::too_large);
}

TEST_CASE("unknown fields of a newer peer are ignored")
{
    auto const decoded = decode_control(pack(
        {{"sender", {{"address", "a:1"}, {"colour", "red"}}},
         {"shape", {1, 2, {{"x", nullptr}}}},
         {"message",
          {{"kind", "key_question"}, {"epoch", 4}, {"new_field", true}}}}));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().message ==
          control_message(once::message(once::key_question{"", "", 4, 0})));
}

TEST_CASE("unknown kinds and wrong types of fields are reported")
{
    auto const message_of = [](nlohmann::json const& message)
    {
        auto const decoded = decode_control(pack({{"message", message}}));
        return decoded ? std::string("read") : decoded.error().message;
    };
    CHECK(message_of({{"kind", "telepathy"}}) ==
          "control message: message: unknown kind 'telepathy'");
    CHECK(message_of({{"kind", "key_question"}, {"epoch", -1}}) ==
          "control message: message: epoch: number out of range");
    CHECK(message_of({{"kind", "key_question"}, {"epoch", 1.5}}) ==
          "control message: message: epoch: not an integer");
    CHECK(message_of({{"kind", "key_answer"}, {"history", "forgotten"}}) ==
          "control message: message: history: unknown value 'forgotten'");
    CHECK(message_of(17) == "control message: message: not an object");
}

TEST_CASE("the kind of a control message is that of its type")
{
    CHECK(codec::control_kind(membership::message(membership::gossip{})) ==
          "gossip");
}
