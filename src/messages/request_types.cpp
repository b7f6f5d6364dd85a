#include "messages/request_types.hpp"

namespace plantaintally
{

std::string_view to_string(attempt_failure failure)
{
    switch (failure)
    {
    case attempt_failure::connect_refused:
        return "connect-refused";
    case attempt_failure::connection_limit:
        return "connection-limit";
    case attempt_failure::closed_before_write:
        return "closed-before-write";
    case attempt_failure::closed_after_write:
        return "closed-after-write";
    case attempt_failure::timed_out:
        return "timed-out";
    case attempt_failure::incomplete_answer:
        return "incomplete-answer";
    case attempt_failure::malformed_answer:
        return "malformed-answer";
    case attempt_failure::cancelled:
        return "cancelled";
    }
    return "cancelled";
}

} // namespace plantaintally
