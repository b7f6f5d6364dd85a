#include "once/once.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::once;

namespace
{

struct lone_home
{
    state once;
    random_source random;
    id_source ids;
    timeline::hybrid_clock clock;
    effects out;

    claim ask(std::uint64_t exchange, std::string key)
    {
        step current{moment{}, this->random, this->ids, this->clock, this->out};
        return claim_key(this->once,
                         {exchange_id{exchange}, "bookings", std::move(key)},
                         current);
    }

    void finish(std::uint64_t exchange, verdict outcome, std::uint64_t attempt)
    {
        step current{moment{}, this->random, this->ids, this->clock, this->out};
        finish_key(this->once,
                   exchange_id{exchange},
                   {outcome, attempt_id{attempt}, {}},
                   current);
    }
};

} // namespace

TEST_CASE("a duplicate in flight joins the running execution")
{
    lone_home home;
    CHECK(std::holds_alternative<run_now>(home.ask(1, "a")));
    claim const repeated = home.ask(2, "a");
    REQUIRE(std::holds_alternative<join_running>(repeated));
    CHECK(std::get<join_running>(repeated).running == exchange_id{1});
}

TEST_CASE("a finished duplicate replays the recorded answer")
{
    lone_home home;
    home.ask(1, "a");
    home.finish(1, verdict::ran, 9);
    claim const repeated = home.ask(2, "a");
    REQUIRE(std::holds_alternative<replay_answer>(repeated));
    CHECK(std::get<replay_answer>(repeated).attempt == attempt_id{9});
}

TEST_CASE("a key that did not run may be claimed again")
{
    lone_home home;
    home.ask(1, "a");
    home.finish(1, verdict::not_run, 0);
    CHECK(std::holds_alternative<run_now>(home.ask(2, "a")));
}
