"""The command line of tools/measure."""

import argparse
import dataclasses
import pathlib
import sys
import tempfile

from measurement import chart, results
from measurement.context import Context
from measurement.fleet import FleetError
from measurement.processes import raise_on_signals
from measurement.scenarios import costs, failures, flood, planned, surge

SCENARIOS = {
    "surge": surge.surge,
    "flood-low": flood.flood_low,
    "flood-high": flood.flood_high,
    "crash": failures.crash,
    "store-outage": failures.store_outage,
    "pause": failures.pause,
    "drain": planned.drain,
    "config": planned.config,
    "latency": costs.latency,
    "throughput": costs.throughput,
    "memory": costs.memory,
    "fleet": costs.fleet_size,
    "slopes": costs.slopes,
}
DEFAULT_BASE_PORT = 21000


def _parse(arguments):
    parser = argparse.ArgumentParser(
        prog="tools/measure", description="Measures the daemon with real "
        "processes on loopback. A missed target is reported but is not an "
        "error; not part of CI.")
    parser.add_argument("scenario", choices=sorted(SCENARIOS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=pathlib.Path,
                        help="folder for JSON, SVG and logs")
    parser.add_argument("--baseline", action="store_true",
                        help="also run with all policies off")
    parser.add_argument("--nodes", type=int, default=13,
                        help="fleet: number of nodes, at most 100")
    parser.add_argument("--build", type=pathlib.Path, default="build")
    parser.add_argument("--base_port", type=int, default=DEFAULT_BASE_PORT)
    options = parser.parse_args(arguments)
    if not 1 <= options.nodes <= 100:
        parser.error("--nodes must be between 1 and 100")
    return options


def _run(options, root):
    out = options.out or pathlib.Path(tempfile.mkdtemp(prefix="measure-"))
    out.mkdir(parents=True, exist_ok=True)
    context = Context(root, options.build, out, options.seed,
                      options.base_port, nodes=options.nodes)
    scenario = SCENARIOS[options.scenario]
    runs = [scenario(context)]
    if options.baseline:
        runs.append(scenario(dataclasses.replace(context, policies="off")))
    results.print_table(runs)
    results.write_json(runs, out / f"{options.scenario}.json")
    chart.write_svg(runs, out / f"{options.scenario}.svg")
    print(f"results are in {out}")


def main(root):
    """Runs one scenario and returns the exit code.

    A missed target is not an error; the code is nonzero only if the scenario
    could not be run or was interrupted."""
    options = _parse(sys.argv[1:])
    raise_on_signals()
    try:
        _run(options, root)
    except (FleetError, FileNotFoundError) as failure:
        print(f"tools/measure: {failure}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        print("tools/measure: interrupted", file=sys.stderr)
        return 130
    return 0
