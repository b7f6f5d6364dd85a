#include "configuration/internal/initial_read.hpp"

#include "configuration/configuration.hpp"
#include "configuration/internal/gossip.hpp"
#include "configuration/internal/in_force.hpp"
#include "configuration/internal/store_calls.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::configuration
{

namespace
{

// Peers get this long to send the document before the store is read, so that
// the store seldom has to send it. The jitter keeps the nodes of a recovering
// availability zone from reading at the same moment.
constexpr duration first_read_delay = std::chrono::seconds(1);
constexpr double first_read_jitter = 0.8;
constexpr duration initial_watch_limit = std::chrono::milliseconds(50);
constexpr duration min_read_backoff = std::chrono::milliseconds(250);
constexpr duration max_read_backoff = std::chrono::seconds(5);
constexpr double read_jitter = 0.3;
// Time between two rounds of requests to peers.
constexpr duration catch_up_request_interval = std::chrono::milliseconds(250);
// Peers that must report their revision before this node becomes ready while
// the store is down.
constexpr std::size_t min_peer_answers = 3;

void become_ready(state& configuration, std::string_view source, step& current)
{
    configuration.is_ready = true;
    configuration.peer_revisions.clear();
    record(current,
           "",
           "configuration",
           "ready",
           "revision=" + std::to_string(configuration.in_force.revision) +
               " by=" + std::string(source));
}

// True if enough peers have reported their revisions and none of them is higher
// than the one in force here. Used while the store is down.
bool has_highest_peer_revision(state const& configuration,
                               std::size_t peer_count)
{
    std::size_t const required_answers = std::min(min_peer_answers, peer_count);
    if (required_answers == 0 ||
        configuration.peer_revisions.size() < required_answers)
    {
        return false;
    }
    std::uint64_t highest = 0;
    for (auto const& [address, revision] : configuration.peer_revisions)
    {
        highest = std::max(highest, revision);
    }
    return configuration.in_force.revision >= highest;
}

} // namespace

void start_initial_read(state& configuration, step& current)
{
    configuration.next_initial_read =
        current.now.monotonic +
        draw_jittered(current.random, first_read_delay, first_read_jitter);
    configuration.next_catch_up_request = current.now.monotonic;
}

void advance_initial_read(state& configuration,
                          std::span<std::string const> peers,
                          step& current)
{
    if (configuration.is_ready)
    {
        return;
    }
    if (configuration.is_store_down &&
        has_highest_peer_revision(configuration, peers.size()))
    {
        become_ready(configuration, "peers", current);
        return;
    }
    instant const now = current.now.monotonic;
    if (now >= configuration.next_catch_up_request)
    {
        configuration.next_catch_up_request =
            now + draw_jittered(
                      current.random, catch_up_request_interval, read_jitter);
        request_initial_catch_up(configuration, peers, current);
    }
    if (!configuration.is_initial_read_in_flight &&
        now >= configuration.next_initial_read)
    {
        configuration.is_initial_read_in_flight = true;
        store_watch watch;
        watch.key = document_key;
        watch.after_revision = configuration.in_force.revision;
        watch.limit = initial_watch_limit;
        begin_call(configuration,
                   store_purpose::read_at_start,
                   std::move(watch),
                   current);
    }
}

std::optional<instant> initial_read_deadline(state const& configuration)
{
    if (configuration.is_ready)
    {
        return std::nullopt;
    }
    if (configuration.is_initial_read_in_flight)
    {
        return configuration.next_catch_up_request;
    }
    return std::min(configuration.next_catch_up_request,
                    configuration.next_initial_read);
}

void handle_initial_read_result(state& configuration,
                                store_result const& result,
                                step& current)
{
    configuration.is_initial_read_in_flight = false;
    configuration.is_store_down =
        std::holds_alternative<store_unavailable>(result);
    instant const now = current.now.monotonic;
    if (configuration.is_store_down)
    {
        configuration.initial_read_backoff =
            std::clamp(configuration.initial_read_backoff * 2,
                       min_read_backoff,
                       max_read_backoff);
        configuration.next_initial_read =
            now + draw_jittered(current.random,
                                configuration.initial_read_backoff,
                                read_jitter);
        return;
    }
    if (auto const* entry = std::get_if<store_entry>(&result))
    {
        std::optional<document> content = decode_entry(*entry, current);
        if (!content)
        {
            configuration.next_initial_read = now + max_read_backoff;
            return;
        }
        adopt_document(configuration, std::move(*content), current);
    }
    note_store_confirmation(
        configuration, configuration.in_force.revision, current);
    become_ready(configuration, "store", current);
}

} // namespace plantaintally::configuration
