// The context that the parts of the reducer share during one step.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"
#include "base/random.hpp"
#include "messages/effects.hpp"
#include "timeline/hybrid_clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace plantaintally
{

// Source of the ids that this node assigns to attempts, store calls and its own
// exchanges. Ids are never reused within a process.
struct id_source
{
    std::uint64_t last = 0;

    template <class Id>
    Id next()
    {
        return Id{++this->last};
    }
};

// One step of the reducer: the current time, the shared sources of randomness,
// ids and timestamps, and the effects that the step emits. The references are
// valid only during the step.
struct step
{
    moment now;
    random_source& random;
    id_source& ids;
    timeline::hybrid_clock& clock;
    effects& out;
};

// Appends an entry to the node's time line. `detail` holds space-separated
// "name=value" pairs.
void record(step& current,
            std::string_view trace_id,
            std::string_view subject,
            std::string_view kind,
            std::string detail);

} // namespace plantaintally
