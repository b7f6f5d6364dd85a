#include "departures/departures.hpp"

#include "departures/internal/record.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::departures
{

namespace
{

constexpr duration store_timeout = std::chrono::milliseconds(800);
// Time between two calls while the platform's service gives no answer.
constexpr duration retry_interval = std::chrono::milliseconds(400);
constexpr double retry_jitter = 0.3;
// Without the platform's service, a life is taken for ready once two of its
// reports have come this far apart: reports that were held up by a cut arrive
// together when it heals.
constexpr duration live_report_distance = std::chrono::seconds(1);

std::string describe(upstream_incarnation const& life)
{
    return "instance=" + life.instance +
           " born_ms=" + std::to_string(life.born_ms) +
           " sequence=" + std::to_string(life.sequence);
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
    departures.pending = purpose;
    departures.pending_call = current.ids.next<store_call_id>();
    current.out.push_back(call_store{departures.pending_call,
                                     store_client::departures,
                                     std::move(request),
                                     store_timeout});
}

void look(state& departures, step& current)
{
    begin_call(departures,
               store_purpose::look,
               store_get{record_key(departures.self.address)},
               current);
}

void write(state& departures, step& current)
{
    store_compare_and_set wanted;
    wanted.key = record_key(departures.self.address);
    wanted.expected_revision = departures.record_revision;
    wanted.value = write_record(departures.left);
    begin_call(departures, store_purpose::record, std::move(wanted), current);
}

// Makes the next call on the platform's service, if one is needed and due.
void advance(state& departures, step& current)
{
    if (departures.pending || current.now.monotonic < departures.next_call)
    {
        return;
    }
    if (!departures.has_looked)
    {
        return look(departures, current);
    }
    if (departures.is_unrecorded)
    {
        write(departures, current);
    }
}

// True if the report tells of an earlier time than one that was taken before.
bool is_outdated(state const& departures, upstream_incarnation const& life)
{
    if (!departures.present)
    {
        return false;
    }
    upstream_incarnation const& known = *departures.present;
    if (life.born_ms != 0 && known.born_ms != 0 &&
        life.born_ms != known.born_ms)
    {
        return life.born_ms < known.born_ms;
    }
    return life.instance == known.instance && life.sequence != 0 &&
           life.sequence <= known.sequence;
}

bool is_present(state const& departures, upstream_incarnation const& life)
{
    return departures.present &&
           departures.present->instance == life.instance &&
           (life.born_ms == 0 || departures.present->born_ms == 0 ||
            life.born_ms == departures.present->born_ms);
}

outcome open_waiting(state& departures, step& current)
{
    outcome ended;
    if (!departures.waiting)
    {
        return ended;
    }
    candidate const ready = std::move(*departures.waiting);
    departures.waiting.reset();
    if (has_left(departures.left, ready.life))
    {
        record(current, "", "departures", "ignored", describe(ready.life));
        return ended;
    }
    record(current,
           "",
           "departures",
           "ready",
           describe(ready.life) +
               " looked=" + (departures.has_looked ? "true" : "false"));
    ended.opened = ready.announcement;
    return ended;
}

outcome
take_ready(state& departures, upstream_reported const& reported, step& current)
{
    answer(reported.report, true, current);
    upstream_incarnation const& life = reported.life;
    if (has_left(departures.left, life) || is_outdated(departures, life))
    {
        record(current, "", "departures", "ignored", describe(life));
        return {};
    }
    bool const is_same = is_present(departures, life);
    departures.present = life;
    if (!is_same)
    {
        departures.is_present_leaving = false;
        departures.waiting = candidate{
            life, reported.announcement, current.now.monotonic, life.sequence};
    }
    if (departures.waiting)
    {
        departures.waiting->announcement = reported.announcement;
        candidate const& waiting = *departures.waiting;
        bool const is_live =
            life.sequence != waiting.first_sequence &&
            current.now.monotonic - waiting.first_seen >= live_report_distance;
        return departures.has_looked || is_live
                   ? open_waiting(departures, current)
                   : outcome{};
    }
    outcome ended;
    ended.opened = reported.announcement;
    return ended;
}

outcome take_leaving(state& departures,
                     upstream_reported const& reported,
                     step& current)
{
    upstream_incarnation life = reported.life;
    // A life that was born later stands where the present one stood, also if
    // its leaving is the first that is heard of it.
    bool const is_later =
        departures.present && life.born_ms > departures.present->born_ms;
    if (is_later)
    {
        departures.present = life;
        departures.is_present_leaving = false;
    }
    bool const is_own = is_present(departures, life);
    if (is_own)
    {
        life.born_ms = std::max(life.born_ms, departures.present->born_ms);
        departures.present->sequence =
            std::max(departures.present->sequence, life.sequence);
    }
    outcome ended;
    if (!has_left(departures.left, life))
    {
        remember(departures.left, life);
        departures.is_unrecorded = true;
        departures.next_call =
            std::min(departures.next_call, current.now.monotonic);
        record(current,
               "",
               "departures",
               "leaving",
               describe(life) + " present=" + (is_own ? "true" : "false"));
    }
    if (is_own)
    {
        departures.waiting.reset();
        ended.is_leaving = !std::exchange(departures.is_present_leaving, true);
    }
    if (departures.is_unrecorded)
    {
        departures.unanswered.push_back(reported.report);
        advance(departures, current);
        return ended;
    }
    answer(reported.report, true, current);
    return ended;
}

void answer_all(state& departures, bool is_accepted, step& current)
{
    for (report_id const report : std::exchange(departures.unanswered, {}))
    {
        answer(report, is_accepted, current);
    }
}

void note_unavailable(state& departures, step& current)
{
    departures.next_call =
        current.now.monotonic +
        draw_jittered(current.random, retry_interval, retry_jitter);
    if (!departures.unanswered.empty())
    {
        record(current, "", "departures", "not-recorded", {});
    }
    answer_all(departures, false, current);
}

outcome take_look(state& departures, store_result const& result, step& current)
{
    auto const* entry = std::get_if<store_entry>(&result);
    if (entry == nullptr && !std::holds_alternative<store_missing>(result))
    {
        note_unavailable(departures, current);
        return {};
    }
    departures.has_looked = true;
    departures.record_revision = entry == nullptr ? 0 : entry->revision;
    if (entry != nullptr)
    {
        std::vector<upstream_incarnation> const own = departures.left;
        departures.left = read_record(entry->value);
        for (upstream_incarnation const& life : own)
        {
            remember(departures.left, life);
        }
    }
    outcome ended = open_waiting(departures, current);
    advance(departures, current);
    return ended;
}

void take_recorded(state& departures, store_result const& result, step& current)
{
    if (auto const* written = std::get_if<store_written>(&result))
    {
        departures.record_revision = written->revision;
        departures.is_unrecorded = false;
        answer_all(departures, true, current);
        return;
    }
    // A conflict, or a write whose answer was lost: the record is read anew
    // before the next write.
    departures.has_looked = false;
    if (std::holds_alternative<store_conflict>(result))
    {
        advance(departures, current);
        return;
    }
    note_unavailable(departures, current);
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
    advance(departures, current);
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
        return take_ready(departures, reported, current);
    }
    return take_leaving(departures, reported, current);
}

outcome handle_store(state& departures,
                     store_call_id call,
                     store_result const& result,
                     step& current)
{
    if (!departures.pending || departures.pending_call != call)
    {
        return {};
    }
    store_purpose const purpose = *departures.pending;
    departures.pending.reset();
    if (purpose == store_purpose::look)
    {
        return take_look(departures, result, current);
    }
    take_recorded(departures, result, current);
    return {};
}

void handle_time(state& departures, step& current)
{
    if (departures.is_started)
    {
        advance(departures, current);
    }
}

std::optional<instant> next_deadline(state const& departures)
{
    bool const is_busy = departures.pending.has_value();
    bool const is_needed = !departures.has_looked || departures.is_unrecorded;
    if (!departures.is_started || is_busy || !is_needed)
    {
        return std::nullopt;
    }
    return departures.next_call;
}

} // namespace plantaintally::departures
