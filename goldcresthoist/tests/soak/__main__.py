"""Runs the soak test with several random seeds, or with one given seed.

Usage: ``python -m goldcresthoist.tests.soak [--seeds N] [--seed S] [--seconds T]
[--daemons N]``. For a seed that fails, it prints the violations, the injected faults
and the last log lines of each daemon.
"""

import argparse
import asyncio
import json
import random
import sys

from goldcresthoist.tests.soak.run import GuaranteeViolation, SoakRun


def main():
    """Run the seeds; return the exit status, 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="goldcresthoist.tests.soak")
    parser.add_argument("--seeds", type=int, default=5, help="number of random seeds")
    parser.add_argument("--seed", type=int, help="run only this seed")
    parser.add_argument("--seconds", type=float, default=8.0, help="duration of a run")
    parser.add_argument("--daemons", type=int, default=4, help="number of daemons")
    arguments = parser.parse_args()
    seeds = [arguments.seed]
    if arguments.seed is None:
        seeds = [random.randrange(1 << 32) for _ in range(arguments.seeds)]
    services = [("listen", "ledger")[n % 2] for n in range(arguments.daemons)]
    failed = 0
    for seed in seeds:
        run = SoakRun(seed, arguments.seconds, services)
        try:
            answers = asyncio.run(run.execute())
        except* GuaranteeViolation as group:
            failed += 1
            print(f"seed {seed}: FAILED {group.exceptions}", flush=True)
            print(json.dumps(run.events), flush=True)
            print(json.dumps(run.logs), flush=True)
        else:
            print(f"seed {seed}: passed, responses {answers}", flush=True)
    print(f"{len(seeds) - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
