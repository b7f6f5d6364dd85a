#include "routes/routes.hpp"

#include "base/hash.hpp"
#include "codec/route_table_codec.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::routes
{

namespace
{

// Maximum duration of one watch. It also bounds the time until a network
// partition that causes no connection error is detected.
constexpr duration watch_limit = std::chrono::seconds(20);
constexpr duration store_timeout = std::chrono::seconds(2);
// Delay between calls while the key-value store is unavailable.
constexpr duration min_retry_delay = std::chrono::milliseconds(200);
constexpr duration max_retry_delay = std::chrono::seconds(1);
constexpr double retry_jitter = 0.3;
// Interval of table requests to peers while no table is in force.
constexpr duration table_request_interval = std::chrono::milliseconds(250);
// Approximate number of nodes that watch the key-value store. In a larger
// fleet the other nodes learn of changes from their peers, so that the number
// of calls on the store doesn't grow with the fleet.
constexpr std::size_t max_watchers = 16;
// A node to which no peer has stated its version for this long watches the
// key-value store itself. Peers state it in heartbeats, several times a second,
// but only to nodes that are in their view of the fleet.
constexpr duration peer_silence_limit = std::chrono::milliseconds(1500);
// Time after which another peer is asked for a version.
constexpr duration table_answer_timeout = std::chrono::milliseconds(200);

// Time for peers to send a newer version before it is read from the store.
constexpr duration peer_answer_limit = std::chrono::milliseconds(400);

void index_rules(state& routes)
{
    routes.rules_by_host.clear();
    auto const& rules = routes.in_force.rules;
    for (std::size_t index = 0; index < rules.size(); ++index)
    {
        routes.rules_by_host[rules[index].host].push_back(index);
    }
    for (auto& [host, indexes] : routes.rules_by_host)
    {
        std::ranges::stable_sort(
            indexes,
            [&](std::size_t left, std::size_t right)
            { return rules[left].prefix.size() > rules[right].prefix.size(); });
    }
    std::erase_if(routes.split_states,
                  [&](auto const& entry)
                  {
                      return std::ranges::none_of(
                          rules,
                          [&](route_rule const& rule)
                          { return rule.name == entry.first; });
                  });
}

void adopt_if_newer(state& routes,
                    route_table table,
                    std::string_view source,
                    step& current)
{
    if (routes.is_ready && table.version <= routes.in_force.version)
    {
        return;
    }
    std::uint64_t const before = routes.in_force.version;
    if (!routes.is_ready)
    {
        routes.is_ready = true;
        routes.peer_heard_at = current.now.monotonic;
    }
    routes.in_force = std::move(table);
    routes.missing_version_read.reset();
    routes.has_news = true;
    index_rules(routes);
    record(current,
           "",
           "routes",
           "in-force",
           "version=" + std::to_string(routes.in_force.version) +
               " before=" + std::to_string(before) +
               " rules=" + std::to_string(routes.in_force.rules.size()) +
               " by=" + std::string(source));
}

void handle_entry(state& routes, store_entry const& entry, step& current)
{
    auto decoded = codec::decode_route_table(entry.value);
    if (!decoded)
    {
        record(current,
               "",
               "routes",
               "unreadable-table",
               "revision=" + std::to_string(entry.revision) +
                   " kept_version=" + std::to_string(routes.in_force.version));
        return;
    }
    adopt_if_newer(routes, std::move(decoded.value()), "store", current);
}

void begin_call(state& routes,
                store_purpose purpose,
                store_request request,
                duration timeout,
                step& current)
{
    auto const call = current.ids.next<store_call_id>();
    routes.calls[call] = purpose;
    // A node that has a table does not wait longer than usual, so that it
    // learns of a new one soon after an outage.
    if (!routes.is_ready && purpose == store_purpose::read)
    {
        timeout = begin_patient_call(
            routes.patience, call, timeout, current.now.monotonic);
    }
    current.out.push_back(
        call_store{call, store_client::routes, std::move(request), timeout});
}

void read_store(state& routes, step& current)
{
    begin_call(routes,
               store_purpose::read,
               store_get{std::string(table_key)},
               store_timeout,
               current);
}

void watch_store(state& routes, step& current)
{
    begin_call(routes,
               store_purpose::watch,
               store_watch{std::string(table_key), *routes.cursor, watch_limit},
               watch_limit + store_timeout,
               current);
}

void handle_store_failure(state& routes, step& current)
{
    routes.retry_delay =
        std::clamp(routes.retry_delay * 2, min_retry_delay, max_retry_delay);
    routes.next_read =
        current.now.monotonic +
        draw_jittered(current.random, routes.retry_delay, retry_jitter);
    if (!routes.store_unreachable_since)
    {
        routes.store_unreachable_since = current.now.monotonic;
        record(current, "", "routes", "store-lost", {});
    }
}

void handle_store_success(state& routes, std::uint64_t cursor, step& current)
{
    routes.retry_delay = {};
    routes.next_read = current.now.monotonic;
    routes.cursor = std::max(routes.cursor.value_or(0), cursor);
    if (routes.store_unreachable_since)
    {
        auto const outage =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                current.now.monotonic - *routes.store_unreachable_since);
        routes.store_unreachable_since.reset();
        record(current,
               "",
               "routes",
               "store-regained",
               "lost_ms=" + std::to_string(outage.count()));
    }
}

// Handles the result of a read or a watch.
struct result_visitor
{
    state& routes;
    step& current;

    void operator()(store_entry const& entry) const
    {
        handle_entry(this->routes, entry, this->current);
        handle_store_success(this->routes,
                             std::max(entry.cursor, entry.revision),
                             this->current);
    }

    void operator()(store_missing const& missing) const
    {
        handle_store_success(this->routes, missing.cursor, this->current);
    }

    void operator()(store_unchanged const& unchanged) const
    {
        handle_store_success(this->routes, unchanged.cursor, this->current);
    }

    // Changes may have been missed, so the table is read again.
    void operator()(store_history_lost const&) const
    {
        this->routes.cursor.reset();
        this->routes.next_read = this->current.now.monotonic;
        record(this->current, "", "routes", "history-lost", {});
    }

    template <class Other>
    void operator()(Other const&) const
    {
        this->routes.cursor.reset();
        handle_store_failure(this->routes, this->current);
    }
};

// Returns true if this node watches the key-value store: it is one of those
// that do in a fleet of this size, or no peer informs it.
bool is_watcher(state const& routes, std::size_t member_count, instant now)
{
    if (!routes.is_ready || member_count <= max_watchers ||
        now - routes.peer_heard_at >= peer_silence_limit)
    {
        return true;
    }
    return stable_hash(routes.self.address) % member_count < max_watchers;
}

struct message_visitor
{
    state& routes;
    node_id const& sender;
    step& current;

    void operator()(table_question const& question) const
    {
        if (this->routes.is_ready &&
            this->routes.in_force.version > question.version)
        {
            this->current.out.push_back(
                send_control{this->sender.address,
                             message(table_update{this->routes.in_force})});
        }
    }

    void operator()(table_notice const& notice) const
    {
        note_peer_version(
            this->routes, this->sender.address, notice.version, this->current);
    }

    void operator()(table_update const& update) const
    {
        adopt_if_newer(this->routes, update.table, "peer", this->current);
    }
};

// Notifies some peers of a new version if there are nodes that don't watch the
// key-value store. Each of them notifies others in turn.
void send_news(state& routes,
               std::span<std::string const> peers,
               std::size_t member_count,
               step& current)
{
    bool const is_new = std::exchange(routes.has_news, false);
    if (!is_new || member_count <= max_watchers)
    {
        return;
    }
    for (std::string const& peer : peers)
    {
        current.out.push_back(
            send_control{peer, message(table_notice{routes.in_force.version})});
    }
}

} // namespace

void start(state& routes, step& current)
{
    if (!routes.is_enabled)
    {
        return;
    }
    routes.next_read = current.now.monotonic;
    routes.next_table_request = current.now.monotonic + table_request_interval;
}

void handle_store(state& routes,
                  store_call_id call,
                  store_result const& result,
                  step& current)
{
    note_call_result(routes.patience, call, result, current.now.monotonic);
    if (routes.calls.erase(call) > 0)
    {
        std::visit(result_visitor{routes, current}, result);
    }
}

void give_up_overtaken(state& routes, store_call_id answered, step& current)
{
    for (store_call_id const call :
         take_overtaken_calls(routes.patience, answered, current.now.monotonic))
    {
        handle_store(routes, call, store_unavailable{true}, current);
    }
}

void handle_store_restored(state& routes, step& current)
{
    routes.calls.clear();
    routes.cursor.reset();
    routes.next_read = current.now.monotonic;
}

void handle_message(state& routes,
                    node_id const& sender,
                    message const& received,
                    step& current)
{
    std::visit(message_visitor{routes, sender, current}, received);
}

void handle_time(state& routes,
                 std::span<std::string const> peers,
                 std::size_t member_count,
                 step& current)
{
    if (!routes.is_enabled)
    {
        return;
    }
    instant const now = current.now.monotonic;
    if (!routes.is_ready && now >= routes.next_table_request)
    {
        routes.next_table_request = now + table_request_interval;
        for (std::string const& peer : peers)
        {
            current.out.push_back(send_control{
                peer, message(table_question{routes.in_force.version})});
        }
    }
    send_news(routes, peers, member_count, current);
    if (routes.missing_version_read && now >= *routes.missing_version_read)
    {
        // Set again when a peer still states a newer version.
        routes.missing_version_read.reset();
        return read_store(routes, current);
    }
    if (!routes.calls.empty() || now < routes.next_read)
    {
        return;
    }
    if (!is_watcher(routes, member_count, now))
    {
        routes.next_read = routes.peer_heard_at + peer_silence_limit;
        return;
    }
    routes.cursor ? watch_store(routes, current) : read_store(routes, current);
}

void note_peer_version(state& routes,
                       std::string const& address,
                       std::uint64_t version,
                       step& current)
{
    instant const now = current.now.monotonic;
    routes.peer_heard_at = now;
    bool const is_requested = routes.requested_version >= version &&
                              now - routes.requested_at < table_answer_timeout;
    bool const is_missing =
        routes.is_enabled && version > routes.in_force.version;
    if (is_missing && !routes.missing_version_read)
    {
        routes.missing_version_read = now + peer_answer_limit;
    }
    if (is_missing && !is_requested)
    {
        routes.requested_version = version;
        routes.requested_at = now;
        current.out.push_back(send_control{
            address, message(table_question{routes.in_force.version})});
    }
}

std::optional<instant> next_wakeup(state const& routes)
{
    if (!routes.is_enabled)
    {
        return std::nullopt;
    }
    if (routes.has_news)
    {
        return instant{};
    }
    instant next = instant::max();
    if (routes.calls.empty())
    {
        next = routes.next_read;
    }
    if (!routes.is_ready)
    {
        next = std::min(next, routes.next_table_request);
    }
    return std::min(next, routes.missing_version_read.value_or(next));
}

} // namespace plantaintally::routes
