// Verdicts, which state whether a request may have been executed by an
// upstream, and the reasons for refusing a request.
#pragma once

#include <string_view>

namespace plantaintally
{

// What is known about the execution of a request.
enum class verdict
{
    // A complete answer from the upstream was read.
    ran,
    // No byte of the request can have reached an upstream's handler, or the
    // upstream refused the request without running it.
    not_run,
    // Neither is certain: the request may or may not have been executed.
    may_have_run
};

// Returns the name used in headers, logs and traces: "ran", "not-run" or
// "may-have-run".
std::string_view to_string(verdict value);

// Combines the verdict of a hop with that of one of its downstream calls. A hop
// can't report not_run if the downstream call ran or may have run.
verdict fold_downstream(verdict own, verdict downstream);

// Why a node refused or abandoned a request.
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

// Returns the name used in problem bodies, logs and metrics, in kebab case.
std::string_view to_string(refusal value);

} // namespace plantaintally
