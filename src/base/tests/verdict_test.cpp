#include "base/verdict.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;

TEST_CASE("a hop does not report not-run if a downstream call may have run")
{
    CHECK(fold_downstream(verdict::not_run, verdict::may_have_run) ==
          verdict::may_have_run);
    CHECK(fold_downstream(verdict::not_run, verdict::ran) ==
          verdict::may_have_run);
    CHECK(fold_downstream(verdict::not_run, verdict::not_run) ==
          verdict::not_run);
}

TEST_CASE("a complete answer keeps its verdict whatever happened downstream")
{
    CHECK(fold_downstream(verdict::ran, verdict::may_have_run) == verdict::ran);
}

TEST_CASE("verdict names match the values of the verdict header")
{
    CHECK(to_string(verdict::ran) == "ran");
    CHECK(to_string(verdict::not_run) == "not-run");
    CHECK(to_string(verdict::may_have_run) == "may-have-run");
}
