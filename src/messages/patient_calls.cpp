#include "messages/patient_calls.hpp"

#include <algorithm>
#include <variant>

namespace plantaintally
{

namespace
{

constexpr duration max_timeout = std::chrono::seconds(16);

} // namespace

duration begin_patient_call(patient_calls& calls,
                            store_call_id call,
                            duration usual_timeout,
                            instant now)
{
    duration const timeout = std::max(usual_timeout, calls.min_timeout);
    calls.pending[call] = {now, usual_timeout, timeout};
    return timeout;
}

bool note_call_result(patient_calls& calls,
                      store_call_id call,
                      store_result const& result,
                      instant now)
{
    auto const found = calls.pending.find(call);
    if (found == calls.pending.end())
    {
        return false;
    }
    patient_call const ended = found->second;
    calls.pending.erase(found);
    duration const elapsed = now - ended.begun;
    bool const is_answer = !std::holds_alternative<store_unavailable>(result);
    // A call that fails earlier was rejected, or its connection was closed.
    bool const is_timed_out = !is_answer && elapsed >= ended.timeout;
    if (is_answer || is_timed_out)
    {
        calls.min_timeout = std::min(2 * elapsed, max_timeout);
    }
    return is_timed_out;
}

std::vector<store_call_id>
take_overtaken_calls(patient_calls& calls, store_call_id answered, instant now)
{
    std::vector<store_call_id> overtaken;
    std::erase_if(calls.pending,
                  [&](auto const& entry)
                  {
                      auto const& [call, pending] = entry;
                      duration const patience =
                          std::max(pending.usual_timeout, pending.timeout / 2);
                      bool const is_lost =
                          call < answered && now - pending.begun > patience;
                      if (is_lost)
                      {
                          overtaken.push_back(call);
                      }
                      return is_lost;
                  });
    return overtaken;
}

} // namespace plantaintally
