// The retries that a request may still cause, conserved over the whole chain.
#pragma once

#include <cstdint>

namespace plantaintally::retry
{

// How a hop divides its retries before it sends a request on.
struct budget_split
{
    std::uint32_t kept = 0;
    std::uint32_t passed = 0;
};

// Divides the retries of a hop that sends a request to another node: it keeps
// one, for the case that the answer is lost, and passes on the others.
budget_split split_for_forward(std::uint32_t retries);

// The retries that a downstream call takes from those of its parent: half of
// them, rounded up, so that parallel calls get some too.
std::uint32_t child_budget(std::uint32_t retries);

// The retries that come back with an answer: never more than were passed.
std::uint32_t returned_budget(std::uint32_t passed, std::uint32_t reported);

} // namespace plantaintally::retry
