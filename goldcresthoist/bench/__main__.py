"""Compares the policies at the sizes of both sites.

``python -m goldcresthoist.bench`` prints tables and writes ``build/bench.json``.
"""

import argparse
import asyncio
import json
import os
import random
from pathlib import Path

from goldcresthoist.bench.cluster import Cluster
from goldcresthoist.bench.figures import Latencies, PhaseFigures, node_costs
from goldcresthoist.bench.load import Generator, make_arrivals
from goldcresthoist.bench.phases import PHASES, apply_fault, clear_fault
from goldcresthoist.bench.report import (
    deployment_document,
    print_phases,
    print_targets,
)
from goldcresthoist.bench.sites import SITES

POLICIES = ("naive", "default")
WARM_UP_S = 2.0
WARM_UP_DEMAND = 0.3


def draw(site, phase, seed):
    """Return the calls of a phase; the same for every policy."""
    arrivals = []
    for service in site.services:
        rng = random.Random(f"{seed}/{site.name}/{phase.name}/{service.configuration}")
        arrivals += make_arrivals(
            service,
            lambda at_s, s=service: s.capacity * phase.demand_at(at_s),
            phase.duration_s,
            rng,
            phase.long_work,
            phase.stragglers_by_request,
        )
    return arrivals


async def run_phase(cluster, generator, site, phase, seed):
    """Run one phase; return its figures and read latencies."""
    failing = cluster.first_of_each_service()
    before = await asyncio.to_thread(cluster.reports)
    failed = await asyncio.to_thread(cluster.failed_fast, failing)
    fault = asyncio.create_task(apply_fault(cluster, phase.fault))
    results = await generator.run(draw(site, phase, seed))
    await fault
    after = await asyncio.to_thread(cluster.reports)
    failing_calls = await asyncio.to_thread(cluster.failed_fast, failing) - failed
    await asyncio.to_thread(clear_fault, cluster)
    figures = PhaseFigures(site, phase, results)
    return figures, figures.summary(failing_calls, node_costs(before, after))


async def run_policy(site, policy, phases, seed):
    """Run all phases under one policy; return figures by phase and read latencies."""
    document, reads = {}, Latencies()
    with Cluster(site, policy) as cluster:
        ports = [target.caller_port for target in cluster.targets]
        generator = Generator(ports, seed)
        await warm_up(generator, site, seed)
        for phase in phases:
            figures, summary = await run_phase(cluster, generator, site, phase, seed)
            document[phase.name] = summary
            if phase.name != "overload":
                reads.merge(figures.reads)
            print(f"{site.name} {policy} {phase.name}: {summary}", flush=True)
        generator.close()
    return document, reads


async def warm_up(generator, site, seed):
    """Open links and connections before the first phase."""
    rng = random.Random(seed)
    arrivals = []
    for service in site.services:
        rate = service.capacity * WARM_UP_DEMAND
        arrivals += make_arrivals(service, lambda _, r=rate: r, WARM_UP_S, rng)
    await generator.run(arrivals)


def request_path():
    """Return the cost of the request path, measured on its own."""
    from goldcresthoist.bench.request_path import measure

    figures = measure()["closed"].as_mapping()
    names = ("direct_p50_ms", "direct_p99_ms", "added_p50_ms", "added_p99_ms")
    return {name: figures[name] for name in names}


def parse():
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--site", choices=tuple(SITES), action="append")
    parser.add_argument("--policy", choices=POLICIES, action="append")
    names = tuple(phase.name for phase in PHASES)
    parser.add_argument("--phase", choices=names, action="append")
    parser.add_argument("--seed", type=int, default=20)
    parser.add_argument("--output", type=Path, default=Path("build/bench.json"))
    parser.add_argument("--no-request-path", action="store_true")
    return parser.parse_args()


def main():
    """Run the benchmark."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    arguments = parse()
    chosen = arguments.phase or [phase.name for phase in PHASES]
    phases = [phase for phase in PHASES if phase.name in chosen]
    document = {"seed": arguments.seed, "deployments": {}}
    for name in arguments.site or SITES:
        measured = {}
        for policy in arguments.policy or POLICIES:
            run = run_policy(SITES[name], policy, phases, arguments.seed)
            measured[policy] = uvloop.run(run)
        document["deployments"][name] = deployment_document(measured)
        print_phases(name, measured)
        print_targets(name, measured)
    if not arguments.no_request_path:
        document["request_path"] = request_path()
    arguments.output.parent.mkdir(parents=True, exist_ok=True)
    arguments.output.write_text(json.dumps(document, indent=2) + "\n")
    print(f"wrote {arguments.output}")


if __name__ == "__main__":
    main()
