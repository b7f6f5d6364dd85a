#include "configuration/internal/first_reading.hpp"

#include "configuration/configuration.hpp"
#include "configuration/internal/in_force.hpp"
#include "configuration/internal/spread.hpp"
#include "configuration/internal/store_calls.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::configuration
{

namespace
{

// Peers get this long to send the document before the platform's service is
// read, so that it seldom has to send it. The jitter keeps the nodes of an
// availability zone that comes back from reading all at once.
constexpr duration first_read_delay = std::chrono::seconds(1);
constexpr double first_read_jitter = 0.8;
constexpr duration read_hold = std::chrono::milliseconds(50);
constexpr duration min_read_delay = std::chrono::milliseconds(250);
constexpr duration max_read_delay = std::chrono::seconds(5);
constexpr double read_jitter = 0.3;
// Time between two rounds of questions to peers.
constexpr duration question_interval = std::chrono::milliseconds(250);
// Peers that must have told their revision while the service is down.
constexpr std::size_t needed_answers = 3;

void become_ready(state& configuration, std::string_view source, step& current)
{
    configuration.is_ready = true;
    configuration.told_revisions.clear();
    record(current,
           "",
           "configuration",
           "ready",
           "revision=" + std::to_string(configuration.in_force.revision) +
               " by=" + std::string(source));
}

// Without the platform's service: enough peers have told their revisions, and
// the highest of them is in force here.
bool is_known_from_peers(state const& configuration, std::size_t peer_count)
{
    std::size_t const needed = std::min(needed_answers, peer_count);
    if (needed == 0 || configuration.told_revisions.size() < needed)
    {
        return false;
    }
    std::uint64_t highest = 0;
    for (auto const& [address, revision] : configuration.told_revisions)
    {
        highest = std::max(highest, revision);
    }
    return configuration.in_force.revision >= highest;
}

} // namespace

void start_reading(state& configuration, step& current)
{
    configuration.next_read =
        current.now.monotonic +
        draw_jittered(current.random, first_read_delay, first_read_jitter);
    configuration.next_question = current.now.monotonic;
}

void advance_reading(state& configuration,
                     std::span<std::string const> peers,
                     step& current)
{
    if (configuration.is_ready)
    {
        return;
    }
    if (configuration.is_store_down &&
        is_known_from_peers(configuration, peers.size()))
    {
        become_ready(configuration, "peers", current);
        return;
    }
    instant const now = current.now.monotonic;
    if (now >= configuration.next_question)
    {
        configuration.next_question =
            now + draw_jittered(current.random, question_interval, read_jitter);
        ask_at_start(configuration, peers, current);
    }
    if (!configuration.is_reading && now >= configuration.next_read)
    {
        configuration.is_reading = true;
        store_watch watch;
        watch.key = document_key;
        watch.after_revision = configuration.in_force.revision;
        watch.limit = read_hold;
        begin_call(configuration,
                   store_purpose::read_at_start,
                   std::move(watch),
                   current);
    }
}

std::optional<instant> reading_deadline(state const& configuration)
{
    if (configuration.is_ready)
    {
        return std::nullopt;
    }
    if (configuration.is_reading)
    {
        return configuration.next_question;
    }
    return std::min(configuration.next_question, configuration.next_read);
}

void take_reading(state& configuration,
                  store_result const& result,
                  step& current)
{
    configuration.is_reading = false;
    configuration.is_store_down =
        std::holds_alternative<store_unavailable>(result);
    instant const now = current.now.monotonic;
    if (configuration.is_store_down)
    {
        configuration.read_delay = std::clamp(
            configuration.read_delay * 2, min_read_delay, max_read_delay);
        configuration.next_read = now + draw_jittered(current.random,
                                                      configuration.read_delay,
                                                      read_jitter);
        return;
    }
    if (auto const* entry = std::get_if<store_entry>(&result))
    {
        std::optional<document> content = read_entry(*entry, current);
        if (!content)
        {
            configuration.next_read = now + max_read_delay;
            return;
        }
        adopt_document(configuration, std::move(*content), current);
    }
    note_confirmed(configuration, configuration.in_force.revision, current);
    become_ready(configuration, "store", current);
}

} // namespace plantaintally::configuration
