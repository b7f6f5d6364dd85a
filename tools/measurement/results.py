"""The results of a scenario: figures with targets, as a table and as JSON."""

import dataclasses
import json


@dataclasses.dataclass
class Figure:
    """One measured value; `target` is a (comparison, bound) or None."""

    name: str
    value: object
    unit: str = ""
    target: tuple = None

    def judgement(self):
        """Returns "met" or "MISSED"; "" if there is no target."""
        if self.target is None:
            return ""
        comparison, bound = self.target
        if self.value is None:
            return "MISSED"
        is_met = (self.value <= bound if comparison == "<="
                  else self.value >= bound)
        return "met" if is_met else "MISSED"

    def target_text(self):
        """Formats the target for printing."""
        return "" if self.target is None else f"{self.target[0]} " \
            f"{format_value(self.target[1])}"


@dataclasses.dataclass
class Result:
    """The figures of one run of a scenario."""

    scenario: str
    seed: int
    policies: str
    figures: list = dataclasses.field(default_factory=list)
    # Goodput over time by class, for the chart.
    series: dict = dataclasses.field(default_factory=dict)
    # Events as (seconds, label), for the chart.
    marks: list = dataclasses.field(default_factory=list)

    def add(self, name, value, unit="", target=None):
        """Adds a figure."""
        self.figures.append(Figure(name, value, unit, target))

    def value(self, name):
        """Returns the value of a figure; None if it does not exist."""
        return next((f.value for f in self.figures if f.name == name), None)

    def to_json(self):
        """Converts the result to data that the json module can write."""
        figures = [{"name": f.name, "value": f.value, "unit": f.unit,
                    "target": f.target_text(), "judgement": f.judgement()}
                   for f in self.figures]
        return {"scenario": self.scenario, "seed": self.seed,
                "policies": self.policies, "figures": figures,
                "series": self.series, "marks": self.marks}


def format_value(value):
    """Formats a value for printing."""
    if value is None:
        return "not in this run"
    if isinstance(value, float):
        return f"{value:.3f}" if abs(value) < 10 else f"{value:.1f}"
    return str(value)


def print_table(results):
    """Prints the runs of a scenario side by side, with the first's targets."""
    first = results[0]
    print(f"\n{first.scenario}, seed {first.seed}")
    headings = ["figure"] + [f"policies {r.policies}" for r in results]
    rows = [headings + ["unit", "target", ""]]
    for figure in first.figures:
        values = [format_value(r.value(figure.name)) for r in results]
        rows.append([figure.name] + values + [
            figure.unit, figure.target_text(), figure.judgement()])
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        print("  ".join(cells).rstrip())


def write_json(results, path):
    """Writes the results of a scenario's runs to a JSON file."""
    path.write_text(json.dumps([r.to_json() for r in results], indent=1))
