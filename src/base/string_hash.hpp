// Hash of strings for unordered containers that are searched by string_view.
#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace plantaintally
{

struct string_hash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};

} // namespace plantaintally
