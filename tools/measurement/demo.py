"""The demo: a Sunday sign-up surge on the ch-mitte deployment."""

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
PHASE_SECONDS = (8, 10, 10)
MAX_TIMELINE_LINES = 25
# Nodes keep the time line entries of only the last few seconds.
RETENTION_S = 3
DEFAULT_BASE_PORT = 20000


def _show(fleet, title, command, max_lines=None):
    print(f"\n$ plantaintallyctl {command}    # {title}")
    _, output = fleet.run_command(command)
    output_lines = output.rstrip().splitlines()
    print("\n".join(output_lines[:max_lines]))
    if max_lines and len(output_lines) > max_lines:
        print(f"... {len(output_lines) - max_lines} more lines")


def _recent_booking(load):
    """Returns the id of the recent booking with the most attempts, or None."""
    recent_bookings = [r for r in load.records if r["class"] == "booking"
                       and r["end"] == "whole"
                       and r["end_ms"] / 1000 > load.run_s - RETENTION_S]
    if not recent_bookings:
        return None
    return max(recent_bookings,
               key=lambda record: record["attempts"])["request"]


def _run(context):
    deployment = context.deployment("ch-mitte")
    print(f"Starting the platform, {len(deployment.upstreams())} upstreams "
          "and their nodes ...")
    with context.fleet(deployment, "demo") as fleet:
        fleet.start()
        fleet.load_ranks()
        _show(fleet, "the operators' ranks", "show ranks")
        print(f"\nSign-ups: {PHASE_SECONDS[0]} s of normal traffic, a surge "
              f"of {PHASE_SECONDS[1]} s with aggressive retries while "
              f"concert-desk is {surge.SLOW_FACTOR} times slower, and "
              f"{PHASE_SECONDS[2]} s of normal traffic ...",
              flush=True)
        load, capacity = surge.run_load(fleet, context.seed, PHASE_SECONDS)
        result = context.result("surge")
        surge.add_figures(result, load, capacity)
        results.print_table([result])
        _show(fleet, "what the nodes did", "show work last 60s")
        request = _recent_booking(load)
        if request:
            _show(fleet, "one booking, across all processes",
                  f"why {request}", MAX_TIMELINE_LINES)
        else:
            _show(fleet, "the time line of all processes",
                  "show timeline last 30s", MAX_TIMELINE_LINES)
        chart.write_svg([result], context.out / "demo.svg")
    print("\nAll processes are stopped. Logs and a chart are in "
          f"{context.out}.")


def main():
    """Runs the demo; stops all processes that it started, also on Ctrl-C."""
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
        print("\nInterrupted; all processes are stopped.", file=sys.stderr)
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
