"""What a scenario is run with, and the load that it shares with others."""

import dataclasses
import pathlib
import time

from measurement import analysis
from measurement import deployment as deployments
from measurement.fleet import Fleet
from measurement.results import Result

# The largest attempt budget of the operators' ranks: how often any one call
# of a chain may be executed.
ATTEMPT_BUDGET = 3
# Time for requests in flight at the end of the last phase.
CALLER_GRACE_S = 30
HARD_RETRY = {"limit": 3, "backoff_ms": 50, "keeps_key": True,
              "changes_entrance": True}


@dataclasses.dataclass(frozen=True)
class Context:
    """Options of one run."""

    root: pathlib.Path
    build: pathlib.Path
    out: pathlib.Path
    seed: int
    base_port: int
    policies: str = "on"
    nodes: int = 13

    def result(self, scenario):
        """An empty result for this run."""
        return Result(scenario, self.seed, self.policies)

    def deployment(self, name, slot_scale=1.0):
        """A deployment of deploy/."""
        return deployments.load(self.root / "deploy" / name, self.base_port,
                                slot_scale)

    def fleet(self, deployment, name="fleet"):
        """A fleet that is not yet started."""
        overrides = {"measure": {"policies": self.policies},
                     "log": {"level": "warning"}}
        out = self.out / f"{name}-{self.policies}"
        for old in out.glob("*.effects"):
            old.unlink()
        return Fleet(deployment, self.build, out, self.seed, overrides)


@dataclasses.dataclass(frozen=True)
class Phase:
    """Traffic for a time: requests a second by class."""

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
        # An answer after this time is late, whatever the caller's patience.
        self.timeouts_ms = {
            c["name"]: max(c["timeout_ms"], c.get("deadline_ms", 0))
            for c in self.classes}
        self.services = {c["name"]: c["service"] for c in self.classes}
        self.summary = None
        self.records = []
        self._plan = {
            "seed": seed, "classes": self.classes,
            "latency_ms": fleet.deployment.caller_latency_ms,
            "retry": HARD_RETRY if retry is None else retry,
            "phases": [dataclasses.asdict(phase) for phase in phases]}

    @property
    def run_s(self):
        """Length of all phases."""
        return sum(phase.seconds for phase in self.phases)

    def span(self, name):
        """(start, end) of a phase in seconds."""
        start = 0.0
        for phase in self.phases:
            if phase.name == name:
                return start, start + phase.seconds
            start += phase.seconds
        raise KeyError(name)

    def run(self, actions=(), entrances=None):
        """Runs the traffic; actions are (seconds, callable), in order."""
        self.start(entrances)
        began = time.monotonic()
        for at_s, action in sorted(actions, key=lambda entry: entry[0]):
            time.sleep(max(0.0, began + at_s - time.monotonic()))
            action()
        self.finish()

    def start(self, entrances=None):
        """Starts the traffic without waiting for its end."""
        self.fleet.start_caller(self._plan, entrances, self.name)

    def finish(self):
        """Waits for the end of the traffic and reads what the caller saw."""
        self.summary, self.records = self.fleet.finish_caller(
            self.run_s + CALLER_GRACE_S, self.name)

    def goodput(self, phase, classes=None):
        """Whole, timely answers a second in a phase."""
        return analysis.goodput(self.records, self.timeouts_ms,
                                *self.span(phase), classes)

    def served(self, phase, classes=None):
        """Share of the requests of a phase that were served."""
        return analysis.served_share(self.records, self.timeouts_ms,
                                     *self.span(phase), classes)

    def recovery_s(self, before, trigger):
        """Seconds from the trigger phase's end until service is as before."""
        return analysis.recovery_s(
            self.records, self.timeouts_ms, self.span(before),
            self.span(trigger)[1], self.run_s)

    def interrupted(self):
        """Tries that ended without an answer although they were sent."""
        return sum(c["interrupted"] for c in self.summary["classes"].values())

    def refusal_reasons(self):
        """Number of requests that ended with each class and reason."""
        reasons = {}
        for kind, values in self.summary["classes"].items():
            for reason, count in values["reasons"].items():
                reasons[f"{reason}, {kind}"] = count
        return reasons

    def wrong_answers(self):
        """Answers that were not the whole answer to their request."""
        return sum(c["wrong_answers"]
                   for c in self.summary["classes"].values())


def _longest_chain(load):
    deployment = load.fleet.deployment
    return max(deployment.chain_calls(kind["service"], kind["path"])
               for kind in load.classes)


def add_common(result, load):
    """Adds the figures that every scenario under load has."""
    faults = analysis.verdict_faults(load.records, load.fleet.effects(),
                                     load.services)
    most, mean = analysis.attempts(load.summary)
    result.add("requests", len(load.records))
    result.add("attempts, most on one answer", most, "",
               ("<=", ATTEMPT_BUDGET * _longest_chain(load)))
    result.add("attempts, mean a request", mean)
    result.add("duplicated effects", faults["duplicated_effects"], "",
               ("<=", 0))
    result.add("false not-runs", faults["false_not_runs"], "", ("<=", 0))
    result.add("lost effects", faults["lost_effects"], "", ("<=", 0))
    result.add("wrong answers", load.wrong_answers(), "", ("<=", 0))
    result.add("interrupted tries", load.interrupted())
    for name, count in sorted(load.refusal_reasons().items()):
        result.add(f"ended by {name}", count)
    result.series = analysis.goodput_series(load.records, load.timeouts_ms,
                                            load.run_s)


def add_served(result, load, phase, targets=None):
    """Adds the served share of each class in a phase."""
    for kind in load.classes:
        share = load.served(phase, {kind["name"]})
        if share is not None:
            result.add(f"served {kind['name']}, {phase}", share, "",
                       (targets or {}).get(kind["name"]))
