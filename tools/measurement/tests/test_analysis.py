"""Tests of measurement.analysis and measurement.results."""

import unittest

from measurement import analysis
from measurement.results import Figure

TIMEOUTS = {"book": 1000}


def record(start_s, end_s, end="whole", verdict="ran", key=""):
    """A caller's record of one request."""
    return {"class": "book", "start_ms": start_s * 1000,
            "end_ms": end_s * 1000, "end": end, "verdict": verdict,
            "key": key}


class GoodputTest(unittest.TestCase):
    """Goodput counts only complete and timely answers."""

    def test_late_and_failed_answers_are_not_goodput(self):
        """A late answer and a refusal are not counted."""
        records = [record(0, 0.5), record(0, 1.5), record(0, 0.5, "refused")]
        self.assertEqual(analysis.goodput(records, TIMEOUTS, 0, 2), 0.5)

    def test_served_share_is_of_the_requests_that_began(self):
        """Requests that began outside the span are ignored."""
        records = [record(0, 0.5), record(0, 2, "refused"), record(5, 5.1)]
        self.assertEqual(
            analysis.served_share(records, TIMEOUTS, 0, 1), 0.5)


class RecoveryTest(unittest.TestCase):
    """Recovery is the time until the served share is back to normal."""

    @staticmethod
    def _run(bad_until_s):
        return [record(t / 10, t / 10 + 0.1,
                       "refused" if 5 <= t / 10 < bad_until_s else "whole")
                for t in range(200)]

    def test_service_that_never_fell_recovers_at_once(self):
        """Without failures after the trigger the recovery time is zero."""
        self.assertEqual(analysis.recovery_s(
            self._run(5), TIMEOUTS, (0, 5), 10, 20), 0)

    def test_overload_that_outlasts_its_trigger_is_counted(self):
        """Failures go on for three seconds after the end of the trigger."""
        self.assertEqual(analysis.recovery_s(
            self._run(13), TIMEOUTS, (0, 5), 10, 20), 3)

    def test_no_recovery_in_the_run_is_none(self):
        """Requests still fail at the end of the run."""
        self.assertIsNone(analysis.recovery_s(
            self._run(20), TIMEOUTS, (0, 5), 10, 20))


class VerdictTest(unittest.TestCase):
    """Verdicts are compared with the effects recorded by the upstreams."""

    def test_each_kind_of_fault_is_found(self):
        """One duplicated effect, one false not-run and one lost effect."""
        records = [record(0, 1, key="twice"),
                   record(0, 1, "refused", "not-run", key="ran"),
                   record(0, 1, "refused", "not-run", key="not-run"),
                   record(0, 1, "refused", "may-have-run", key="maybe"),
                   record(0, 1, key="lost")]
        effects = {("s", "twice"): 2, ("s", "ran"): 1, ("s", "maybe"): 1,
                   ("other", "not-run"): 1}
        self.assertEqual(
            analysis.count_verdict_errors(records, effects, {"book": "s"}),
            {"duplicated_effects": 1, "false_not_runs": 1,
             "lost_effects": 1})


class TargetTest(unittest.TestCase):
    """A figure is compared with its target."""

    def test_judgements(self):
        """Target met, target missed, value missing, and no target."""
        self.assertEqual(Figure("a", 4, "s", ("<=", 5)).judgement(), "met")
        self.assertEqual(Figure("a", 4, "", (">=", 5)).judgement(), "MISSED")
        self.assertEqual(Figure("a", None, "", ("<=", 5)).judgement(),
                         "MISSED")
        self.assertEqual(Figure("a", 4).judgement(), "")


if __name__ == "__main__":
    unittest.main()
