"""The options of a run, its load, and the figures common to the scenarios."""

import dataclasses
import pathlib
import time

from measurement import analysis
from measurement import deployment as deployments
from measurement.fleet import Fleet
from measurement.results import Result

# The largest attempt budget of the operators' ranks: the number of times that
# each call of a chain may be executed.
ATTEMPT_BUDGET = 3
# Time for requests that are in flight at the end of the last phase.
CALLER_GRACE_S = 30
AGGRESSIVE_RETRY = {"limit": 3, "backoff_ms": 50, "keeps_key": True,
                    "changes_entrance": True}


@dataclasses.dataclass(frozen=True)
class Context:
    """The options of one run."""

    root: pathlib.Path
    build: pathlib.Path
    out: pathlib.Path
    seed: int
    base_port: int
    policies: str = "on"
    nodes: int = 13

    def result(self, scenario):
        """Returns an empty result for this run."""
        return Result(scenario, self.seed, self.policies)

    def deployment(self, name, slot_scale=1.0):
        """Reads a deployment from deploy/."""
        return deployments.load(self.root / "deploy" / name, self.base_port,
                                slot_scale)

    def fleet(self, deployment, name="fleet"):
        """Returns a fleet that is not started yet; deletes the effect logs of
        earlier runs."""
        overrides = {"measure": {"policies": self.policies},
                     "log": {"level": "warning"}}
        out = self.out / f"{name}-{self.policies}"
        for old in out.glob("*.effects"):
            old.unlink()
        return Fleet(deployment, self.build, out, self.seed, overrides)


@dataclasses.dataclass(frozen=True)
class Phase:
    """A period with constant request rates: requests a second by class."""

    name: str
    seconds: float
    rates: dict


class Load:
    """Traffic in phases against a running fleet, with timed actions."""

    def __init__(self, fleet, seed, phases, retry=None, classes=None,
                 name="caller"):
        self.fleet = fleet
        self.phases = phases
        self.name = name
        self.classes = classes or fleet.deployment.classes
        # A later answer is not timely, even if the caller still accepts it.
        self.timeouts_ms = {
            c["name"]: max(c["timeout_ms"], c.get("deadline_ms", 0))
            for c in self.classes}
        self.services = {c["name"]: c["service"] for c in self.classes}
        self.summary = None
        self.records = []
        self._plan = {
            "seed": seed, "classes": self.classes,
            "latency_ms": fleet.deployment.caller_latency_ms,
            "retry": AGGRESSIVE_RETRY if retry is None else retry,
            "phases": [dataclasses.asdict(phase) for phase in phases]}

    @property
    def run_s(self):
        """The total length of all phases, in seconds."""
        return sum(phase.seconds for phase in self.phases)

    def span(self, name):
        """Returns (start, end) of a phase, in seconds since the start."""
        start = 0.0
        for phase in self.phases:
            if phase.name == name:
                return start, start + phase.seconds
            start += phase.seconds
        raise KeyError(name)

    def run(self, actions=(), entrances=None):
        """Runs the traffic; `actions` are pairs (seconds, callable), called at
        that time after the start."""
        self.start(entrances)
        start_s = time.monotonic()
        for at_s, action in sorted(actions, key=lambda entry: entry[0]):
            time.sleep(max(0.0, start_s + at_s - time.monotonic()))
            action()
        self.finish()

    def start(self, entrances=None):
        """Starts the traffic and returns without waiting for its end."""
        self.fleet.start_caller(self._plan, entrances, self.name)

    def finish(self):
        """Waits for the end of the traffic and reads the caller's results."""
        self.summary, self.records = self.fleet.finish_caller(
            self.run_s + CALLER_GRACE_S, self.name)

    def goodput(self, phase, classes=None):
        """Returns the complete, timely answers a second in a phase."""
        return analysis.goodput(self.records, self.timeouts_ms,
                                *self.span(phase), classes)

    def served_share(self, phase, classes=None):
        """Returns the share of the requests of a phase that were served."""
        return analysis.served_share(self.records, self.timeouts_ms,
                                     *self.span(phase), classes)

    def recovery_s(self, before, trigger):
        """Returns the seconds from the end of the trigger phase until service
        is as in the phase `before`."""
        return analysis.recovery_s(
            self.records, self.timeouts_ms, self.span(before),
            self.span(trigger)[1], self.run_s)

    def interrupted(self):
        """Returns the number of tries that were sent and whose connection
        failed before an answer."""
        return sum(c["interrupted"] for c in self.summary["classes"].values())

    def refusal_reasons(self):
        """Returns the number of refused requests by reason and class."""
        reasons = {}
        for request_class, values in self.summary["classes"].items():
            for reason, count in values["reasons"].items():
                reasons[f"{reason}, {request_class}"] = count
        return reasons

    def wrong_answers(self):
        """Returns the number of answers that were truncated, damaged or
        belonged to another request."""
        return sum(c["wrong_answers"]
                   for c in self.summary["classes"].values())


def _longest_chain(load):
    deployment = load.fleet.deployment
    return max(deployment.chain_calls(request_class["service"],
                                      request_class["path"])
               for request_class in load.classes)


def add_common_figures(result, load):
    """Adds the figures that all scenarios under load have in common."""
    errors = analysis.count_verdict_errors(
        load.records, load.fleet.count_effects(), load.services)
    max_attempts, mean_attempts = analysis.max_and_mean_attempts(load.summary)
    result.add("requests", len(load.records))
    result.add("attempts, most on one answer", max_attempts, "",
               ("<=", ATTEMPT_BUDGET * _longest_chain(load)))
    result.add("attempts, mean a request", mean_attempts)
    result.add("duplicated effects", errors["duplicated_effects"], "",
               ("<=", 0))
    result.add("false not-runs", errors["false_not_runs"], "", ("<=", 0))
    result.add("lost effects", errors["lost_effects"], "", ("<=", 0))
    result.add("wrong answers", load.wrong_answers(), "", ("<=", 0))
    result.add("interrupted tries", load.interrupted())
    for name, count in sorted(load.refusal_reasons().items()):
        result.add(f"ended by {name}", count)
    result.series = analysis.goodput_series(load.records, load.timeouts_ms,
                                            load.run_s)


def add_served_shares(result, load, phase, targets=None):
    """Adds the served share of each class in a phase. `targets` maps class
    names to targets."""
    for request_class in load.classes:
        share = load.served_share(phase, {request_class["name"]})
        if share is not None:
            result.add(f"served {request_class['name']}, {phase}", share, "",
                       (targets or {}).get(request_class["name"]))
