// What every part of the reducer is handed for one step.
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

// Source of the ids that this node gives to attempts, store calls and its own
// exchanges; never reused within a process.
struct id_source
{
    std::uint64_t last = 0;

    template <class Id>
    Id next()
    {
        return Id{++this->last};
    }
};

// One step of the reducer: the time, the shared sources, and the effects that
// the step asks for. References are valid for the step only.
struct step
{
    moment now;
    random_source& random;
    id_source& ids;
    timeline::hybrid_clock& clock;
    effects& out;
};

// Adds an entry to the node's time line. `detail` is "name=value name=value".
void record(step& current,
            std::string_view trace_id,
            std::string_view subject,
            std::string_view kind,
            std::string detail);

} // namespace plantaintally
