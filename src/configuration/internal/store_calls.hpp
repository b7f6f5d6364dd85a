// Calls of configuration on the platform's service.
#pragma once

#include "configuration/state.hpp"

#include <utility>

namespace plantaintally::configuration
{

// A call without a result after this long is taken for lost by the driver.
inline constexpr duration store_timeout = std::chrono::seconds(1);

// Asks for the call and remembers what it is for.
inline void begin_call(state& configuration,
                       store_purpose purpose,
                       store_request request,
                       step& current)
{
    auto const call = current.ids.next<store_call_id>();
    configuration.calls[call] = purpose;
    current.out.push_back(call_store{
        call, store_client::configuration, std::move(request), store_timeout});
}

} // namespace plantaintally::configuration
