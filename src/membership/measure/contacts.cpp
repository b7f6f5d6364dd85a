#include "membership/internal/contacts.hpp"
#include "membership/measure/sections.hpp"
#include "test_fleet/fleet.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace plantaintally::measure
{

namespace
{

using namespace std::chrono_literals;
using test_fleet::fleet;

constexpr std::size_t zone_count = 3;
constexpr std::size_t service_count = 30;
constexpr duration check_interval = std::chrono::milliseconds(500);
constexpr duration observed_time = std::chrono::seconds(60);

// A fleet whose nodes start at addresses that were never used before, and the
// calls of its membership to the store.
struct replaced_fleet
{
    explicit replaced_fleet(std::uint64_t seed) : all(seed)
    {
        this->all.keeps_entries = false;
        this->all.net.delay = 10ms;
        this->all.store.delay = 10ms;
        this->all.on_store_call = [this](call_store const& called)
        {
            if (called.client == store_client::membership)
            {
                this->count(called);
            }
        };
    }

    fleet all;
    std::size_t last_number = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    // Calls in each second since `observed_from`.
    instant observed_from{};
    std::vector<std::uint64_t> calls_by_second;

    void count(call_store const& called)
    {
        bool const is_write =
            std::holds_alternative<store_compare_and_set>(called.request);
        (is_write ? this->writes : this->reads) += 1;
        auto const second =
            static_cast<std::size_t>(std::chrono::floor<std::chrono::seconds>(
                                         this->all.now() - this->observed_from)
                                         .count());
        this->calls_by_second.resize(
            std::max(this->calls_by_second.size(), second + 1));
        this->calls_by_second[second] += 1;
    }

    void start(std::size_t count)
    {
        for (std::size_t started = 0; started < count; ++started)
        {
            std::size_t const number = ++this->last_number;
            this->all.start_node("10." + std::to_string(number / 250) + ".0." +
                                     std::to_string(number % 250) + ":7000",
                                 "zone-" + std::to_string(number % zone_count),
                                 "service-" +
                                     std::to_string(number % service_count));
        }
    }

    void lose_all()
    {
        for (std::string const& address : this->all.live_addresses())
        {
            this->all.crash(address);
        }
    }

    bool is_complete(std::size_t count)
    {
        auto const live = this->all.live_addresses();
        return std::ranges::all_of(
            live,
            [&](std::string const& address)
            {
                return membership::member_count(
                           this->all.at(address).membership) == count;
            });
    }

    // Runs for the observed time; returns when the views became complete.
    duration observe(std::size_t count)
    {
        this->reads = 0;
        this->writes = 0;
        this->calls_by_second.clear();
        this->observed_from = this->all.now();
        duration complete_after = observed_time;
        while (this->all.now() - this->observed_from < observed_time)
        {
            this->all.run_for(check_interval);
            if (complete_after == observed_time && this->is_complete(count))
            {
                complete_after = this->all.now() - this->observed_from;
            }
        }
        return complete_after;
    }
};

void add_calls(report& out,
               replaced_fleet const& nodes,
               std::string const& parameters,
               std::size_t newcomers,
               duration complete_after)
{
    auto const per_newcomer = [&](std::uint64_t calls)
    {
        return static_cast<double>(calls) / static_cast<double>(newcomers);
    };
    out.add("contacts",
            "all views complete",
            parameters,
            std::chrono::duration<double>(complete_after).count(),
            "s");
    out.add("contacts",
            "reads of the store in a minute",
            parameters,
            per_newcomer(nodes.reads),
            "1/newcomer");
    out.add("contacts",
            "writes to the store in a minute",
            parameters,
            per_newcomer(nodes.writes),
            "1/newcomer");
    out.add("contacts",
            "most calls in a second",
            parameters,
            static_cast<double>(
                nodes.calls_by_second.empty()
                    ? 0
                    : *std::ranges::max_element(nodes.calls_by_second)),
            "1/s");
}

} // namespace

void measure_contacts(report& out, std::uint64_t seed)
{
    for (std::size_t const count : {54U, 300U, 1000U})
    {
        std::string const size = " nodes=" + std::to_string(count);
        replaced_fleet nodes(seed);
        nodes.start(count);
        duration complete_after = nodes.observe(count);
        add_calls(out, nodes, "first start" + size, count, complete_after);
        nodes.start(1);
        complete_after = nodes.observe(count + 1);
        add_calls(out, nodes, "one joins" + size, 1, complete_after);
        nodes.lose_all();
        nodes.start(count);
        complete_after = nodes.observe(count);
        add_calls(out, nodes, "all replaced" + size, count, complete_after);
    }
}

} // namespace plantaintally::measure
