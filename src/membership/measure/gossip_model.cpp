#include "membership/measure/gossip_model.hpp"

#include "base/random.hpp"
#include "membership/internal/gossip_queue.hpp"
#include "membership/state.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace plantaintally::measure
{

namespace
{

constexpr std::size_t max_rounds_per_item =
    membership::max_transmissions / membership::gossip_fanout;
constexpr std::size_t max_rounds_with_backlog =
    membership::max_transmissions_with_backlog / membership::gossip_fanout;
constexpr duration time_limit = std::chrono::minutes(10);

struct model_node
{
    std::vector<bool> knows;
    // Items by the number of rounds in which the node has sent them.
    std::array<std::vector<std::uint32_t>, max_rounds_per_item> items_by_rounds;
    double allowance_bytes = membership::gossip_burst_bytes;
};

struct delivery
{
    std::size_t receiver = 0;
    std::uint32_t item = 0;
};

class gossip_model
{
public:
    explicit gossip_model(gossip_model_setup const& model_setup)
        : setup(model_setup), random(model_setup.seed), nodes(model_setup.nodes)
    {
        for (model_node& node : this->nodes)
        {
            node.knows.assign(model_setup.items, false);
        }
        for (std::uint32_t item = 0; item < model_setup.items; ++item)
        {
            this->learn({item % model_setup.nodes, item});
        }
    }

    gossip_figures run()
    {
        gossip_figures figures;
        duration const interval = membership::options{}.gossip_interval;
        duration passed{};
        double const pairs = static_cast<double>(this->setup.nodes) *
                             static_cast<double>(this->setup.items);
        while (this->is_active && passed < time_limit)
        {
            passed += interval;
            if (this->run_round(interval))
            {
                figures.until_last = passed;
            }
            if (static_cast<double>(this->known) >= pairs * 0.99 &&
                figures.until_99_percent == duration{})
            {
                figures.until_99_percent = passed;
            }
        }
        figures.missed_fraction =
            1.0 - static_cast<double>(this->known) / pairs;
        figures.mean_copies = static_cast<double>(this->copies) / pairs;
        return figures;
    }

private:
    bool learn(delivery const& received)
    {
        model_node& node = this->nodes[received.receiver];
        if (node.knows[received.item])
        {
            return false;
        }
        node.knows[received.item] = true;
        node.items_by_rounds[0].push_back(received.item);
        this->known += 1;
        return true;
    }

    // Runs one gossip round at every node; returns true if any node learned an
    // item.
    bool run_round(duration interval)
    {
        this->is_active = false;
        std::vector<delivery> sent;
        for (model_node& node : this->nodes)
        {
            this->send_round(node, interval, sent);
        }
        bool any_learned = false;
        for (delivery const& received : sent)
        {
            any_learned = this->learn(received) || any_learned;
        }
        return any_learned;
    }

    void
    send_round(model_node& node, duration interval, std::vector<delivery>& sent)
    {
        double const seconds = std::chrono::duration<double>(interval).count();
        node.allowance_bytes =
            std::min(membership::gossip_burst_bytes,
                     node.allowance_bytes +
                         seconds * membership::gossip_bytes_per_second);
        double const item_cost_bytes =
            membership::estimated_record_bytes * membership::gossip_fanout;
        auto item_budget = std::min<std::size_t>(
            membership::max_gossip_items,
            static_cast<std::size_t>(node.allowance_bytes / item_cost_bytes));
        std::array<std::size_t, membership::gossip_fanout> targets{};
        for (std::size_t& target : targets)
        {
            target = draw_below(this->random, this->nodes.size());
        }
        std::size_t active = 0;
        for (std::vector<std::uint32_t> const& items : node.items_by_rounds)
        {
            active += items.size();
        }
        std::size_t const round_limit = active > membership::max_gossip_items
                                            ? max_rounds_with_backlog
                                            : max_rounds_per_item;
        std::vector<std::pair<std::size_t, std::uint32_t>> passed_on;
        for (std::size_t rounds = 0; rounds < max_rounds_per_item; ++rounds)
        {
            std::vector<std::uint32_t>& items = node.items_by_rounds[rounds];
            while (item_budget > 0 && !items.empty())
            {
                std::size_t const chosen =
                    draw_below(this->random, items.size());
                std::uint32_t const item = items[chosen];
                items[chosen] = items.back();
                items.pop_back();
                passed_on.emplace_back(rounds + 1, item);
                item_budget -= 1;
                node.allowance_bytes -= item_cost_bytes;
                this->send_item(item, targets, sent);
            }
            this->is_active = this->is_active || !items.empty();
        }
        for (auto const& [rounds, item] : passed_on)
        {
            if (rounds < round_limit)
            {
                node.items_by_rounds[rounds].push_back(item);
                this->is_active = true;
            }
        }
    }

    void
    send_item(std::uint32_t item,
              std::array<std::size_t, membership::gossip_fanout> const& targets,
              std::vector<delivery>& sent)
    {
        for (std::size_t const target : targets)
        {
            this->copies += 1;
            if (this->setup.loss == 0 ||
                draw_fraction(this->random) >= this->setup.loss)
            {
                sent.push_back({target, item});
            }
        }
    }

    gossip_model_setup setup;
    random_source random;
    std::vector<model_node> nodes;
    std::uint64_t known = 0;
    std::uint64_t copies = 0;
    bool is_active = true;
};

} // namespace

gossip_figures run_gossip_model(gossip_model_setup const& setup)
{
    return gossip_model(setup).run();
}

} // namespace plantaintally::measure
