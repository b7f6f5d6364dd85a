// Shedding of unprotected requests, and the estimate of waiting times.
#pragma once

#include "admission/admission.hpp"

#include <vector>

namespace plantaintally::admission
{

// True while unprotected requests are refused.
bool is_unprotected_closed(state const& admission, instant now);

// Refuses unprotected requests for the duration of options::protected_hold, and
// moves all waiting ones to `shed`.
void close_unprotected(state& admission,
                       instant now,
                       std::vector<refused_request>& shed);

// Returns the queue of the request's rank, creating it if needed. The rank's
// urgency, worth and protection are updated from the request.
rank_queue& queue_of(state& admission, pending_request const& request);

// Estimated time that a new request in this queue would wait for a slot, given
// the current queues.
duration estimated_wait(state const& admission, rank_queue const& queue);

} // namespace plantaintally::admission
