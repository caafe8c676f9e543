"""``make demo``: runs the example fleet, the Archive, and sends calls of every kind.

Every response is checked against its request. The exit status is 0 only if every
response and the exit status of every daemon were as expected.
"""

import argparse
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from goldcresthoist.tests.builders import ROOT
from goldcresthoist.tests.demo_calls import STEPS
from goldcresthoist.tests.fleet import Fleet

__all__ = ["main"]

QUESTIONNAIRE = ROOT / "examples" / "archive.yaml"
TEAM = "archive"
PARALLEL_CALLS = 8
HEADER = ("step", "calls", "as expected", "median ms", "slowest ms")


class Recorder:
    """Collects the durations and the problems of the calls of one step."""

    def __init__(self, name):
        self.name = name
        self.seconds = []
        self.problems = []

    def timed(self, function, *arguments):
        """Run a call, record its duration and return its response."""
        start = time.monotonic()
        try:
            return function(*arguments)
        finally:
            self.seconds.append(time.monotonic() - start)

    def expect(self, condition, problem):
        """Record a problem unless the condition holds."""
        if not condition:
            self.problems.append(problem)

    def row(self):
        """Return the row of this step in the table of results."""
        ordered = sorted(self.seconds)
        if not ordered:
            return (self.name, "0", _result(self.problems), "-", "-")
        median = ordered[len(ordered) // 2]
        return (
            self.name,
            str(len(ordered)),
            _result(self.problems),
            f"{1000 * median:.1f}",
            f"{1000 * ordered[-1]:.1f}",
        )


def main(arguments=None):
    """Run the demo and return its exit status."""
    parser = argparse.ArgumentParser(description="Demo of goldcresthoist.")
    parser.add_argument("--program", help="built program to run instead of the sources")
    options = parser.parse_args(arguments)
    with Fleet(program=options.program) as fleet:
        recorders = []
        try:
            _run(fleet, recorders)
        except Exception as exc:
            print(f"demo failed: {type(exc).__name__}: {exc}")
            print(fleet.logs())
            _print_table(recorders)
            return 1
        _print_table(recorders)
        problems = [problem for recorder in recorders for problem in recorder.problems]
        if problems:
            print(fleet.logs())
        for problem in problems:
            print(f"not as expected: {problem}")
    print("demo failed" if problems else "demo passed")
    return 1 if problems else 0


def _run(fleet, recorders):
    print(f"starting {len(fleet.targets)} upstreams, each with its daemon")
    fleet.start_all()
    recorder = Recorder("daemons find each other after their start")
    recorders.append(recorder)
    recorder.timed(fleet.wait_until_all_alive)
    _apply(fleet)
    with ThreadPoolExecutor(PARALLEL_CALLS) as pool:
        for name, step in STEPS:
            recorder = Recorder(name)
            recorders.append(recorder)
            step(fleet, recorder, pool)
    _stop(fleet, recorders)


def _apply(fleet):
    settings = fleet.targets[0].settings_path
    status, output = fleet.command(
        "config", "apply", QUESTIONNAIRE, "--settings", settings, "--author", "demo"
    )
    print(output)
    if status:
        raise RuntimeError(f"config apply ended with exit status {status}")
    fleet.wait_until_ready(TEAM, 1)


def _stop(fleet, recorders):
    recorder = Recorder("stop every daemon with SIGTERM")
    recorders.append(recorder)
    statuses = recorder.timed(fleet.stop_daemons)
    for name, status in statuses.items():
        recorder.expect(status == 0, f"{name} ended with exit status {status}")


def _result(problems):
    return f"no: {len(problems)} problems" if problems else "yes"


def _print_table(recorders):
    rows = [HEADER, *(recorder.row() for recorder in recorders)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADER))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        print("  ".join(cells).rstrip())


if __name__ == "__main__":
    sys.exit(main())
