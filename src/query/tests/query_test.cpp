#include "query/language.hpp"
#include "query/local_answer.hpp"
#include "query/query.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <set>

using namespace plantaintally;

namespace
{

// Nodes that answer queries, connected by a simulated network that delivers
// messages immediately.
struct query_fleet
{
    struct node
    {
        query::state query;
        configuration::document configuration;
        std::vector<query::work_sample> samples;
        timeline::journal journal;
        std::size_t sent = 0;
    };

    std::map<std::string, node> nodes;
    std::vector<membership::member_record> members;
    std::set<std::string> silent;
    std::vector<answer_operator> answers;
    random_source random;
    id_source ids;
    timeline::hybrid_clock clock;
    moment now;

    explicit query_fleet(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            std::string const address = "10.0.0." + std::to_string(i) + ":1";
            query::work_sample sample;
            sample.rank = i % 2 == 0 ? "booking" : "browse";
            sample.service = "s" + std::to_string(i % 3);
            sample.admitted = 10;
            sample.shed = 1;
            this->nodes[address].samples.push_back(sample);
            membership::member_record member;
            member.node.address = address;
            this->members.push_back(member);
        }
    }

    query::local_view view_of(std::string const& address)
    {
        node const& owner = this->nodes.at(address);
        return {node_id{address, 1},
                "zone-1",
                "s",
                "ready",
                owner.configuration,
                duration(0),
                this->members,
                owner.samples,
                owner.journal};
    }

    void ask(std::string const& address, std::string const& text)
    {
        effects out;
        step current{this->now, this->random, this->ids, this->clock, out};
        query::start_query(this->nodes.at(address).query,
                           command_id{1},
                           query::parse_statement(text).value(),
                           text,
                           this->view_of(address),
                           current);
        this->deliver(address, out);
    }

    void deliver(std::string const& from, effects const& sent)
    {
        std::deque<std::pair<std::string, effect>> undelivered;
        for (effect const& each : sent)
        {
            undelivered.emplace_back(from, each);
        }
        while (!undelivered.empty())
        {
            auto const [sender, emitted] = undelivered.front();
            undelivered.pop_front();
            if (auto const* answer = std::get_if<answer_operator>(&emitted))
            {
                this->answers.push_back(*answer);
                continue;
            }
            auto const& message = std::get<send_control>(emitted);
            ++this->nodes.at(sender).sent;
            if (this->silent.contains(message.address))
            {
                continue;
            }
            effects out;
            step current{this->now, this->random, this->ids, this->clock, out};
            query::handle_message(this->nodes.at(message.address).query,
                                  node_id{sender, 1},
                                  std::get<query::message>(message.message),
                                  this->view_of(message.address),
                                  current);
            for (effect const& each : out)
            {
                undelivered.emplace_back(message.address, each);
            }
        }
    }

    // Advances the clock of all nodes in steps of 100 ms.
    void advance(duration span)
    {
        instant const end = this->now.monotonic + span;
        while (this->now.monotonic < end)
        {
            this->now.monotonic += std::chrono::milliseconds(100);
            for (auto& [address, each] : this->nodes)
            {
                effects out;
                step current{
                    this->now, this->random, this->ids, this->clock, out};
                query::handle_time(each.query, current);
                this->deliver(address, out);
            }
        }
    }
};

} // namespace

TEST_CASE("counts are summed over every node")
{
    query_fleet fleet(40);
    fleet.ask("10.0.0.0:1", "show admitted, shed by rank");
    REQUIRE(fleet.answers.size() == 1);
    auto const& answer = fleet.answers[0];
    CHECK(answer.status == "ok");
    CHECK(answer.message == "40 of 40 nodes answered");
    REQUIRE(answer.table.rows.size() == 2);
    CHECK(answer.table.rows[0] == table_row{"booking", "200", "20"});
    CHECK(answer.table.rows[1] == table_row{"browse", "200", "20"});
}

TEST_CASE("a node sends to at most its fan-out of nodes and its parent")
{
    query_fleet fleet(300);
    fleet.ask("10.0.0.7:1", "show work");
    REQUIRE(fleet.answers.size() == 1);
    CHECK(fleet.answers[0].message == "300 of 300 nodes answered");
    for (auto const& [address, node] : fleet.nodes)
    {
        CHECK(node.sent <= query::options{}.fan_out + 1);
    }
}

TEST_CASE(
    "silent nodes are named and the other nodes of their groups still answer")
{
    query_fleet fleet(100);
    fleet.silent.insert("10.0.0.1:1");
    fleet.silent.insert("10.0.0.50:1");
    fleet.ask("10.0.0.0:1", "show configuration");
    CHECK(fleet.answers.empty());
    fleet.advance(std::chrono::seconds(3));
    REQUIRE(fleet.answers.size() == 1);
    auto const& answer = fleet.answers[0];
    CHECK(answer.status == "partial");
    CHECK(answer.message.find("revision 0 in force on 98 of 100 nodes") == 0);
    CHECK(answer.message.find("10.0.0.50:1") != std::string::npos);
    for (auto const& [address, node] : fleet.nodes)
    {
        CHECK(node.query.pending.empty());
    }
}

TEST_CASE("filters select the matching counts")
{
    query_fleet fleet(12);
    fleet.ask("10.0.0.0:1", "show admitted by service where rank is booking");
    REQUIRE(fleet.answers.size() == 1);
    CHECK(fleet.answers[0].table.rows.size() == 3);
    fleet.ask("10.0.0.0:1", "show admitted where upstream is 10.0.0.4:1");
    REQUIRE(fleet.answers.size() == 2);
    CHECK(fleet.answers[1].table.rows ==
          std::vector<table_row>{{"booking", "10"}});
}

TEST_CASE("a request's time line has the entries of all nodes in order of time")
{
    query_fleet fleet(5);
    for (int i = 0; i < 5; ++i)
    {
        timeline_entry entry;
        entry.trace_id = "r-1";
        entry.kind = "step";
        entry.at.wall_us = 1000 - i;
        timeline::append(
            fleet.nodes.at("10.0.0." + std::to_string(i) + ":1").journal,
            entry);
    }
    fleet.ask("10.0.0.2:1", "why r-1");
    REQUIRE(fleet.answers.size() == 1);
    auto const& rows = fleet.answers[0].table.rows;
    REQUIRE(rows.size() == 5);
    CHECK(rows.front()[1] == "10.0.0.4:1");
    CHECK(rows.back()[1] == "10.0.0.0:1");
}

TEST_CASE("counts older than the requested time span are left out")
{
    query_fleet fleet(2);
    fleet.now.monotonic += std::chrono::minutes(10);
    fleet.ask("10.0.0.0:1", "show work last 1m");
    REQUIRE(fleet.answers.size() == 1);
    CHECK(fleet.answers[0].table.rows.empty());
}

TEST_CASE("rows of the wrong width are dropped when answers are merged")
{
    answer_table table{{"revision", "nodes", "oldest_age_ms"}, {}};
    answer_table const partial{{},
                               {{"1"}, {"2", "1", "5", "x"}, {"3", "1", "9"}}};
    query::merge_answer(query::show_configuration{}, table, partial);
    CHECK(table.rows == std::vector<table_row>{{"3", "1", "9"}});
}
