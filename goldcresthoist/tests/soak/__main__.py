"""``python -m goldcresthoist.tests.soak [--seeds N] [--seed S] [--seconds T]``."""

import argparse
import asyncio
import json
import random
import sys

from goldcresthoist.tests.soak.run import BrokenPromise, SoakRun


def main():
    """Play seeds; return 1 when a promise was broken."""
    parser = argparse.ArgumentParser(prog="goldcresthoist.tests.soak")
    parser.add_argument("--seeds", type=int, default=5, help="how many fresh seeds")
    parser.add_argument("--seed", type=int, help="repeat this one seed")
    parser.add_argument("--seconds", type=float, default=8.0, help="length of a run")
    arguments = parser.parse_args()
    seeds = [arguments.seed]
    if arguments.seed is None:
        seeds = [random.randrange(1 << 32) for _ in range(arguments.seeds)]
    broken = 0
    for seed in seeds:
        run = SoakRun(seed, arguments.seconds)
        try:
            answers = asyncio.run(run.play())
        except* BrokenPromise as group:
            broken += 1
            print(f"seed {seed}: BROKEN {group.exceptions}", flush=True)
            print(json.dumps(run.events), flush=True)
        else:
            print(f"seed {seed}: kept, answers {answers}", flush=True)
    print(f"{len(seeds) - broken} seeds kept, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
