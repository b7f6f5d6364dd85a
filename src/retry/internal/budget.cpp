#include "retry/budget.hpp"

#include <algorithm>

namespace plantaintally::retry
{

budget_split split_for_forward(std::uint32_t retries)
{
    std::uint32_t const kept = std::min<std::uint32_t>(retries, 1);
    return budget_split{kept, retries - kept};
}

std::uint32_t child_budget(std::uint32_t retries)
{
    return retries - retries / 2;
}

std::uint32_t returned_budget(std::uint32_t passed, std::uint32_t reported)
{
    return std::min(passed, reported);
}

} // namespace plantaintally::retry
