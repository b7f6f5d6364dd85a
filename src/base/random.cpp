#include "base/random.hpp"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace plantaintally
{

std::size_t draw_below(random_source& source, std::size_t bound)
{
    boost::random::uniform_int_distribution<std::size_t> range(0, bound - 1);
    return range(source.engine);
}

double draw_fraction(random_source& source)
{
    boost::random::uniform_01<double> unit;
    return unit(source.engine);
}

duration draw_jittered(random_source& source, duration base, double spread)
{
    double const factor = 1.0 + spread * (2.0 * draw_fraction(source) - 1.0);
    return duration(
        static_cast<duration::rep>(static_cast<double>(base.count()) * factor));
}

} // namespace plantaintally
