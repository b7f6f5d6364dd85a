#include "standin/effect_ledger.hpp"
#include "standin/request_key.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally::standin;

TEST_CASE("a second effect under the same key is a duplicate")
{
    effect_ledger ledger;
    ledger.record("key-1", "request-1");
    ledger.record("key-2", "request-2");
    CHECK(ledger.duplicates() == 0);

    ledger.record("key-1", "request-3");
    CHECK(ledger.effects() == 3);
    CHECK(ledger.duplicates() == 1);
    CHECK(ledger.count("key-1") == 2);
}

TEST_CASE("effects without a key are counted by request id")
{
    effect_ledger ledger;
    ledger.record("", "request-1");
    ledger.record("", "request-2");
    CHECK(ledger.duplicates() == 0);

    ledger.record("", "request-2");
    CHECK(ledger.duplicates() == 1);
}

TEST_CASE("a derived key keeps its parent's timestamp and is deterministic")
{
    std::mt19937_64 random(1);
    auto const parent = make_uuidv7(0x0123456789ab, random);
    CHECK(parent.substr(0, 15) == "01234567-89ab-7");
    CHECK(parent.size() == 36);

    auto const derived = derive_key(parent, "duty-desk/duty");
    CHECK(derived.substr(0, 15) == "01234567-89ab-7");
    CHECK(derived != parent);
    CHECK(derived == derive_key(parent, "duty-desk/duty"));
    CHECK(derived != derive_key(parent, "concert-desk/seat"));
}
