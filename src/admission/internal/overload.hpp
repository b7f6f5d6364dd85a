// The protected order and the record of refusals, used inside admission.
#pragma once

#include "admission/admission.hpp"

#include <vector>

namespace plantaintally::admission
{

// True while unprotected requests are refused.
bool is_unprotected_closed(state const& admission, instant now);

// Refuses unprotected requests from now on for the hold time, and takes every
// waiting one out.
void close_unprotected(state& admission,
                       instant now,
                       std::vector<refused_request>& shed);

// The queue of the request's rank, made if need be, with the rank's newest
// urgency and worth.
rank_queue& queue_of(state& admission, pending_request const& item);

// Time that a new request of the rank would wait, by the present queues.
duration estimated_wait(state const& admission, rank_queue const& queue);

} // namespace plantaintally::admission
