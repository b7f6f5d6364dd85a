#include "base/verdict.hpp"

namespace plantaintally
{

std::string_view to_string(verdict value)
{
    switch (value)
    {
    case verdict::ran:
        return "ran";
    case verdict::not_run:
        return "not-run";
    case verdict::may_have_run:
        return "may-have-run";
    }
    return "may-have-run";
}

verdict fold_downstream(verdict own, verdict downstream)
{
    if (own == verdict::not_run && downstream != verdict::not_run)
    {
        return verdict::may_have_run;
    }
    return own;
}

std::string_view to_string(refusal value)
{
    switch (value)
    {
    case refusal::overload:
        return "overload";
    case refusal::shed_at_source:
        return "shed-at-source";
    case refusal::deadline_unreachable:
        return "deadline-unreachable";
    case refusal::deadline_passed:
        return "deadline-passed";
    case refusal::draining:
        return "draining";
    case refusal::no_upstream:
        return "no-upstream";
    case refusal::queue_full:
        return "queue-full";
    case refusal::budget_exhausted:
        return "budget-exhausted";
    case refusal::key_history_unknown:
        return "key-history-unknown";
    case refusal::key_too_old:
        return "key-too-old";
    case refusal::key_table_full:
        return "key-table-full";
    case refusal::key_home_fenced:
        return "key-home-fenced";
    case refusal::not_key_home:
        return "not-key-home";
    case refusal::attempt_failed:
        return "attempt-failed";
    case refusal::incomplete_answer:
        return "incomplete-answer";
    case refusal::bad_request:
        return "bad-request";
    case refusal::too_large:
        return "too-large";
    case refusal::caller_gone:
        return "caller-gone";
    case refusal::no_route:
        return "no-route";
    }
    return "overload";
}

} // namespace plantaintally
