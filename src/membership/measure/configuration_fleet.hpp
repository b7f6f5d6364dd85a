// Runs many configuration reducers in virtual time. Membership is left out:
// peers are drawn from all nodes.
#pragma once

#include "configuration/configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantaintally::measure
{

// How a change spread, measured from its acceptance.
struct spread_figures
{
    // Time until 99% of the nodes had the change in force; zero if fewer did.
    duration until_99_percent{};
    // Time until all nodes had it in force; duration::max() if some did not.
    duration until_all{};
    // Number of messages that carried the change.
    std::uint64_t messages = 0;
};

class configuration_fleet
{
public:
    configuration_fleet(std::size_t nodes, double loss, std::uint64_t seed);

    void run_for(duration span);
    // Makes the first node adopt the change as accepted.
    void accept_change(configuration::change const& requested);
    spread_figures run_until_in_force();

private:
    struct member
    {
        configuration::state configuration;
        random_source random;
        id_source ids;
        timeline::hybrid_clock clock;
        std::optional<instant> timer_at;
    };
    struct scheduled
    {
        instant at{};
        std::uint64_t order = 0;
        std::size_t receiver = 0;
        std::size_t sender = 0;
        // Empty if this is a timer.
        std::optional<configuration::message> message;
    };
    struct is_later
    {
        bool operator()(scheduled const& left, scheduled const& right) const
        {
            return std::pair(left.at, left.order) >
                   std::pair(right.at, right.order);
        }
    };

    void handle(scheduled const& next);
    void apply_effects(std::size_t index, effects const& produced);
    void set_timer(std::size_t index);
    std::vector<std::string> draw_peers(std::size_t self);

    std::vector<member> members;
    std::unordered_map<std::string, std::size_t> index_by_address;
    random_source random;
    double loss;
    instant now = instant(std::chrono::hours(1));
    std::uint64_t last_order = 0;
    std::uint64_t change_messages = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, is_later> queue;
};

} // namespace plantaintally::measure
