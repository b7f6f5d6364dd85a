#include "base/hash.hpp"
#include "base/random.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;

TEST_CASE("equal seeds give equal sequences")
{
    random_source first(7);
    random_source second(7);
    for (int i = 0; i < 100; ++i)
    {
        CHECK(draw_below(first, 1000) == draw_below(second, 1000));
    }
}

TEST_CASE("jitter stays within its spread")
{
    random_source source(3);
    duration const base(1000);
    for (int i = 0; i < 1000; ++i)
    {
        duration const drawn = draw_jittered(source, base, 0.2);
        CHECK(drawn >= duration(800));
        CHECK(drawn <= duration(1200));
    }
}

TEST_CASE("the stable hash does not change between versions")
{
    CHECK(stable_hash("") == 0xef46db3751d8e999ULL);
    CHECK(rendezvous_weight("a", "k") != rendezvous_weight("b", "k"));
}
