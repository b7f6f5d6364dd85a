// The reducer's seeded random number generator, its only source of randomness.
#pragma once

#include "base/moment.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <cstddef>
#include <cstdint>

namespace plantaintally
{

// A random number generator. Boost.Random gives the same sequence on every
// platform, so that a recorded event stream can be replayed exactly.
struct random_source
{
    boost::random::mt19937_64 engine;

    explicit random_source(std::uint64_t seed = 1) : engine(seed) {}

    bool operator==(random_source const&) const = default;
};

// Draws a uniformly distributed number from [0, bound); `bound` must be
// positive.
std::size_t draw_below(random_source& source, std::size_t bound);

// Draws a uniformly distributed number from [0, 1).
double draw_fraction(random_source& source);

// Draws a uniformly distributed duration from [base * (1 - spread),
// base * (1 + spread)]; `spread` is in [0, 1]. The jitter keeps the timers of
// different nodes from synchronising.
duration draw_jittered(random_source& source, duration base, double spread);

} // namespace plantaintally
