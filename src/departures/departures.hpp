// Lives of the upstream that have said that they leave. A leaving that was
// acknowledged binds, also after this process has ended: it is recorded at the
// platform's service before the acknowledgement, and a new process looks there
// before it takes any life for ready. See docs/DEPARTURES.md.
#pragma once

#include "base/ids.hpp"
#include "messages/events.hpp"
#include "messages/step.hpp"
#include "messages/store_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::departures
{

// Why a call on the platform's service was made.
enum class store_purpose
{
    look,
    record
};

// A life that was reported ready and is not in use yet.
struct candidate
{
    upstream_incarnation life;
    upstream_announcement announcement;
    instant first_seen{};
    std::uint64_t first_sequence = 0;
};

// State of the departures at a node; owned by the node's state.
struct state
{
    node_id self;
    // The newest life that was reported, and whether it leaves.
    std::optional<upstream_incarnation> present;
    bool is_present_leaving = false;
    std::optional<candidate> waiting;
    // Lives that have left, oldest first.
    std::vector<upstream_incarnation> left;
    // Reports of a leaving that wait for its record.
    std::vector<report_id> unanswered;

    bool is_started = false;
    // True once the record of an earlier process was read.
    bool has_looked = false;
    // True while lives of `left` are not recorded yet.
    bool is_unrecorded = false;
    std::uint64_t record_revision = 0;
    std::optional<store_purpose> pending;
    store_call_id pending_call;
    instant next_call{};
};

// What follows from a step.
struct outcome
{
    // The upstream is ready for work.
    std::optional<upstream_announcement> opened;
    // The present life leaves.
    bool is_leaving = false;
};

// The key of the record of the node at this address.
std::string record_key(std::string_view address);

void start(state& departures, step& current);
outcome apply_report(state& departures,
                     upstream_reported const& reported,
                     step& current);
outcome handle_store(state& departures,
                     store_call_id call,
                     store_result const& result,
                     step& current);
void handle_time(state& departures, step& current);
std::optional<instant> next_deadline(state const& departures);

} // namespace plantaintally::departures
