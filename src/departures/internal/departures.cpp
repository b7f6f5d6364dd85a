#include "departures/departures.hpp"

#include "departures/internal/record.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace plantaintally::departures
{

namespace
{

// Usual timeout of a call: an upstream waits a second for the answer to its
// report.
constexpr duration store_timeout = std::chrono::milliseconds(800);
// Delay between calls while the platform's key-value store is unavailable.
constexpr duration retry_interval = std::chrono::milliseconds(400);
constexpr double retry_jitter = 0.3;
// A process that knows all departures but can't read the record now puts an
// incarnation into service once two of its reports have arrived further apart
// than this. Reports that were delayed by a network partition arrive together
// when it heals, so they don't qualify.
constexpr duration min_live_report_gap = std::chrono::seconds(1);
// Longest waits for the answers to health checks that are pending at the same
// time. A check waits for a slot of the upstream, so its answer may be late,
// and it may be lost without notice; the short ones make room for others then.
constexpr std::array<duration, max_concurrent_checks> check_timeouts{
    std::chrono::seconds(2),
    std::chrono::seconds(6),
    std::chrono::seconds(18),
    std::chrono::seconds(54)};
// Health checks that begin after a report at most, the delay before the next
// one after an answer that confirms nothing, and while there is no answer.
constexpr std::uint32_t max_checks_per_report = 3;
constexpr duration check_retry_delay = std::chrono::milliseconds(400);
constexpr duration check_interval = std::chrono::seconds(1);
// After the store has come back from an older copy, the record is checked if
// `departed` has changed this recently: reports arrive seconds late at most,
// and in a large fleet only few nodes then call the store.
constexpr duration max_checked_age = std::chrono::minutes(1);
// The checks are made at random times within this window.
constexpr duration check_window = std::chrono::milliseconds(300);

std::string describe(upstream_incarnation const& incarnation)
{
    return "instance=" + incarnation.instance +
           " born_ms=" + std::to_string(incarnation.born_ms) +
           " sequence=" + std::to_string(incarnation.sequence);
}

void answer(report_id report, bool is_accepted, step& current)
{
    current.out.push_back(answer_report{report, is_accepted});
}

void begin_call(state& departures,
                store_purpose purpose,
                store_request request,
                step& current)
{
    departures.pending_purpose = purpose;
    departures.pending_call = current.ids.next<store_call_id>();
    duration const timeout = begin_patient_call(departures.calls,
                                                departures.pending_call,
                                                store_timeout,
                                                current.now.monotonic);
    current.out.push_back(call_store{departures.pending_call,
                                     store_client::departures,
                                     std::move(request),
                                     timeout});
}

void begin_record_read(state& departures, step& current)
{
    begin_call(departures,
               store_purpose::read,
               store_get{record_key(departures.self.address)},
               current);
}

void begin_record_write(state& departures, step& current)
{
    store_compare_and_set update;
    update.key = record_key(departures.self.address);
    update.expected_revision = departures.record_revision;
    update.value = encode_record(departures.departed);
    departures.has_unrecorded = false;
    departures.reports_being_recorded =
        std::exchange(departures.unanswered_reports, {});
    begin_call(departures, store_purpose::write, std::move(update), current);
}

// The pending write is void or has failed: its departures have to be written
// again.
void revoke_record_write(state& departures)
{
    departures.has_unrecorded = true;
    auto& waiting = departures.unanswered_reports;
    auto const revoked = std::exchange(departures.reports_being_recorded, {});
    waiting.insert(waiting.begin(), revoked.begin(), revoked.end());
}

// Makes the next call to the platform's key-value store if one is needed and
// due.
void begin_due_call(state& departures, step& current)
{
    if (departures.pending_purpose ||
        current.now.monotonic < departures.next_call)
    {
        return;
    }
    if (!departures.is_record_read || departures.is_check_due)
    {
        return begin_record_read(departures, current);
    }
    if (departures.has_unrecorded)
    {
        begin_record_write(departures, current);
    }
}

// Returns true if the report is older than one that has already been applied.
bool is_outdated(state const& departures,
                 upstream_incarnation const& incarnation)
{
    if (!departures.newest)
    {
        return false;
    }
    upstream_incarnation const& known = *departures.newest;
    if (incarnation.born_ms != 0 && known.born_ms != 0 &&
        incarnation.born_ms != known.born_ms)
    {
        return incarnation.born_ms < known.born_ms;
    }
    return incarnation.instance == known.instance &&
           incarnation.sequence != 0 && incarnation.sequence <= known.sequence;
}

// Returns true if the report may be of this incarnation: a departure can come
// without a start time.
bool may_be_of(std::optional<upstream_incarnation> const& known,
               upstream_incarnation const& reported)
{
    return known && known->instance == reported.instance &&
           (reported.born_ms == 0 || known->born_ms == 0 ||
            reported.born_ms == known->born_ms);
}

std::uint64_t unix_milliseconds(wall_time time)
{
    auto const since_epoch =
        std::max(time.time_since_epoch(), duration::zero());
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
            .count());
}

// Returns true if the waiting candidate may be put into service on this report.
// Reports prove nothing to a process that does not know all departures: each
// may be late by another time, and from before a departure that an earlier
// process has acknowledged.
bool is_report_sufficient(state const& departures,
                          upstream_incarnation const& incarnation,
                          instant now)
{
    candidate const& waiting = *departures.waiting_candidate;
    return departures.is_record_read ||
           (departures.was_record_read &&
            incarnation.sequence != waiting.first_sequence &&
            now - waiting.first_seen > min_live_report_gap);
}

// True if nothing but the waiting candidate's health endpoint can tell whether
// it is running and not leaving.
bool needs_check(state const& departures)
{
    return departures.waiting_candidate && !departures.was_record_read &&
           departures.is_store_failing && !departures.health_path.empty() &&
           departures.waiting_candidate->checks_left > 0;
}

// The shortest timeout that no pending check of the candidate has, if any.
std::optional<duration> free_check_timeout(candidate const& waiting)
{
    auto const free = std::ranges::find_if(
        check_timeouts,
        [&](duration timeout)
        {
            return std::ranges::none_of(waiting.pending_checks,
                                        [&](pending_check const& pending)
                                        { return pending.timeout == timeout; });
        });
    return free == check_timeouts.end() ? std::nullopt : std::optional(*free);
}

// Asks the waiting candidate's health endpoint whether it is running and not
// leaving, if that is needed and due.
void check_candidate(state& departures, step& current)
{
    if (!needs_check(departures) ||
        current.now.monotonic < departures.waiting_candidate->next_check)
    {
        return;
    }
    candidate& waiting = *departures.waiting_candidate;
    auto const timeout = free_check_timeout(waiting);
    if (!timeout)
    {
        return;
    }
    auto const check = current.ids.next<upstream_check_id>();
    waiting.pending_checks.push_back({check, *timeout});
    waiting.checks_left -= 1;
    waiting.next_check = current.now.monotonic + check_interval;
    current.out.push_back(check_upstream{
        check, waiting.announcement.address, departures.health_path, *timeout});
}

outcome open_candidate(state& departures, step& current)
{
    outcome changes;
    if (!departures.waiting_candidate)
    {
        return changes;
    }
    candidate const ready = std::move(*departures.waiting_candidate);
    departures.waiting_candidate.reset();
    if (has_departed(departures.departed, ready.incarnation))
    {
        record(
            current, "", "departures", "ignored", describe(ready.incarnation));
        return changes;
    }
    record(current,
           "",
           "departures",
           "ready",
           describe(ready.incarnation) +
               " looked=" + (departures.is_record_read ? "true" : "false"));
    departures.in_service = ready.incarnation;
    changes.opened = ready.announcement;
    return changes;
}

outcome handle_ready(state& departures,
                     upstream_reported const& reported,
                     step& current)
{
    answer(reported.report, true, current);
    upstream_incarnation const& incarnation = reported.life;
    if (has_departed(departures.departed, incarnation) ||
        is_outdated(departures, incarnation))
    {
        record(current, "", "departures", "ignored", describe(incarnation));
        return {};
    }
    bool const is_known = may_be_of(departures.newest, incarnation);
    departures.newest = incarnation;
    if (!is_known)
    {
        departures.is_newest_leaving = false;
        departures.waiting_candidate = candidate{incarnation,
                                                 reported.announcement,
                                                 current.now.monotonic,
                                                 incarnation.sequence};
    }
    if (departures.waiting_candidate)
    {
        departures.waiting_candidate->announcement = reported.announcement;
        departures.waiting_candidate->checks_left = max_checks_per_report;
        if (is_report_sufficient(
                departures, incarnation, current.now.monotonic))
        {
            return open_candidate(departures, current);
        }
        check_candidate(departures, current);
        return {};
    }
    departures.in_service = incarnation;
    outcome changes;
    changes.opened = reported.announcement;
    return changes;
}

outcome handle_departure(state& departures,
                         upstream_reported const& reported,
                         step& current)
{
    upstream_incarnation incarnation = reported.life;
    // An incarnation with a later start time replaces the newest known one,
    // even if its departure is its first report.
    bool const is_newer =
        departures.newest && incarnation.born_ms > departures.newest->born_ms;
    if (is_newer)
    {
        departures.newest = incarnation;
        departures.is_newest_leaving = false;
    }
    bool const concerns_newest = may_be_of(departures.newest, incarnation);
    if (concerns_newest)
    {
        incarnation.born_ms =
            std::max(incarnation.born_ms, departures.newest->born_ms);
        departures.newest->sequence =
            std::max(departures.newest->sequence, incarnation.sequence);
    }
    bool const concerns_service = may_be_of(departures.in_service, incarnation);
    if (concerns_service)
    {
        incarnation.born_ms =
            std::max(incarnation.born_ms, departures.in_service->born_ms);
        departures.in_service.reset();
    }
    if (!concerns_newest && !concerns_service && incarnation.born_ms == 0)
    {
        // The departed incarnation is unknown here, so the departure closes all
        // incarnations of this name that have started by now.
        incarnation.born_ms = unix_milliseconds(current.now.wall);
    }
    outcome changes;
    if (!has_departed(departures.departed, incarnation))
    {
        add_departed(departures.departed, incarnation);
        departures.has_unrecorded = true;
        departures.departed_changed_at = current.now.monotonic;
        departures.next_call =
            std::min(departures.next_call, current.now.monotonic);
        record(current,
               "",
               "departures",
               "leaving",
               describe(incarnation) +
                   " present=" + (concerns_newest ? "true" : "false"));
    }
    changes.is_leaving = concerns_service;
    if (concerns_newest)
    {
        departures.waiting_candidate.reset();
        bool const was_leaving =
            std::exchange(departures.is_newest_leaving, true);
        changes.is_leaving = changes.is_leaving || !was_leaving;
    }
    if (departures.has_unrecorded)
    {
        departures.unanswered_reports.push_back(reported.report);
        begin_due_call(departures, current);
        return changes;
    }
    if (departures.pending_purpose == store_purpose::write)
    {
        departures.reports_being_recorded.push_back(reported.report);
        return changes;
    }
    answer(reported.report, true, current);
    return changes;
}

void answer_reports(std::vector<report_id> const& reports,
                    bool is_accepted,
                    step& current)
{
    for (report_id const report : reports)
    {
        answer(report, is_accepted, current);
    }
}

void handle_store_failure(state& departures, step& current)
{
    if (!std::exchange(departures.is_store_failing, true))
    {
        check_candidate(departures, current);
    }
    departures.next_call =
        current.now.monotonic +
        draw_jittered(current.random, retry_interval, retry_jitter);
    if (!departures.unanswered_reports.empty())
    {
        record(current, "", "departures", "not-recorded", {});
    }
    answer_reports(
        std::exchange(departures.unanswered_reports, {}), false, current);
}

// Merges the stored record into the departures in memory, and has it written
// again if it lacks any of them.
void merge_record(state& departures,
                  std::vector<upstream_incarnation> recorded,
                  step& current)
{
    auto const in_memory =
        std::exchange(departures.departed, std::move(recorded));
    std::vector<upstream_incarnation> const stored = departures.departed;
    if (!stored.empty())
    {
        departures.departed_changed_at = current.now.monotonic;
    }
    for (upstream_incarnation const& incarnation : in_memory)
    {
        add_departed(departures.departed, incarnation);
    }
    bool const is_incomplete =
        std::ranges::any_of(in_memory,
                            [&](upstream_incarnation const& incarnation)
                            { return !has_departed(stored, incarnation); });
    if (is_incomplete && !departures.has_unrecorded)
    {
        departures.has_unrecorded = true;
        record(current, "", "departures", "record-lost", {});
    }
}

// Ends the service of an incarnation whose departure is recorded. Returns true
// if there was one.
bool close_departed(state& departures, step& current)
{
    if (!departures.in_service ||
        !has_departed(departures.departed, *departures.in_service))
    {
        return false;
    }
    upstream_incarnation const incarnation =
        *std::exchange(departures.in_service, std::nullopt);
    if (may_be_of(departures.newest, incarnation))
    {
        departures.is_newest_leaving = true;
    }
    record(current, "", "departures", "closed", describe(incarnation));
    return true;
}

outcome
handle_record_read(state& departures, store_result const& result, step& current)
{
    auto const* entry = std::get_if<store_entry>(&result);
    if (entry == nullptr && !std::holds_alternative<store_missing>(result))
    {
        handle_store_failure(departures, current);
        return {};
    }
    departures.is_record_read = true;
    departures.was_record_read = true;
    departures.is_store_failing = false;
    departures.is_check_due = false;
    departures.record_revision = entry == nullptr ? 0 : entry->revision;
    merge_record(departures,
                 entry == nullptr ? std::vector<upstream_incarnation>()
                                  : decode_record(entry->value),
                 current);
    bool const is_closed = close_departed(departures, current);
    outcome changes = open_candidate(departures, current);
    changes.is_leaving = is_closed;
    begin_due_call(departures, current);
    return changes;
}

void handle_record_written(state& departures,
                           store_result const& result,
                           step& current)
{
    if (auto const* written = std::get_if<store_written>(&result))
    {
        departures.record_revision = written->revision;
        answer_reports(std::exchange(departures.reports_being_recorded, {}),
                       true,
                       current);
        begin_due_call(departures, current);
        return;
    }
    revoke_record_write(departures);
    // After a conflict or a write whose result is unknown, the record has to be
    // read again before the next write.
    departures.is_record_read = false;
    if (std::holds_alternative<store_conflict>(result))
    {
        begin_due_call(departures, current);
        return;
    }
    handle_store_failure(departures, current);
}

} // namespace

std::string record_key(std::string_view address)
{
    return "plantaintally/departures/" + std::string(address);
}

void start(state& departures, step& current)
{
    departures.is_started = true;
    departures.next_call = current.now.monotonic;
    begin_due_call(departures, current);
}

outcome apply_report(state& departures,
                     upstream_reported const& reported,
                     step& current)
{
    if (!departures.is_started)
    {
        start(departures, current);
    }
    if (reported.phase == upstream_phase::ready)
    {
        return handle_ready(departures, reported, current);
    }
    return handle_departure(departures, reported, current);
}

outcome handle_store(state& departures,
                     store_call_id call,
                     store_result const& result,
                     step& current)
{
    note_call_result(departures.calls, call, result, current.now.monotonic);
    if (!departures.pending_purpose || departures.pending_call != call)
    {
        return {};
    }
    store_purpose const purpose = *departures.pending_purpose;
    departures.pending_purpose.reset();
    if (purpose == store_purpose::read)
    {
        return handle_record_read(departures, result, current);
    }
    handle_record_written(departures, result, current);
    return {};
}

outcome
give_up_overtaken(state& departures, store_call_id answered, step& current)
{
    outcome changes;
    for (store_call_id const call : take_overtaken_calls(
             departures.calls, answered, current.now.monotonic))
    {
        changes =
            handle_store(departures, call, store_unavailable{true}, current);
    }
    return changes;
}

outcome
handle_check(state& departures, upstream_checked const& checked, step& current)
{
    auto& waiting = departures.waiting_candidate;
    if (!waiting)
    {
        return {};
    }
    auto const erased = std::erase_if(waiting->pending_checks,
                                      [&](pending_check const& pending) {
                                          return pending.check == checked.check;
                                      });
    if (erased == 0)
    {
        return {};
    }
    if (checked.instance != waiting->incarnation.instance)
    {
        waiting->next_check = std::min(
            waiting->next_check,
            current.now.monotonic +
                draw_jittered(current.random, check_retry_delay, retry_jitter));
        record(current,
               "",
               "departures",
               "unconfirmed",
               describe(waiting->incarnation) +
                   " answered_by=" + checked.instance);
        return {};
    }
    return open_candidate(departures, current);
}

void handle_store_restored(state& departures, step& current)
{
    if (!departures.is_started)
    {
        return;
    }
    instant const now = current.now.monotonic;
    bool const is_recent =
        departures.departed_changed_at &&
        now - *departures.departed_changed_at <= max_checked_age;
    auto const void_call =
        std::exchange(departures.pending_purpose, std::nullopt);
    if (void_call == store_purpose::write)
    {
        revoke_record_write(departures);
    }
    if (is_recent || void_call)
    {
        departures.is_check_due = true;
        departures.next_call =
            now + std::chrono::duration_cast<duration>(
                      check_window * draw_fraction(current.random));
    }
}

void handle_time(state& departures, step& current)
{
    if (departures.is_started)
    {
        begin_due_call(departures, current);
        check_candidate(departures, current);
    }
}

std::optional<instant> next_wakeup(state const& departures)
{
    std::optional<instant> earliest;
    if (needs_check(departures) &&
        free_check_timeout(*departures.waiting_candidate))
    {
        earliest = departures.waiting_candidate->next_check;
    }
    bool const is_busy = departures.pending_purpose.has_value();
    bool const is_needed = !departures.is_record_read ||
                           departures.has_unrecorded || departures.is_check_due;
    if (departures.is_started && !is_busy && is_needed)
    {
        earliest = earliest ? std::min(*earliest, departures.next_call)
                            : departures.next_call;
    }
    return earliest;
}

} // namespace plantaintally::departures
