"""Calculates figures from a caller's records and the upstreams' effects."""

BUCKET_S = 0.5
# Length of the window in which service must be back to normal, in buckets.
RECOVERY_BUCKETS = 4
RECOVERY_SHARE = 0.95


def percentile(values, fraction):
    """Returns the value below which this fraction of the values lies; 0 if
    there are no values."""
    if not values:
        return 0.0
    ordered_values = sorted(values)
    return ordered_values[min(len(ordered_values) - 1,
                              int(fraction * len(ordered_values)))]


def is_timely(record, timeouts_ms):
    """Returns True if the request, with its retries, got a complete answer
    within the timeout of its class."""
    span = record["end_ms"] - record["start_ms"]
    return record["end"] == "whole" and span <= timeouts_ms[record["class"]]


def records_in_span(records, start_s, end_s, key="start_ms"):
    """Returns the records whose time `key` lies in the span of seconds."""
    return [r for r in records if start_s <= r[key] / 1000 < end_s]


def goodput(records, timeouts_ms, start_s, end_s, classes=None):
    """Returns the complete, timely answers a second that ended in the span."""
    timely = [r for r in records_in_span(records, start_s, end_s, "end_ms")
              if is_timely(r, timeouts_ms)
              and (classes is None or r["class"] in classes)]
    return len(timely) / (end_s - start_s)


def served_share(records, timeouts_ms, start_s, end_s, classes=None):
    """Returns the share of the requests that began in the span and got a
    complete, timely answer; None if none began."""
    started = [r for r in records_in_span(records, start_s, end_s)
               if classes is None or r["class"] in classes]
    if not started:
        return None
    return sum(is_timely(r, timeouts_ms) for r in started) / len(started)


def recovery_s(records, timeouts_ms, before, trigger_end_s, run_end_s):
    """Returns the seconds from the trigger's end until service is normal.

    Service is normal at the start of the first window of RECOVERY_BUCKETS
    buckets in which the served share of the requests that begin is at least
    RECOVERY_SHARE of the served share before the trigger. Returns None if
    service does not recover in this run.
    """
    normal_share = served_share(records, timeouts_ms, *before)
    if not normal_share:
        return None
    start = trigger_end_s
    window_s = RECOVERY_BUCKETS * BUCKET_S
    while start + window_s <= run_end_s:
        share = served_share(records, timeouts_ms, start, start + window_s)
        if share is not None and share >= RECOVERY_SHARE * normal_share:
            return start - trigger_end_s
        start += BUCKET_S
    return None


def goodput_series(records, timeouts_ms, run_s):
    """Returns the goodput by class, as a list of answers a second with one
    value per bucket."""
    bucket_count = int(run_s / BUCKET_S) + 1
    series = {}
    for record in records:
        values = series.setdefault(record["class"], [0.0] * bucket_count)
        index = int(record["end_ms"] / 1000 / BUCKET_S)
        if is_timely(record, timeouts_ms) and index < bucket_count:
            values[index] += 1 / BUCKET_S
    return series


def max_and_mean_attempts(summary):
    """Returns the largest number of attempts reported on one answer, and the
    mean number of attempts per request."""
    max_attempts = 0
    total = 0.0
    requests = 0
    for values in summary["classes"].values():
        max_attempts = max(max_attempts, values["attempts_max"])
        total += values["attempts_mean"] * values["offered"]
        requests += values["offered"]
    return max_attempts, total / max(1, requests)


def count_verdict_errors(records, effects, services):
    """Counts duplicated effects, false not-runs and lost effects.

    `effects` holds the number of effects by (service, key), `services` the
    service of each class. A false not-run is a request that had an effect
    although its last verdict was not-run. A lost effect is a request that got
    a complete answer but had no effect.
    """
    result = {"duplicated_effects": sum(n - 1 for n in effects.values()),
              "false_not_runs": 0, "lost_effects": 0}
    for record in records:
        if not record["key"]:
            continue
        has_effect = (services[record["class"]], record["key"]) in effects
        if record["verdict"] == "not-run" and has_effect:
            result["false_not_runs"] += 1
        if record["end"] == "whole" and not has_effect:
            result["lost_effects"] += 1
    return result
