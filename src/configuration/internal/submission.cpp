#include "configuration/internal/submission.hpp"

#include "codec/document_codec.hpp"
#include "configuration/configuration.hpp"
#include "configuration/internal/change_rules.hpp"
#include "configuration/internal/in_force.hpp"
#include "configuration/internal/store_calls.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace plantaintally::configuration
{

namespace
{

// Time after which a change is answered, decided or not.
constexpr duration change_timeout = std::chrono::seconds(8);
// Time between two tries, at first and at most.
constexpr duration min_retry_delay = std::chrono::milliseconds(50);
constexpr duration max_retry_delay = std::chrono::seconds(1);
constexpr std::uint32_t max_retry_doublings = 5;
constexpr double retry_jitter = 0.5;
// Largest value that the platform's service holds.
constexpr std::size_t max_value_bytes = 1'000'000;

void respond(pending_change const& pending,
             std::string status,
             std::string message,
             step& current)
{
    record(current,
           "",
           "configuration",
           "change-answered",
           "status=" + status + " change=" + pending.requested.change_id);
    answer_operator reply;
    reply.command = pending.command;
    reply.status = std::move(status);
    reply.message = std::move(message);
    current.out.push_back(std::move(reply));
}

// Answers the oldest change and forgets it.
void answer(state& configuration,
            std::string status,
            std::string message,
            step& current)
{
    respond(configuration.pending.front(),
            std::move(status),
            std::move(message),
            current);
    configuration.pending.pop_front();
}

void answer_accepted(state& configuration,
                     std::uint64_t revision,
                     step& current)
{
    pending_change const pending = configuration.pending.front();
    answer(configuration,
           "ok",
           "accepted as revision " + std::to_string(revision),
           current);
    auto& reply = std::get<answer_operator>(current.out.back());
    reply.table.columns = {"change", "revision"};
    reply.table.rows = {
        {pending.requested.change_id, std::to_string(revision)}};
}

void begin_read(state& configuration, step& current)
{
    configuration.pending.front().is_call_in_flight = true;
    begin_call(configuration,
               store_purpose::read_for_change,
               store_get{std::string(document_key)},
               current);
}

void begin_write(state& configuration, document const& base, step& current)
{
    pending_change& pending = configuration.pending.front();
    std::string value = codec::encode_document(pending.written);
    if (value.size() > max_value_bytes)
    {
        answer(configuration,
               "refused",
               "not made: the configuration would be larger than " +
                   std::to_string(max_value_bytes) + " bytes",
               current);
        return;
    }
    pending.is_call_in_flight = true;
    store_compare_and_set write;
    write.key = document_key;
    write.expected_revision = base.revision;
    write.value = std::move(value);
    begin_call(
        configuration, store_purpose::write_change, std::move(write), current);
}

// Decides by the document in force what becomes of the oldest change: it is
// already made, must be refused, or is written. What speaks against it may be
// out of date, so it is refused only after a reading.
void decide(state& configuration, step& current)
{
    pending_change& pending = configuration.pending.front();
    document const& base = configuration.in_force;
    if (!pending.is_read_fresh && pending.base_revision > base.revision)
    {
        begin_read(configuration, current);
        return;
    }
    if (pending.base_revision > base.revision)
    {
        answer(configuration,
               "refused",
               "not made: there is no revision " +
                   std::to_string(pending.base_revision) +
                   " yet, the newest is " + std::to_string(base.revision),
               current);
        return;
    }
    result<void> const commutes = check_commutes(
        base, pending.base_revision, object_of(pending.requested.body));
    if (!commutes)
    {
        answer(configuration,
               "conflict",
               "not made: " + commutes.error().message,
               current);
        return;
    }
    result<document> successor = make_successor(base, pending.requested);
    if (!successor && !pending.is_read_fresh)
    {
        begin_read(configuration, current);
        return;
    }
    if (!successor)
    {
        answer(configuration,
               "refused",
               "not made: " + successor.error().message,
               current);
        return;
    }
    pending.written = std::move(successor.value());
    begin_write(configuration, base, current);
}

void give_up(pending_change const& pending, step& current)
{
    if (pending.is_in_doubt)
    {
        respond(pending,
                "unknown",
                "the platform's service gave no answer to the write; submit "
                "the same change again to find out",
                current);
        return;
    }
    respond(pending,
            "refused",
            "not made: the platform's service is not available",
            current);
}

void retry_later(state& configuration, step& current)
{
    pending_change& pending = configuration.pending.front();
    pending.is_read_fresh = false;
    pending.failures += 1;
    auto const factor =
        1U << std::min(pending.failures - 1, max_retry_doublings);
    duration const delay = std::min(min_retry_delay * factor, max_retry_delay);
    pending.next_try = current.now.monotonic +
                       draw_jittered(current.random, delay, retry_jitter);
}

// Takes one step of the oldest change; false if it has to wait.
bool take_step(state& configuration, step& current)
{
    pending_change& pending = configuration.pending.front();
    instant const now = current.now.monotonic;
    if (pending.is_call_in_flight)
    {
        return false;
    }
    if (change_record const* made =
            find_change(configuration.in_force, pending.requested.change_id))
    {
        answer_accepted(configuration, made->revision, current);
        return true;
    }
    if (now >= pending.give_up_at)
    {
        give_up(pending, current);
        configuration.pending.pop_front();
        return true;
    }
    if (now < pending.next_try)
    {
        return false;
    }
    bool const needs_reading = pending.failures > 0 && !pending.is_read_fresh;
    if (needs_reading)
    {
        begin_read(configuration, current);
        return false;
    }
    decide(configuration, current);
    return true;
}

void take_accepted(state& configuration, std::uint64_t revision, step& current)
{
    pending_change const& pending = configuration.pending.front();
    document written = pending.written;
    accepted_change accepted;
    accepted.base_revision = written.revision;
    accepted.revision = revision;
    accepted.requested = pending.requested;
    set_revision(written, revision);
    accepted.content_hash = hash_document(written);
    if (!adopt_change(configuration, accepted, current))
    {
        adopt_document(configuration, std::move(written), current);
    }
    note_confirmed(configuration, revision, current);
    answer_accepted(configuration, revision, current);
}

} // namespace

void submit_change(state& configuration,
                   command_id command,
                   change const& requested,
                   step& current)
{
    pending_change pending;
    pending.command = command;
    pending.requested = requested;
    pending.base_revision =
        requested.expected_revision.value_or(configuration.in_force.revision);
    pending.next_try = current.now.monotonic;
    pending.give_up_at = current.now.monotonic + change_timeout;
    if (!configuration.is_ready)
    {
        respond(pending,
                "refused",
                "not made: this node does not know the configuration yet",
                current);
        return;
    }
    configuration.pending.push_back(std::move(pending));
    advance_submission(configuration, current);
}

void advance_submission(state& configuration, step& current)
{
    while (!configuration.pending.empty() && take_step(configuration, current))
    {
    }
    // Changes that wait for the oldest one are answered in time too.
    for (std::size_t index = configuration.pending.size(); index > 1; --index)
    {
        auto const place = configuration.pending.begin() +
                           static_cast<std::ptrdiff_t>(index - 1);
        if (current.now.monotonic >= place->give_up_at)
        {
            give_up(*place, current);
            configuration.pending.erase(place);
        }
    }
}

std::optional<instant> submission_deadline(state const& configuration)
{
    std::optional<instant> next;
    auto const add = [&next](instant when)
    {
        next = next ? std::min(*next, when) : when;
    };
    for (std::size_t index = 0; index < configuration.pending.size(); ++index)
    {
        pending_change const& pending = configuration.pending[index];
        if (index > 0)
        {
            add(pending.give_up_at);
        }
        else if (!pending.is_call_in_flight)
        {
            add(std::min(pending.next_try, pending.give_up_at));
        }
    }
    return next;
}

void take_read_for_change(state& configuration,
                          store_result const& result,
                          step& current)
{
    if (configuration.pending.empty())
    {
        return;
    }
    pending_change& pending = configuration.pending.front();
    pending.is_call_in_flight = false;
    std::optional<document> content;
    if (auto const* entry = std::get_if<store_entry>(&result))
    {
        content = read_entry(*entry, current);
    }
    else if (std::holds_alternative<store_missing>(result))
    {
        content = default_document();
    }
    if (!content)
    {
        retry_later(configuration, current);
        advance_submission(configuration, current);
        return;
    }
    // A write against an older revision can't take effect any more.
    if (pending.is_in_doubt && content->revision > pending.written.revision)
    {
        pending.is_in_doubt = false;
    }
    pending.is_read_fresh = true;
    std::uint64_t const revision = content->revision;
    // Without a stated revision the newest one before any write is the base.
    if (!pending.requested.expected_revision && pending.failures == 0)
    {
        pending.base_revision = revision;
    }
    adopt_document(configuration, std::move(*content), current);
    note_confirmed(configuration, revision, current);
    advance_submission(configuration, current);
}

void take_written_change(state& configuration,
                         store_result const& result,
                         step& current)
{
    if (configuration.pending.empty())
    {
        return;
    }
    pending_change& pending = configuration.pending.front();
    pending.is_call_in_flight = false;
    if (auto const* written = std::get_if<store_written>(&result))
    {
        take_accepted(configuration, written->revision, current);
        advance_submission(configuration, current);
        return;
    }
    if (auto const* unavailable = std::get_if<store_unavailable>(&result))
    {
        pending.is_in_doubt = pending.is_in_doubt || unavailable->may_be_done;
    }
    retry_later(configuration, current);
    advance_submission(configuration, current);
}

} // namespace plantaintally::configuration
