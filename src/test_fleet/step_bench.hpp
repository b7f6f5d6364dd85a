// What a reducer's step needs, and the effects of the last one, for tests of
// one part of a node.
#pragma once

#include "messages/step.hpp"

#include <variant>

namespace plantaintally
{

struct step_bench
{
    random_source random{1};
    id_source ids;
    timeline::hybrid_clock clock;
    effects out;
    instant now{std::chrono::seconds(1000)};

    // A step at `now`; the effects of the one before are forgotten.
    step begin()
    {
        this->out.clear();
        return {moment{this->now, {}},
                this->random,
                this->ids,
                this->clock,
                this->out};
    }

    // The first effect of this kind, or nullptr.
    template <class Effect>
    Effect const* find() const
    {
        for (effect const& each : this->out)
        {
            if (auto const* found = std::get_if<Effect>(&each))
            {
                return found;
            }
        }
        return nullptr;
    }
};

} // namespace plantaintally
