// The verdict: whether a request may have taken effect at an upstream.
#pragma once

#include <string_view>

namespace plantaintally
{

// What is known about the execution of a request.
enum class verdict
{
    // A whole answer of the upstream was read.
    ran,
    // No byte of the request can have reached an upstream's handler, or the
    // upstream itself refused before running it.
    not_run,
    // Anything in between: the request may or may not have been executed.
    may_have_run
};

// The name used in headers, logs and traces: "ran", "not-run", "may-have-run".
std::string_view to_string(verdict value);

// Verdict of a hop that failed with `own` after one of its downstream calls
// ended with `downstream`. A hop whose downstream may have run something can't
// itself say not_run.
verdict fold_downstream(verdict own, verdict downstream);

// Why a node refused a request or gave up on it.
enum class refusal
{
    overload,
    shed_at_source,
    deadline_unreachable,
    deadline_passed,
    draining,
    no_upstream,
    queue_full,
    budget_exhausted,
    key_history_unknown,
    key_too_old,
    key_table_full,
    key_home_fenced,
    not_key_home,
    attempt_failed,
    incomplete_answer,
    bad_request,
    too_large,
    caller_gone,
    no_route
};

// The name used in problem bodies, logs and metrics, in kebab case.
std::string_view to_string(refusal value);

} // namespace plantaintally
