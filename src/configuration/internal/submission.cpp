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

// A change is answered after this time, even if its outcome is not known.
constexpr duration change_timeout = std::chrono::seconds(8);
// Exponential backoff between two attempts.
constexpr duration min_retry_delay = std::chrono::milliseconds(50);
constexpr duration max_retry_delay = std::chrono::seconds(1);
constexpr std::uint32_t max_retry_doublings = 5;
constexpr double retry_jitter = 0.5;
// Largest value that the platform's key-value store accepts.
constexpr std::size_t max_value_bytes = 1'000'000;

void answer_change(pending_change const& pending,
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

// Answers the oldest change and removes it.
void answer_oldest_change(state& configuration,
                          std::string status,
                          std::string message,
                          step& current)
{
    answer_change(configuration.pending.front(),
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
    answer_oldest_change(configuration,
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
    std::string value = codec::encode_document(pending.proposed);
    if (value.size() > max_value_bytes)
    {
        answer_oldest_change(
            configuration,
            "refused",
            "not applied: the configuration would be larger than " +
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

// Writes the oldest change, or answers why it is refused or in conflict. The
// document in force may be out of date, so a change that is not valid for it is
// refused only after the document has been read from the store.
void write_or_refuse(state& configuration, step& current)
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
        answer_oldest_change(configuration,
                             "refused",
                             "not applied: revision " +
                                 std::to_string(pending.base_revision) +
                                 " does not exist yet; the newest is " +
                                 std::to_string(base.revision),
                             current);
        return;
    }
    result<void> const commutes = check_commutes(
        base, pending.base_revision, object_of(pending.requested.body));
    if (!commutes)
    {
        answer_oldest_change(configuration,
                             "conflict",
                             "not applied: " + commutes.error().message,
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
        answer_oldest_change(configuration,
                             "refused",
                             "not applied: " + successor.error().message,
                             current);
        return;
    }
    pending.proposed = std::move(successor.value());
    begin_write(configuration, base, current);
}

void answer_timed_out(pending_change const& pending, step& current)
{
    if (pending.is_in_doubt)
    {
        answer_change(
            pending,
            "unknown",
            "the platform's key-value store did not answer the write, "
            "which may have taken effect; submit the same change again "
            "to find out",
            current);
        return;
    }
    answer_change(pending,
                  "refused",
                  "not applied: the platform's key-value store is unavailable",
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
    pending.next_attempt = current.now.monotonic +
                           draw_jittered(current.random, delay, retry_jitter);
}

// Advances the oldest change; returns false if it waits for the store or for
// its next attempt.
bool advance_oldest_change(state& configuration, step& current)
{
    pending_change& pending = configuration.pending.front();
    instant const now = current.now.monotonic;
    if (pending.is_call_in_flight)
    {
        return false;
    }
    if (change_record const* accepted =
            find_change(configuration.in_force, pending.requested.change_id))
    {
        answer_accepted(configuration, accepted->revision, current);
        return true;
    }
    if (now >= pending.timeout_at)
    {
        answer_timed_out(pending, current);
        configuration.pending.pop_front();
        return true;
    }
    if (now < pending.next_attempt)
    {
        return false;
    }
    bool const needs_read = pending.failures > 0 && !pending.is_read_fresh;
    if (needs_read)
    {
        begin_read(configuration, current);
        return false;
    }
    write_or_refuse(configuration, current);
    return true;
}

void finish_accepted_change(state& configuration,
                            std::uint64_t revision,
                            step& current)
{
    pending_change const& pending = configuration.pending.front();
    document accepted_document = pending.proposed;
    accepted_change accepted;
    accepted.base_revision = accepted_document.revision;
    accepted.revision = revision;
    accepted.requested = pending.requested;
    set_revision(accepted_document, revision);
    accepted.content_hash = hash_document(accepted_document);
    if (!adopt_change(configuration, accepted, current))
    {
        adopt_document(configuration, std::move(accepted_document), current);
    }
    note_store_confirmation(configuration, revision, current);
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
    pending.next_attempt = current.now.monotonic;
    pending.timeout_at = current.now.monotonic + change_timeout;
    if (!configuration.is_ready)
    {
        answer_change(
            pending,
            "refused",
            "not applied: this node does not know the configuration yet",
            current);
        return;
    }
    configuration.pending.push_back(std::move(pending));
    advance_submission(configuration, current);
}

void advance_submission(state& configuration, step& current)
{
    while (!configuration.pending.empty() &&
           advance_oldest_change(configuration, current))
    {
    }
    // Changes queued behind the oldest one time out as well.
    for (std::size_t index = configuration.pending.size(); index > 1; --index)
    {
        auto const position = configuration.pending.begin() +
                              static_cast<std::ptrdiff_t>(index - 1);
        if (current.now.monotonic >= position->timeout_at)
        {
            answer_timed_out(*position, current);
            configuration.pending.erase(position);
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
            add(pending.timeout_at);
        }
        else if (!pending.is_call_in_flight)
        {
            add(std::min(pending.next_attempt, pending.timeout_at));
        }
    }
    return next;
}

void handle_change_read_result(state& configuration,
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
        content = decode_entry(*entry, current);
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
    // The write expected an older revision, so it can no longer take effect.
    if (pending.is_in_doubt && content->revision > pending.proposed.revision)
    {
        pending.is_in_doubt = false;
    }
    pending.is_read_fresh = true;
    std::uint64_t const revision = content->revision;
    // Without an expected revision, the base is the newest revision before the
    // first write.
    if (!pending.requested.expected_revision && pending.failures == 0)
    {
        pending.base_revision = revision;
    }
    adopt_document(configuration, std::move(*content), current);
    note_store_confirmation(configuration, revision, current);
    advance_submission(configuration, current);
}

void handle_change_write_result(state& configuration,
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
        finish_accepted_change(configuration, written->revision, current);
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
