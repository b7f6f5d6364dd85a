"""Figures from the records of a caller and the effects of the upstreams."""

BUCKET_S = 0.5
# A window of this many buckets judges whether goodput has recovered.
RECOVERY_BUCKETS = 4
RECOVERY_SHARE = 0.95


def percentile(values, share):
    """The value below which this share of the values lies; 0 if none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def is_timely(record, timeouts_ms):
    """True if the whole answer came within the time of a single try."""
    span = record["end_ms"] - record["start_ms"]
    return record["end"] == "whole" and span <= timeouts_ms[record["class"]]


def in_span(records, start_s, end_s, key="start_ms"):
    """The records whose time lies in the span of seconds."""
    return [r for r in records if start_s <= r[key] / 1000 < end_s]


def goodput(records, timeouts_ms, start_s, end_s, classes=None):
    """Whole, timely answers a second that ended in the span."""
    timely = [r for r in in_span(records, start_s, end_s, "end_ms")
              if is_timely(r, timeouts_ms)
              and (classes is None or r["class"] in classes)]
    return len(timely) / (end_s - start_s)


def served_share(records, timeouts_ms, start_s, end_s, classes=None):
    """Share of the requests that began in the span and were served."""
    begun = [r for r in in_span(records, start_s, end_s)
             if classes is None or r["class"] in classes]
    if not begun:
        return None
    return sum(is_timely(r, timeouts_ms) for r in begun) / len(begun)


def recovery_s(records, timeouts_ms, before, trigger_end_s, run_end_s):
    """Seconds from the trigger's end until service is as before.

    Service is as before from the first bucket on after which, for a window of
    RECOVERY_BUCKETS, the served share of the requests that begin is at least
    RECOVERY_SHARE of the share before the trigger. None: not in this run.
    """
    normal = served_share(records, timeouts_ms, *before)
    if not normal:
        return None
    start = trigger_end_s
    window_s = RECOVERY_BUCKETS * BUCKET_S
    while start + window_s <= run_end_s:
        share = served_share(records, timeouts_ms, start, start + window_s)
        if share is not None and share >= RECOVERY_SHARE * normal:
            return start - trigger_end_s
        start += BUCKET_S
    return None


def goodput_series(records, timeouts_ms, run_s):
    """Goodput by class: a list of answers a second, one for each bucket."""
    count = int(run_s / BUCKET_S) + 1
    series = {}
    for record in records:
        values = series.setdefault(record["class"], [0.0] * count)
        index = int(record["end_ms"] / 1000 / BUCKET_S)
        if is_timely(record, timeouts_ms) and index < count:
            values[index] += 1 / BUCKET_S
    return series


def attempts(summary):
    """(largest number of attempts reported on one answer, mean a request)."""
    most = 0
    total = 0.0
    requests = 0
    for values in summary["classes"].values():
        most = max(most, values["attempts_max"])
        total += values["attempts_mean"] * values["offered"]
        requests += values["offered"]
    return most, total / max(1, requests)


def verdict_faults(records, effects, services):
    """Duplicated effects, false not-runs and lost effects.

    `effects` counts by (service, key); `services` gives a class's service. A
    false not-run is a request whose last word to the caller was not-run
    although it took effect; a lost effect is one with a whole answer but no
    effect.
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
