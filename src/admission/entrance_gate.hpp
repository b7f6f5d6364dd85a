// Refuses new work at the entrance of a call chain while a service further down
// has no capacity for all of it. Answers the load in which each call of a chain
// is refused with some probability: of the chains that are let in nearly all
// fail, after work was spent on them, although the scarce service could serve
// as many whole chains as it has room for. Calls under way are not affected, so
// that work already spent is completed first.
#pragma once

#include "base/moment.hpp"
#include "base/random.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace plantaintally::admission
{

// The share of new requests that is let in, and the results of the current
// window from which the next share follows.
struct gate_state
{
    double share = 1;
    instant window_start{};
    std::uint32_t finished = 0;
    std::uint32_t lacking_capacity = 0;
    // When the share was last reduced.
    instant reduced_at{};
    // When a request last failed for lack of capacity.
    instant failed_at{};
    // When the share was last raised because none has failed for a while.
    instant reopened_at{};
};

struct entrance_gate
{
    // By service and rank.
    std::map<std::pair<std::string, std::string>, gate_state> gates;
};

// True if a new request of the rank to the service may enter.
bool may_enter(entrance_gate& entrance,
               std::string_view service,
               std::string_view rank,
               random_source& random,
               instant now);

// The end of a request that was let in. `lacks_capacity` is true if it was
// refused or failed because a service in its chain has no capacity left.
struct gate_result
{
    instant entered_at{};
    bool lacks_capacity = false;
};

// Records the end of a request that was let in. Requests that entered before
// the latest reduction of the share are ignored: they say nothing about its
// effect.
void note_finished(entrance_gate& entrance,
                   std::string_view service,
                   std::string_view rank,
                   gate_result const& finished,
                   instant now);

// Share of the new requests of the rank to the service that may enter, from
// zero to one.
double entrance_share(entrance_gate const& entrance,
                      std::string_view service,
                      std::string_view rank);

} // namespace plantaintally::admission
