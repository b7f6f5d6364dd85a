#include "admission/body_budget.hpp"

#include <utility>

namespace plantaintally::admission
{

body_hold::body_hold(std::shared_ptr<body_budget> source)
    : budget(std::move(source))
{
}

body_hold::body_hold(body_hold&& other) noexcept
    : budget(std::move(other.budget)),
      bytes_held(std::exchange(other.bytes_held, 0))
{
}

body_hold& body_hold::operator=(body_hold&& other) noexcept
{
    std::swap(this->budget, other.budget);
    std::swap(this->bytes_held, other.bytes_held);
    return *this;
}

body_hold::~body_hold()
{
    if (this->budget != nullptr)
    {
        this->budget->held_bytes -= this->bytes_held;
    }
}

bool body_hold::grow_to(std::uint64_t bytes)
{
    if (this->budget == nullptr || bytes <= this->bytes_held)
    {
        return true;
    }
    std::uint64_t const added = bytes - this->bytes_held;
    if (added > this->budget->limit_bytes - this->budget->held_bytes)
    {
        return false;
    }
    this->budget->held_bytes += added;
    this->bytes_held = bytes;
    return true;
}

} // namespace plantaintally::admission
