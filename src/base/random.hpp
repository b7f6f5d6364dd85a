// The seeded generator in the reducer's state: the only source of chance.
#pragma once

#include "base/moment.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <cstddef>
#include <cstdint>

namespace plantaintally
{

// Boost.Random gives the same sequence on every platform, so that a recorded
// event stream replays exactly.
struct random_source
{
    boost::random::mt19937_64 engine;

    explicit random_source(std::uint64_t seed = 1) : engine(seed) {}

    bool operator==(random_source const&) const = default;
};

// A number in [0, bound), uniformly; `bound` must be positive.
std::size_t draw_below(random_source& source, std::size_t bound);

// A number in [0, 1), uniformly.
double draw_fraction(random_source& source);

// A duration in [base * (1 - spread), base * (1 + spread)], uniformly. Keeps
// the timers of different nodes from synchronising; `spread` is in [0, 1].
duration draw_jittered(random_source& source, duration base, double spread);

} // namespace plantaintally
