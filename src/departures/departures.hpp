// Departures of upstream incarnations, that is, reports that an incarnation is
// draining or gone. After a departure has been acknowledged, the incarnation is
// not put into service again, not even by a restarted node process: the
// departure is recorded at the platform's key-value store before it is
// acknowledged, and a new process reads the record before it considers any
// incarnation ready. While the record can't be read, an incarnation is ready
// once it has answered a health check of this process, since reports may be
// late by any time. See docs/DEPARTURES.md.
#pragma once

#include "base/ids.hpp"
#include "messages/events.hpp"
#include "messages/patient_calls.hpp"
#include "messages/step.hpp"
#include "messages/store_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::departures
{

// The purpose of a call to the platform's key-value store.
enum class store_purpose
{
    read,
    write
};

// A check of an upstream's health endpoint that has no result yet.
struct pending_check
{
    upstream_check_id check;
    duration timeout{};
};

// An incarnation that was reported ready but is not in service yet.
struct candidate
{
    upstream_incarnation incarnation;
    upstream_announcement announcement;
    instant first_seen{};
    std::uint64_t first_sequence = 0;
    std::vector<pending_check> pending_checks = {};
    // Checks that may still begin before the next report, and the earliest time
    // for the next one.
    std::uint32_t checks_left = 0;
    instant next_check{};
};

// State of departures at this node; owned by the node's state.
struct state
{
    node_id self;
    // Path of the upstream's health endpoint; empty while unknown.
    std::string health_path;
    // The newest incarnation that was reported, and whether it is leaving.
    std::optional<upstream_incarnation> newest;
    bool is_newest_leaving = false;
    std::optional<candidate> waiting_candidate;
    // The incarnation that was last put into service; unset once it is leaving.
    std::optional<upstream_incarnation> in_service;
    // Departed incarnations, oldest first.
    std::vector<upstream_incarnation> departed;
    // Reports of departures that are acknowledged once the next write of the
    // record has ended, and those that the pending write records.
    std::vector<report_id> unanswered_reports;
    std::vector<report_id> reports_being_recorded;

    bool is_started = false;
    // False until the stored record has been read, and again after a failed
    // write until it has been read again.
    bool is_record_read = false;
    // True once the record has been read. From then on `departed` holds the
    // departures that earlier processes acknowledged.
    bool was_record_read = false;
    // True from a call to the key-value store that failed until one succeeds.
    bool is_store_failing = false;
    // True if `departed` holds incarnations that neither the record nor the
    // pending write contains.
    bool has_unrecorded = false;
    // True if the record has to be compared with `departed`, since the store
    // may have lost its latest version.
    bool is_check_due = false;
    // When `departed` last changed, or was last read from the record.
    std::optional<instant> departed_changed_at;
    std::uint64_t record_revision = 0;
    std::optional<store_purpose> pending_purpose;
    store_call_id pending_call;
    patient_calls calls;
    instant next_call{};
};

// The changes to the upstream's state that result from a step.
struct outcome
{
    // Set if the upstream is ready for work.
    std::optional<upstream_announcement> opened;
    // True if the newest incarnation, or the one in service, has begun to leave
    // or turns out to have departed.
    bool is_leaving = false;
};

// Returns the key of the record of the node at this address.
std::string record_key(std::string_view address);

void start(state& departures, step& current);
outcome apply_report(state& departures,
                     upstream_reported const& reported,
                     step& current);
outcome handle_store(state& departures,
                     store_call_id call,
                     store_result const& result,
                     step& current);
// Gives up a call whose answer was overtaken by the answer to a later call of
// any part of the reducer.
outcome
give_up_overtaken(state& departures, store_call_id answered, step& current);
// Handles the result of a check_upstream effect.
outcome
handle_check(state& departures, upstream_checked const& checked, step& current);
// Checks the record, and writes it again if needed, after the key-value store
// has come back from an older copy. Results of earlier calls are void.
void handle_store_restored(state& departures, step& current);
void handle_time(state& departures, step& current);
std::optional<instant> next_wakeup(state const& departures);

} // namespace plantaintally::departures
