// Timeouts of calls to the platform's key-value store that follow the time that
// the store takes. A store that is slower than a fixed timeout would never be
// heard, and the repeated calls would keep it slow.
#pragma once

#include "messages/store_types.hpp"

#include <map>
#include <vector>

namespace plantaintally
{

// A call that has no result yet.
struct patient_call
{
    instant begun{};
    // The timeout while the store answers promptly, and the one that applies.
    duration usual_timeout{};
    duration timeout{};
};

// The calls of one part of the reducer.
struct patient_calls
{
    std::map<store_call_id, patient_call> pending;
    // Shortest timeout of the next call: twice the time of the last answer, or
    // of the last timeout. Zero: the usual timeout suffices.
    duration min_timeout{};
};

// Returns the timeout of a call that begins now.
duration begin_patient_call(patient_calls& calls,
                            store_call_id call,
                            duration usual_timeout,
                            instant now);

// Adapts the timeouts to the result of a call; ignores other parts' calls.
// Returns true if the call timed out: the store may be slow, and the next call
// waits for longer.
bool note_call_result(patient_calls& calls,
                      store_call_id call,
                      store_result const& result,
                      instant now);

// Removes and returns the calls that have waited for long, longer than usual
// and than the last answer took, while the store has answered this one, which
// began later: their answers are lost.
std::vector<store_call_id>
take_overtaken_calls(patient_calls& calls, store_call_id answered, instant now);

} // namespace plantaintally
