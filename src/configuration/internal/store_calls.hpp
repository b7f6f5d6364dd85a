// Calls of the configuration module on the platform's key-value store.
#pragma once

#include "configuration/state.hpp"

#include <utility>

namespace plantaintally::configuration
{

// The driver reports a call without an answer after this long as unavailable.
inline constexpr duration store_timeout = std::chrono::seconds(1);

// Issues the call and records its purpose for handling the result.
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
