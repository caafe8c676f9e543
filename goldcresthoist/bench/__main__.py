"""Compares the balancing policies on a simulated cluster of each site.

``python -m goldcresthoist.bench`` prints tables and writes ``build/bench.json``.
"""

import argparse
import asyncio
import json
import os
import random
from pathlib import Path

from goldcresthoist.bench.cluster import Cluster
from goldcresthoist.bench.load import LoadGenerator, make_arrivals
from goldcresthoist.bench.phases import PHASES, apply_fault, clear_fault
from goldcresthoist.bench.report import (
    deployment_document,
    print_phases,
    print_targets,
)
from goldcresthoist.bench.sites import SITES
from goldcresthoist.bench.statistics import (
    LatencyHistogram,
    PhaseStatistics,
    node_costs,
)

POLICIES = ("naive", "default")
WARM_UP_S = 2.0
WARM_UP_DEMAND = 0.3


def draw_phase(site, phase, seed):
    """Draw the calls of a phase.

    The seed does not depend on the policy, so all policies get the same calls.
    """
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
    """Run one phase; return its `PhaseStatistics` and their summary."""
    failing = cluster.first_of_each_service()
    before = await asyncio.to_thread(cluster.collect_reports)
    failures_before = await asyncio.to_thread(cluster.count_fast_failures, failing)
    fault = asyncio.create_task(apply_fault(cluster, phase.fault))
    results = await generator.run(draw_phase(site, phase, seed))
    await fault
    after = await asyncio.to_thread(cluster.collect_reports)
    failing_calls = (
        await asyncio.to_thread(cluster.count_fast_failures, failing) - failures_before
    )
    await asyncio.to_thread(clear_fault, cluster)
    statistics = PhaseStatistics(site, phase, results)
    return statistics, statistics.summary(failing_calls, node_costs(before, after))


async def run_policy(site, policy, phases, seed):
    """Run all phases under one policy.

    Returns the summaries by phase, and the latencies of reads in all phases but
    ``overload``.
    """
    document, reads = {}, LatencyHistogram()
    with Cluster(site, policy) as cluster:
        ports = [target.caller_port for target in cluster.targets]
        generator = LoadGenerator(ports, seed)
        await warm_up(generator, site, seed)
        for phase in phases:
            statistics, summary = await run_phase(cluster, generator, site, phase, seed)
            document[phase.name] = summary
            if phase.name != "overload":
                reads.merge(statistics.reads)
            print(f"{site.name} {policy} {phase.name}: {summary}", flush=True)
        generator.close()
    return document, reads


async def warm_up(generator, site, seed):
    """Make some calls, so that links and connections are open in the first phase."""
    rng = random.Random(seed)
    arrivals = []
    for service in site.services:
        rate = service.capacity * WARM_UP_DEMAND
        arrivals += make_arrivals(service, lambda _, r=rate: r, WARM_UP_S, rng)
    await generator.run(arrivals)


def measure_request_path():
    """Return the latency that the request path adds, without other load."""
    from goldcresthoist.bench.request_path import measure

    latencies = measure()["closed"].as_dict()
    names = ("direct_p50_ms", "direct_p99_ms", "added_p50_ms", "added_p99_ms")
    return {name: latencies[name] for name in names}


def parse_arguments():
    """Parse the command line."""
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
    """Run the selected sites, policies and phases, and write the results."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    arguments = parse_arguments()
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
        document["request_path"] = measure_request_path()
    arguments.output.parent.mkdir(parents=True, exist_ok=True)
    arguments.output.write_text(json.dumps(document, indent=2) + "\n")
    print(f"wrote {arguments.output}")


if __name__ == "__main__":
    main()
