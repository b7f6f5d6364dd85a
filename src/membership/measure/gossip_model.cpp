#include "membership/measure/gossip_model.hpp"

#include "base/random.hpp"
#include "membership/internal/news.hpp"
#include "membership/state.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace plantaintally::measure
{

namespace
{

constexpr std::size_t rounds_per_item =
    membership::max_transmissions / membership::gossip_fanout;
constexpr std::size_t crowded_rounds =
    membership::crowded_transmissions / membership::gossip_fanout;
constexpr duration time_limit = std::chrono::minutes(10);

struct model_node
{
    std::vector<bool> knows;
    // Items that were passed on in this many rounds.
    std::array<std::vector<std::uint32_t>, rounds_per_item> by_rounds;
    double allowance = membership::gossip_burst_bytes;
};

struct delivery
{
    std::size_t receiver = 0;
    std::uint32_t item = 0;
};

class gossip_model
{
public:
    explicit gossip_model(gossip_setting const& setting)
        : used(setting), random(setting.seed), nodes(setting.nodes)
    {
        for (model_node& node : this->nodes)
        {
            node.knows.assign(setting.items, false);
        }
        for (std::uint32_t item = 0; item < setting.items; ++item)
        {
            this->learn({item % setting.nodes, item});
        }
    }

    gossip_figures run()
    {
        gossip_figures figures;
        duration const interval = membership::options{}.gossip_interval;
        duration passed{};
        double const pairs = static_cast<double>(this->used.nodes) *
                             static_cast<double>(this->used.items);
        while (this->is_active && passed < time_limit)
        {
            passed += interval;
            if (this->run_round(interval))
            {
                figures.last = passed;
            }
            if (static_cast<double>(this->known) >= pairs * 0.99 &&
                figures.most == duration{})
            {
                figures.most = passed;
            }
        }
        figures.missed_share = 1.0 - static_cast<double>(this->known) / pairs;
        figures.copies = static_cast<double>(this->copies) / pairs;
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
        node.by_rounds[0].push_back(received.item);
        this->known += 1;
        return true;
    }

    // One round of every node; true if any node has learned something.
    bool run_round(duration interval)
    {
        this->is_active = false;
        std::vector<delivery> sent;
        for (model_node& node : this->nodes)
        {
            this->send_round(node, interval, sent);
        }
        bool is_new = false;
        for (delivery const& received : sent)
        {
            is_new = this->learn(received) || is_new;
        }
        return is_new;
    }

    void
    send_round(model_node& node, duration interval, std::vector<delivery>& sent)
    {
        double const seconds = std::chrono::duration<double>(interval).count();
        node.allowance = std::min(
            membership::gossip_burst_bytes,
            node.allowance + seconds * membership::gossip_bytes_per_second);
        double const item_cost =
            membership::record_bytes * membership::gossip_fanout;
        auto budget = std::min<std::size_t>(
            membership::max_gossip_items,
            static_cast<std::size_t>(node.allowance / item_cost));
        std::array<std::size_t, membership::gossip_fanout> targets{};
        for (std::size_t& target : targets)
        {
            target = draw_below(this->random, this->nodes.size());
        }
        std::size_t active = 0;
        for (std::vector<std::uint32_t> const& items : node.by_rounds)
        {
            active += items.size();
        }
        std::size_t const enough = active > membership::max_gossip_items
                                       ? crowded_rounds
                                       : rounds_per_item;
        std::vector<std::pair<std::size_t, std::uint32_t>> moved;
        for (std::size_t rounds = 0; rounds < rounds_per_item; ++rounds)
        {
            std::vector<std::uint32_t>& items = node.by_rounds[rounds];
            while (budget > 0 && !items.empty())
            {
                std::size_t const chosen =
                    draw_below(this->random, items.size());
                std::uint32_t const item = items[chosen];
                items[chosen] = items.back();
                items.pop_back();
                moved.emplace_back(rounds + 1, item);
                budget -= 1;
                node.allowance -= item_cost;
                this->send_item(item, targets, sent);
            }
            this->is_active = this->is_active || !items.empty();
        }
        for (auto const& [rounds, item] : moved)
        {
            if (rounds < enough)
            {
                node.by_rounds[rounds].push_back(item);
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
            if (this->used.loss == 0 ||
                draw_fraction(this->random) >= this->used.loss)
            {
                sent.push_back({target, item});
            }
        }
    }

    gossip_setting used;
    random_source random;
    std::vector<model_node> nodes;
    std::uint64_t known = 0;
    std::uint64_t copies = 0;
    bool is_active = true;
};

} // namespace

gossip_figures run_gossip_model(gossip_setting const& used)
{
    return gossip_model(used).run();
}

} // namespace plantaintally::measure
