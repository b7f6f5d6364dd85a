"""The demo: the ch-mitte deployment through a Sunday sign-up surge."""

import argparse
import pathlib
import sys
import tempfile

from measurement import chart, results
from measurement.context import Context
from measurement.fleet import FleetError
from measurement.processes import raise_on_signals
from measurement.scenarios import surge

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PHASE_S = (8, 10, 10)
TIMELINE_LINES = 25
# Nodes keep the entries of about the last seconds.
RECENT_S = 3
DEFAULT_BASE_PORT = 20000


def _show(fleet, title, command, lines=None):
    print(f"\n$ plantaintallyctl {command}    # {title}")
    _, output = fleet.command(command)
    shown = output.rstrip().splitlines()
    print("\n".join(shown[:lines]))
    if lines and len(shown) > lines:
        print(f"... {len(shown) - lines} more lines")


def _recent_booking(load):
    """The id of a late booking that took the most executions, or None."""
    recent = [r for r in load.records if r["class"] == "booking"
              and r["end"] == "whole"
              and r["end_ms"] / 1000 > load.run_s - RECENT_S]
    if not recent:
        return None
    return max(recent, key=lambda record: record["attempts"])["request"]


def _run(context):
    deployment = context.deployment("ch-mitte")
    print(f"Starting the platform, {len(deployment.upstreams())} upstreams "
          "and their nodes ...")
    with context.fleet(deployment, "demo") as fleet:
        fleet.start()
        fleet.load_ranks()
        _show(fleet, "the operators' ranks", "show ranks")
        print(f"\nSign-ups: {PHASE_S[0]} s of normal traffic, a surge of "
              f"{PHASE_S[1]} s with hard retries while concert-desk is "
              f"{surge.SLOW_FACTOR} times slower, {PHASE_S[2]} s after it ...",
              flush=True)
        load, capacity = surge.run_load(fleet, context.seed, PHASE_S)
        result = context.result("surge")
        surge.fill(result, load, capacity)
        results.print_table([result])
        _show(fleet, "what the nodes did", "show work last 60s")
        request = _recent_booking(load)
        if request:
            _show(fleet, "one booking, over all processes",
                  f"why {request}", TIMELINE_LINES)
        else:
            _show(fleet, "the time line of all processes",
                  "show timeline last 30s", TIMELINE_LINES)
        chart.write_svg([result], context.out / "demo.svg")
    print(f"\nEverything is stopped. Logs and a plot are in {context.out}.")


def main():
    """Runs the demo; everything started is ended, also on Ctrl-C."""
    parser = argparse.ArgumentParser(prog="tools/demo")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=pathlib.Path)
    parser.add_argument("--base_port", type=int, default=DEFAULT_BASE_PORT)
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    options = parser.parse_args()
    raise_on_signals()
    out = options.out or pathlib.Path(tempfile.mkdtemp(prefix="demo-"))
    out.mkdir(parents=True, exist_ok=True)
    context = Context(ROOT, options.build, out, options.seed,
                      options.base_port)
    try:
        _run(context)
    except FleetError as failure:
        print(f"tools/demo: {failure}; logs are in {out}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        print("\nStopped; everything started is ended.", file=sys.stderr)
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
