// Retry budget of a request. Hops divide it among their attempts and downstream
// calls, so that the total along the call chain never grows.
#pragma once

#include <cstdint>

namespace plantaintally::retry
{

// Division of a hop's retry budget when it forwards a request.
struct budget_split
{
    // Retries that the hop keeps for itself.
    std::uint32_t kept = 0;
    // Retries that it passes on with the request.
    std::uint32_t passed = 0;
};

// Divides the retry budget of a hop that forwards a request to another node:
// the hop keeps one retry, in case the answer is lost, and passes on the
// others.
budget_split split_for_forward(std::uint32_t retries);

// Number of retries that a downstream call takes from the budget of its parent:
// half of them, rounded up, so that some are left for parallel calls.
std::uint32_t child_budget(std::uint32_t retries);

// Number of unused retries that an answer returns to the sender: those that it
// reports, but never more than were passed on.
std::uint32_t returned_budget(std::uint32_t passed, std::uint32_t reported);

} // namespace plantaintally::retry
