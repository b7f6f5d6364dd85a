#include "configuration/internal/in_force.hpp"

#include "codec/document_codec.hpp"
#include "configuration/configuration.hpp"
#include "configuration/internal/change_rules.hpp"
#include "configuration/internal/gossip.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::configuration
{

namespace
{

// Accepted changes kept for nodes that lag behind.
constexpr std::size_t max_recent_changes = 128;
// A confirmation is ignored if its wall-clock time is further in the future.
constexpr duration max_clock_lead = std::chrono::minutes(1);

void record_adoption(state& configuration,
                     std::string_view source,
                     step& current)
{
    record(current,
           "",
           "configuration",
           "in-force",
           "revision=" + std::to_string(configuration.in_force.revision) +
               " by=" + std::string(source));
}

} // namespace

bool adopt_document(state& configuration, document content, step& current)
{
    if (content.revision <= configuration.in_force.revision)
    {
        return false;
    }
    configuration.in_force = std::move(content);
    record_adoption(configuration, "document", current);
    start_gossip(configuration, configuration.in_force.revision, current);
    return true;
}

bool adopt_change(state& configuration,
                  accepted_change const& accepted,
                  step& current)
{
    std::uint64_t const base = configuration.in_force.revision;
    if (accepted.base_revision != base || accepted.revision <= base)
    {
        return false;
    }
    result<document> successor =
        make_successor(configuration.in_force, accepted.requested);
    if (!successor)
    {
        return false;
    }
    set_revision(successor.value(), accepted.revision);
    if (hash_document(successor.value()) != accepted.content_hash)
    {
        return false;
    }
    configuration.in_force = std::move(successor.value());
    configuration.recent_changes.push_back(accepted);
    if (configuration.recent_changes.size() > max_recent_changes)
    {
        configuration.recent_changes.pop_front();
    }
    record_adoption(configuration, "change", current);
    start_gossip(configuration, base, current);
    return true;
}

change_batch changes_since(state const& configuration,
                           std::uint64_t base_revision)
{
    change_batch batch;
    std::uint64_t next_base = base_revision;
    for (accepted_change const& accepted : configuration.recent_changes)
    {
        if (accepted.base_revision == next_base)
        {
            batch.changes.push_back(accepted);
            next_base = accepted.revision;
        }
    }
    if (next_base != configuration.in_force.revision)
    {
        batch.changes.clear();
    }
    return batch;
}

void note_store_confirmation(state& configuration,
                             std::uint64_t revision,
                             step& current)
{
    if (revision == configuration.in_force.revision)
    {
        configuration.confirmed_at = current.now.monotonic;
        configuration.confirmed_stamp =
            std::max(configuration.confirmed_stamp, current.now.wall);
    }
}

void note_peer_confirmation(state& configuration,
                            revision_digest const& digest,
                            step& current)
{
    bool const is_plausible =
        digest.confirmed_stamp <= current.now.wall + max_clock_lead;
    bool const is_newer =
        digest.confirmed_age != duration::max() &&
        digest.confirmed_stamp > configuration.confirmed_stamp;
    if (!is_plausible || !is_newer ||
        digest.revision != configuration.in_force.revision)
    {
        return;
    }
    instant const peer_confirmed_at =
        current.now.monotonic - digest.confirmed_age;
    configuration.confirmed_stamp = digest.confirmed_stamp;
    if (!configuration.confirmed_at ||
        *configuration.confirmed_at < peer_confirmed_at)
    {
        configuration.confirmed_at = peer_confirmed_at;
    }
}

std::optional<document> decode_entry(store_entry const& entry, step& current)
{
    result<document> decoded = codec::decode_document(entry.value);
    if (!decoded)
    {
        record(current,
               "",
               "configuration",
               "unreadable-document",
               "revision=" + std::to_string(entry.revision));
        return std::nullopt;
    }
    document content = std::move(decoded.value());
    set_revision(content, entry.revision);
    return content;
}

} // namespace plantaintally::configuration
