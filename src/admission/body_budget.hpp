// Limits the memory for request bodies. Answers the load of many large uploads
// at once: a request whose body does not fit is refused as soon as its headers
// are read, before the body takes up memory, and has certainly not run.
#pragma once

#include <cstdint>
#include <memory>

namespace plantaintally::admission
{

// The bytes of request bodies that a node holds, and their limit.
struct body_budget
{
    std::uint64_t limit_bytes = 0;
    std::uint64_t held_bytes = 0;
};

// Part of the budget that one body takes; returned when the hold is destroyed.
class body_hold
{
public:
    body_hold() = default;
    explicit body_hold(std::shared_ptr<body_budget> source);
    body_hold(body_hold&& other) noexcept;
    body_hold& operator=(body_hold&& other) noexcept;
    body_hold(body_hold const&) = delete;
    body_hold& operator=(body_hold const&) = delete;
    ~body_hold();

    // Raises the hold to this many bytes. Returns false, and leaves the hold as
    // it is, if the budget doesn't allow it.
    bool grow_to(std::uint64_t bytes);

private:
    // Shared, since a body can still be being written when the node ends.
    std::shared_ptr<body_budget> budget;
    std::uint64_t bytes_held = 0;
};

} // namespace plantaintally::admission
