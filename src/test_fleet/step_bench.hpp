// Test fixture for a reducer of one module: provides what a step needs and
// keeps the effects of the last step.
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

    // Begins a step at `now` and discards the effects of the previous one.
    step begin()
    {
        this->out.clear();
        return {moment{this->now, {}},
                this->random,
                this->ids,
                this->clock,
                this->out};
    }

    // The first effect of this type, or nullptr if there is none.
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
