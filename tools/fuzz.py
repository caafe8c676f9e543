"""Runs the state machine tests for a given time, with a random seed.

``python tools/fuzz.py [--seconds N] [--seed N] [--steps N] [NAME ...]`` runs the
machines whose path contains one of the names, or all machines, in turn until the time
is over. It stops at the first failure, which Hypothesis shrinks, with exit status 1. To
repeat a round, pass the ``--seed`` and the name that it printed.
"""

import argparse
import importlib
import secrets
import sys
import time
from pathlib import Path

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test

ROOT = Path(__file__).resolve().parent.parent
MACHINES = (
    "goldcresthoist.config.tests.machines:ConfigurationMachine",
    "goldcresthoist.operations.tests.ledger_machine:LedgerMachine",
    "goldcresthoist.operations.tests.upload_machine:UploadMachine",
    "goldcresthoist.tests.call_machine:CallMachine",
)
EXAMPLES_PER_ROUND = 200


def load_machines(names):
    """Import the machines whose path contains one of the names, or all of them."""
    paths = [path for path in MACHINES if not names or any(n in path for n in names)]
    if not paths:
        raise SystemExit(f"no machine matches {names}, known are {MACHINES}")
    machines = []
    for path in paths:
        module, _, name = path.partition(":")
        machines.append(getattr(importlib.import_module(module), name))
    return machines


def run_round(machine, number, steps):
    """Run one round of a machine, with ``number`` as its seed.

    The failure of an example is raised.
    """
    # Hypothesis stores the seed in the class, so each round has a class of its own.
    seeded_machine = seed(number)(type(machine.__name__, (machine,), {}))
    round_settings = settings(
        max_examples=EXAMPLES_PER_ROUND,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seeded_machine, settings=round_settings)


def main():
    """Run rounds until the time is over, and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("names", nargs="*", metavar="NAME")
    parser.add_argument("--seconds", type=float, default=120)
    parser.add_argument("--seed", type=int, default=secrets.randbits(32))
    parser.add_argument("--steps", type=int, default=60)
    arguments = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    machines = load_machines(arguments.names)
    end = time.monotonic() + arguments.seconds
    number = arguments.seed
    print(f"seed {number}", flush=True)
    rounds = 0
    while True:
        for machine in machines:
            print(f"{machine.__name__} --seed {number}", flush=True)
            run_round(machine, number, arguments.steps)
            rounds += 1
            if time.monotonic() >= end:
                examples = rounds * EXAMPLES_PER_ROUND
                print(f"{rounds} rounds, about {examples} examples, no failure")
                return 0
        number += 1


if __name__ == "__main__":
    sys.exit(main())
