#include "configuration/internal/relay.hpp"

#include "configuration/configuration.hpp"
#include "configuration/internal/in_force.hpp"
#include "configuration/internal/store_calls.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace plantaintally::configuration
{

namespace
{

constexpr std::size_t relays_per_zone = 2;
constexpr duration lease_lifetime = std::chrono::seconds(10);
constexpr duration renewal_interval = std::chrono::seconds(3);
// How long the store holds a poll open. With a short limit, the next poll
// already names a revision that has arrived by gossip, so that the document is
// fetched only if gossip has missed it.
constexpr duration poll_watch_limit = std::chrono::milliseconds(50);
constexpr duration max_poll_interval = std::chrono::seconds(10);
// A node first looks for a free slot at a random time within this window after
// its start, and after a failure again with exponential backoff.
constexpr duration first_candidacy_window = std::chrono::seconds(5);
constexpr duration min_candidacy_delay = std::chrono::seconds(30);
constexpr duration max_candidacy_delay = std::chrono::minutes(5);
// If the store has not confirmed the revision for this long, all relays are
// presumed lost, and the node looks for a free slot within the shorter window.
constexpr duration relays_lost_age = std::chrono::seconds(10);
constexpr duration relays_lost_window = std::chrono::seconds(60);
constexpr double period_jitter = 0.2;
constexpr double candidacy_jitter = 0.5;

std::string slot_key(state const& configuration, std::size_t slot)
{
    return "plantaintally/relays/" + configuration.availability_zone + "/" +
           std::to_string(slot);
}

void retry_candidacy(state& configuration, step& current)
{
    relay& own = configuration.own_relay;
    own.candidacy_delay = std::clamp(
        own.candidacy_delay * 2, min_candidacy_delay, max_candidacy_delay);
    own.next_candidacy =
        current.now.monotonic +
        draw_jittered(current.random, own.candidacy_delay, candidacy_jitter);
}

// Brings the next candidacy forward if all relays are presumed lost.
void expedite_candidacy(state& configuration, step& current)
{
    relay& own = configuration.own_relay;
    instant const now = current.now.monotonic;
    std::optional<duration> const age = confirmed_age(configuration, now);
    bool const is_lost = !age || *age >= relays_lost_age;
    if (is_lost && own.next_candidacy - now > relays_lost_window)
    {
        own.next_candidacy =
            now + std::chrono::duration_cast<duration>(
                      relays_lost_window * draw_fraction(current.random));
    }
}

void begin_candidacy(state& configuration, step& current)
{
    relay& own = configuration.own_relay;
    own.slot_key =
        slot_key(configuration, draw_below(current.random, relays_per_zone));
    own.is_call_in_flight = true;
    begin_call(configuration,
               store_purpose::read_relay_slot,
               store_get{own.slot_key},
               current);
}

void become_relay(state& configuration, step& current)
{
    relay& own = configuration.own_relay;
    instant const now = current.now.monotonic;
    own.is_slot_held = true;
    own.candidacy_delay = {};
    own.next_poll = now;
    own.next_renewal =
        now + draw_jittered(current.random, renewal_interval, period_jitter);
    record(current, "", "configuration", "relay-begun", "slot=" + own.slot_key);
}

void handle_slot_read_result(state& configuration,
                             store_result const& result,
                             step& current)
{
    if (!std::holds_alternative<store_missing>(result))
    {
        configuration.own_relay.is_call_in_flight = false;
        retry_candidacy(configuration, current);
        return;
    }
    begin_call(configuration,
               store_purpose::grant_lease,
               store_grant_lease{lease_lifetime},
               current);
}

void handle_lease_result(state& configuration,
                         store_result const& result,
                         step& current)
{
    relay& own = configuration.own_relay;
    auto const* lease = std::get_if<store_lease_held>(&result);
    if (lease == nullptr)
    {
        own.is_call_in_flight = false;
        retry_candidacy(configuration, current);
        return;
    }
    own.lease = lease->lease;
    store_compare_and_set write;
    write.key = own.slot_key;
    write.value = configuration.self.address;
    write.lease = own.lease;
    begin_call(configuration,
               store_purpose::write_relay_slot,
               std::move(write),
               current);
}

void handle_slot_write_result(state& configuration,
                              store_result const& result,
                              step& current)
{
    configuration.own_relay.is_call_in_flight = false;
    if (std::holds_alternative<store_written>(result))
    {
        become_relay(configuration, current);
        return;
    }
    retry_candidacy(configuration, current);
}

void handle_renewal_result(state& configuration,
                           store_result const& result,
                           step& current)
{
    if (std::holds_alternative<store_lease_lost>(result))
    {
        configuration.own_relay.is_slot_held = false;
        record(current, "", "configuration", "relay-ended", "lease=lapsed");
        retry_candidacy(configuration, current);
    }
}

void poll(state& configuration, step& current)
{
    relay& own = configuration.own_relay;
    duration const interval =
        configuration.is_store_down
            ? std::max(max_poll_interval, configuration.poll_interval)
            : configuration.poll_interval;
    own.next_poll = current.now.monotonic +
                    draw_jittered(current.random, interval, period_jitter);
    store_watch watch;
    watch.key = document_key;
    watch.after_revision = configuration.in_force.revision;
    watch.limit = poll_watch_limit;
    begin_call(
        configuration, store_purpose::poll_as_relay, std::move(watch), current);
}

} // namespace

void start_relay(state& configuration, step& current)
{
    configuration.own_relay.next_candidacy =
        current.now.monotonic +
        std::chrono::duration_cast<duration>(first_candidacy_window *
                                             draw_fraction(current.random));
}

void advance_relay(state& configuration, step& current)
{
    relay& own = configuration.own_relay;
    instant const now = current.now.monotonic;
    if (!own.is_slot_held)
    {
        expedite_candidacy(configuration, current);
        if (!own.is_call_in_flight && now >= own.next_candidacy)
        {
            begin_candidacy(configuration, current);
        }
        return;
    }
    if (now >= own.next_renewal)
    {
        own.next_renewal =
            now +
            draw_jittered(current.random, renewal_interval, period_jitter);
        begin_call(configuration,
                   store_purpose::renew_lease,
                   store_renew_lease{own.lease},
                   current);
    }
    if (now >= own.next_poll)
    {
        poll(configuration, current);
    }
}

std::optional<instant> relay_deadline(state const& configuration)
{
    relay const& own = configuration.own_relay;
    if (own.is_slot_held)
    {
        return std::min(own.next_poll, own.next_renewal);
    }
    if (own.is_call_in_flight)
    {
        return std::nullopt;
    }
    return own.next_candidacy;
}

void handle_relay_result(state& configuration,
                         store_purpose purpose,
                         store_result const& result,
                         step& current)
{
    switch (purpose)
    {
    case store_purpose::read_relay_slot:
        handle_slot_read_result(configuration, result, current);
        return;
    case store_purpose::grant_lease:
        handle_lease_result(configuration, result, current);
        return;
    case store_purpose::write_relay_slot:
        handle_slot_write_result(configuration, result, current);
        return;
    case store_purpose::renew_lease:
        handle_renewal_result(configuration, result, current);
        return;
    default:
        return;
    }
}

void handle_poll_result(state& configuration,
                        store_result const& result,
                        step& current)
{
    configuration.is_store_down =
        std::holds_alternative<store_unavailable>(result);
    if (auto const* entry = std::get_if<store_entry>(&result))
    {
        std::optional<document> content = decode_entry(*entry, current);
        if (content)
        {
            adopt_document(configuration, std::move(*content), current);
            note_store_confirmation(configuration, entry->revision, current);
        }
        return;
    }
    if (std::holds_alternative<store_unchanged>(result))
    {
        note_store_confirmation(
            configuration, configuration.in_force.revision, current);
    }
    if (std::holds_alternative<store_missing>(result))
    {
        note_store_confirmation(configuration, 0, current);
    }
}

} // namespace plantaintally::configuration
