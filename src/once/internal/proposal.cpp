#include "once/internal/proposal.hpp"

#include "once/internal/epoch_book.hpp"
#include "once/internal/epoch_json.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

// The members of a cell propose one after another at this interval, so that a
// later one does so only if the earlier ones have failed to.
constexpr duration candidate_interval = std::chrono::seconds(2);
constexpr double proposal_jitter = 0.2;
// How often peers are asked for a newer document before the store is read.
constexpr std::uint32_t max_peer_fetches = 3;
constexpr duration fetch_interval = std::chrono::milliseconds(400);
constexpr duration store_backoff = std::chrono::seconds(1);
constexpr std::uint32_t max_backoff_factor = 16;
// Number of lost vouchers that does not yet cause a new epoch.
constexpr std::size_t tolerated_lost_vouchers = 1;

bool has_enough_vouchers(epoch const& newest,
                         std::vector<node_id> const& desired)
{
    auto const is_desired = [&desired](node_id const& voucher)
    {
        return std::ranges::find(desired, voucher) != desired.end();
    };
    auto const remaining = static_cast<std::size_t>(
        std::ranges::count_if(newest.vouchers, is_desired));
    if (desired.size() < voucher_count ||
        newest.vouchers.size() < voucher_count)
    {
        return newest.vouchers == desired;
    }
    return remaining + tolerated_lost_vouchers >= newest.vouchers.size();
}

bool is_change_needed(cell_state const& cell)
{
    if (cell.desired_members.empty() || cell.desired_vouchers.empty())
    {
        return false;
    }
    epoch_progress const* newest = newest_epoch(cell);
    return newest == nullptr ||
           newest->content.members != cell.desired_members ||
           !has_enough_vouchers(newest->content, cell.desired_vouchers);
}

// Position of this node among the nodes that may propose, which are the desired
// members ordered by address; none if it is not one of them.
std::optional<std::size_t> candidate_position(state const& once,
                                              cell_state const& cell)
{
    auto const found =
        std::ranges::find(cell.desired_members, once.startup_options.self);
    if (found == cell.desired_members.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - cell.desired_members.begin());
}

// The document to propose: the epochs that are not retired, and a new one with
// the desired members and vouchers. An epoch is retired once a later one is
// open here.
epoch_document build_document(cell_state const& cell)
{
    epoch_document built;
    std::uint64_t number = 0;
    for (epoch_progress const& known : cell.epochs)
    {
        if (known.opened_at)
        {
            built.epochs.clear();
        }
        built.epochs.push_back(known.content);
        number = known.content.number;
    }
    built.epochs.push_back(
        {number + 1, cell.desired_members, cell.desired_vouchers});
    return built;
}

void start_store_call(state const& once,
                      cell_state& cell,
                      store_request request,
                      step& current)
{
    cell.store_call = current.ids.next<store_call_id>();
    current.out.push_back(call_store{cell.store_call,
                                     store_client::once,
                                     std::move(request),
                                     once.startup_options.store_timeout});
}

std::string store_key(cell_state const& cell)
{
    return "once/" + cell.name;
}

void read_store(state const& once, cell_state& cell, step& current)
{
    cell.fetch_at.reset();
    cell.proposed_document.clear();
    start_store_call(once, cell, store_get{store_key(cell)}, current);
}

void propose(state const& once, cell_state& cell, step& current)
{
    epoch_document const built = build_document(cell);
    cell.propose_not_before =
        current.now.monotonic + once.startup_options.min_proposal_interval;
    cell.propose_at = cell.propose_not_before;
    if (built.epochs.size() > max_listed_epochs)
    {
        return;
    }
    cell.proposed_document = encode_epochs(built);
    record(current,
           {},
           "once",
           "epoch-proposed",
           "cell=" + cell.name +
               " epoch=" + std::to_string(built.epochs.back().number));
    start_store_call(
        once,
        cell,
        store_compare_and_set{
            store_key(cell), cell.revision, cell.proposed_document, {}},
        current);
}

std::vector<std::string> peers_of(state const& once, cell_state const& cell)
{
    std::set<std::string> addresses;
    for (node_id const& member : cell.desired_members)
    {
        addresses.insert(member.address);
    }
    for (epoch_progress const& known : cell.epochs)
    {
        for (node_id const& member : known.content.members)
        {
            addresses.insert(member.address);
        }
    }
    addresses.erase(once.startup_options.self.address);
    return {addresses.begin(), addresses.end()};
}

void fetch_document(state const& once, cell_state& cell, step& current)
{
    std::vector<std::string> const peers = peers_of(once, cell);
    if (peers.empty() || cell.peer_fetch_count >= max_peer_fetches)
    {
        read_store(once, cell, current);
        return;
    }
    ++cell.peer_fetch_count;
    cell.fetch_at =
        current.now.monotonic +
        draw_jittered(current.random, fetch_interval, proposal_jitter);
    std::string const& peer = peers[draw_below(current.random, peers.size())];
    current.out.push_back(
        send_control{peer, message(epoch_question{cell.name, cell.revision})});
}

// Schedules the next read of the store after a failed call. A write without a
// reply may have taken effect; the read shows whether it has.
void back_off(cell_state& cell, step& current)
{
    std::uint32_t const factor =
        std::min(1U << std::min(cell.store_failures, 4U), max_backoff_factor);
    ++cell.store_failures;
    cell.proposed_document.clear();
    cell.peer_fetch_count = max_peer_fetches;
    cell.fetch_at =
        current.now.monotonic +
        draw_jittered(current.random, factor * store_backoff, proposal_jitter);
    if (cell.propose_at)
    {
        cell.propose_at = std::max(*cell.propose_at, *cell.fetch_at);
    }
}

void announce_document(state const& once, cell_state const& cell, step& current)
{
    epoch_news const news{cell.name, cell.revision, cell.document};
    for (std::string const& peer : peers_of(once, cell))
    {
        current.out.push_back(send_control{peer, message(news)});
    }
}

struct result_visitor
{
    state& once;
    cell_state& cell;
    step& current;

    void operator()(store_entry const& entry) const
    {
        learn_epoch(
            this->once, this->cell, entry.revision, entry.value, this->current);
        this->cell.store_failures = 0;
        plan_proposal(this->once, this->cell, this->current);
    }

    void operator()(store_missing const& /*missing*/) const
    {
        this->cell.store_failures = 0;
        bool const is_proposal_due =
            this->cell.propose_at &&
            *this->cell.propose_at <= this->current.now.monotonic;
        if (this->cell.revision == 0 && is_proposal_due)
        {
            propose(this->once, this->cell, this->current);
        }
    }

    void operator()(store_written const& written) const
    {
        std::string const text = this->cell.proposed_document;
        this->cell.store_failures = 0;
        learn_epoch(
            this->once, this->cell, written.revision, text, this->current);
        plan_proposal(this->once, this->cell, this->current);
        announce_document(this->once, this->cell, this->current);
    }

    void operator()(store_conflict const& /*conflict*/) const
    {
        read_store(this->once, this->cell, this->current);
    }

    void operator()(store_unavailable const& /*unavailable*/) const
    {
        back_off(this->cell, this->current);
    }

    // Results that this module's calls never have; handled as failures.
    template <class Other>
    void operator()(Other const& /*other*/) const
    {
        back_off(this->cell, this->current);
    }
};

} // namespace

void plan_proposal(state const& once, cell_state& cell, step& current)
{
    std::optional<std::size_t> const position = candidate_position(once, cell);
    if (!position || !is_change_needed(cell))
    {
        cell.propose_at.reset();
        return;
    }
    duration const delay =
        once.startup_options.proposal_delay +
        static_cast<std::int64_t>(*position) * candidate_interval;
    instant const due = current.now.monotonic +
                        draw_jittered(current.random, delay, proposal_jitter);
    cell.propose_at = std::max(due, cell.propose_not_before);
}

void set_desired_nodes(state& once,
                       cell_state& cell,
                       std::vector<node_id> members,
                       std::vector<node_id> vouchers,
                       step& current)
{
    bool const is_same =
        cell.desired_members == members && cell.desired_vouchers == vouchers;
    cell.desired_members = std::move(members);
    cell.desired_vouchers = std::move(vouchers);
    if (!is_same || !is_change_needed(cell))
    {
        plan_proposal(once, cell, current);
    }
    bool const is_desired_member = candidate_position(once, cell).has_value();
    if (cell.revision == 0 && is_desired_member && !cell.fetch_at &&
        cell.store_call.value == 0)
    {
        cell.fetch_at = current.now.monotonic;
    }
}

void continue_proposal(state& once, cell_state& cell, step& current)
{
    if (cell.store_call.value != 0)
    {
        return;
    }
    instant const now = current.now.monotonic;
    if (cell.propose_at && !is_change_needed(cell))
    {
        cell.propose_at.reset();
    }
    bool const is_proposal_due = cell.propose_at && *cell.propose_at <= now;
    if (is_proposal_due && cell.revision == 0)
    {
        read_store(once, cell, current);
        return;
    }
    if (is_proposal_due)
    {
        propose(once, cell, current);
        return;
    }
    if (cell.fetch_at && *cell.fetch_at <= now)
    {
        fetch_document(once, cell, current);
    }
}

void handle_store_result(state& once,
                         cell_state& cell,
                         store_result const& result,
                         step& current)
{
    cell.store_call = {};
    std::visit(result_visitor{once, cell, current}, result);
}

} // namespace plantaintally::once
