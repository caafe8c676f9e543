"""Measures cost and convergence time of the membership by the size of the fleet.

Uses `FleetModel`, a few real daemons in virtual time. Run it with
``python -m goldcresthoist.bench.membership [--sizes 100,1000]``; it writes
``build/membership.json``. Processor time is that of the real daemons on this machine,
without the time that the kernel would need for UDP and TCP. Other times are virtual.
"""

import argparse
import asyncio
import gc
import json
import random
import subprocess
import sys
import time
from functools import partial
from pathlib import Path

import msgspec
import psutil
from loguru import logger

from goldcresthoist.bench._model import DOMAINS, FleetModel, domain_name
from goldcresthoist.config import (
    Read,
    ServiceConfiguration,
    TeamConfiguration,
    WorkRule,
)
from goldcresthoist.gossip import MemberState
from goldcresthoist.gossip.tests.builders import VirtualLoop

SIZES = (100, 1000, 5000, 20_000)
# Member restarts, configuration changes and teams of a fleet of DESIGN_SIZE members.
# Smaller fleets have proportionally fewer.
RESTARTS_PER_DAY = 7900
CHANGES_PER_DAY = 23_000
DESIGN_SIZE = 20_000
TEAM_COUNT = 370
STEADY_S = 120.0
PARTITION_S = 600.0
BIN_S = 10.0
WATCH_TIMEOUT_S = 1800.0
LOST_DOMAIN = 24
# All three domains of one region.
PARTITIONED_DOMAINS = (1, 11, 21)


class CostMeter:
    """Measures processor time and bytes per daemon over all running representatives."""

    def __init__(self, model):
        self.model = model
        self.restart()

    def restart(self):
        """Start a new interval."""
        self.started = asyncio.get_running_loop().time()
        self.cpu_s = time.process_time() - self.model.overhead_s
        self.counts = [_counters(rep) for rep in self.model.live()]

    def read(self):
        """Return the rates per daemon since the start of the interval."""
        seconds = asyncio.get_running_loop().time() - self.started
        now = [_counters(rep) for rep in self.model.live()]
        deltas = [
            [after - before for after, before in zip(*pair, strict=True)]
            for pair in zip(now, self.counts, strict=True)
        ]
        daemon_seconds = seconds * len(now)
        mean = [sum(column) / daemon_seconds for column in zip(*deltas, strict=True)]
        cpu_s = time.process_time() - self.model.overhead_s
        cpu_share = (cpu_s - self.cpu_s) / daemon_seconds
        return {
            "core_percent": round(100 * cpu_share, 3),
            "gossip_in_bytes_s": round(mean[0]),
            "gossip_out_bytes_s": round(mean[1]),
            "control_bytes_s": round(mean[2]),
            "all_bytes_s": round(sum(mean[:3])),
            "calls_s": round(mean[3], 3),
        }


def _counters(rep):
    return (*rep.gossip_bytes(), rep.control_bytes, rep.calls)


def team_contents(count):
    """Return stored configurations of teams with ten services of four work rules each.

    Returns
    -------
    dict of str to bytes
        Encoded configurations by team.
    """
    contents = {}
    for number in range(count):
        services = tuple(_service(f"service-{number}-{n}") for n in range(10))
        team = f"team-{number}"
        contents[team] = msgspec.msgpack.encode(TeamConfiguration(team, services))
    return contents


def _service(name):
    work = tuple(
        WorkRule(f"work-{n}", "GET", f"/path-{n}", Read(), 0.01, 1.0, 1.0)
        for n in range(4)
    )
    return ServiceConfiguration(name, 12, 4, 48, 0.05, 0.03, 0.01, work)


def _resident_bytes():
    gc.collect()
    return psutil.Process().memory_info().rss


async def measure_table(members, per_domain):
    """Start a model; return it and the memory of the member table per daemon."""
    model = FleetModel(members, per_domain)
    before = _resident_bytes()
    await model.start()
    table = (_resident_bytes() - before) / len(model.representatives)
    return model, {
        "daemons": len(model.representatives),
        "table_bytes": round(table),
        "bytes_per_member": round(table / members, 1),
    }


async def measure_steady(model, members):
    """Measure the cost of normal operation with restarts and configuration changes."""
    loop = asyncio.get_running_loop()
    share = members / DESIGN_SIZE
    contents = team_contents(max(1, int(TEAM_COUNT * share)))
    tasks = [
        loop.create_task(model.churn(RESTARTS_PER_DAY * share)),
        loop.create_task(model.change_configuration(CHANGES_PER_DAY * share, contents)),
    ]
    await asyncio.sleep(60)
    meter = CostMeter(model)
    await asyncio.sleep(STEADY_S)
    result = meter.read()
    result["content_bytes"] = len(next(iter(contents.values())))
    for task in tasks:
        task.cancel()
    return result


async def measure_version(model):
    """Measure the time until a new version is in force in all daemons."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(20)
    started = loop.time()
    content = team_contents(1)["team-0"]
    version = max(rep.holder.version_of("team-0") for rep in model.representatives) + 1
    waiting = set(model.representatives)
    in_force = asyncio.Event()

    def on_version(rep, item):
        if item.team == "team-0" and item.version >= version:
            waiting.discard(rep)
        if not waiting:
            in_force.set()

    for rep in model.representatives:
        rep.holder.subscribe(partial(on_version, rep))
    model.representatives[0].fetcher.put("team-0", version, content)
    await in_force.wait()
    return {"in_force_everywhere_s": round(loop.time() - started, 2)}


async def measure_join(model):
    """Measure the first synchronization of a new daemon.

    The processor time includes that of the peer, so it is an upper bound.
    """
    loop = asyncio.get_running_loop()
    rep = model.add_joining_daemon()
    started, cpu_before = loop.time(), time.process_time()
    for peer in model.representatives:
        if await rep.sync.sync_with(peer.membership.view.local()):
            break
    return {
        "seconds": round(loop.time() - started, 2),
        "known": rep.membership.view.cluster_size(),
        "bytes": rep.control_bytes,
        "processor_s_upper_bound": round(time.process_time() - cpu_before, 2),
    }


async def measure_domain_lost(model):
    """Measure the time until all daemons know of the loss of a failure domain.

    The conditions are shares of all pairs of a running daemon and a lost member. A
    daemon sends no work to a member that it suspects.
    """
    name = domain_name(LOST_DOMAIN)
    model.stop_domains([name])
    lost = [m for m in model.members if m.failure_domain == name]
    slots = {
        rep: [rep.membership.view.roster.slot_of(m.instance) for m in lost]
        for rep in model.live()
    }

    def share(min_state):
        known = sum(
            rep.membership.view.roster.states[slot] >= min_state
            for rep, lost_slots in slots.items()
            for slot in lost_slots
        )
        return known / (len(lost) * len(slots))

    conditions = {
        "no_work_50": lambda: share(MemberState.SUSPECT) >= 0.5,
        "no_work_99": lambda: share(MemberState.SUSPECT) >= 0.99,
        "no_work_all": lambda: share(MemberState.SUSPECT) >= 1.0,
        "dead_99": lambda: share(MemberState.DEAD) >= 0.99,
        "dead_all": lambda: share(MemberState.DEAD) >= 1.0,
    }
    return await _watch(model, conditions, extra_s=60.0)


async def measure_region_return(model):
    """Measure the recovery after a region was cut off from the others."""
    names = [domain_name(number) for number in PARTITIONED_DOMAINS]
    meter = CostMeter(model)
    model.cut(names)
    await asyncio.sleep(PARTITION_S)
    cut = meter.read()
    missing_before = _count_missing(model)
    healing = asyncio.get_running_loop().create_task(model.heal())
    conditions = {
        "back_50": lambda: _count_missing(model) <= 0.5 * missing_before,
        "back_99": lambda: _count_missing(model) <= 0.01 * missing_before,
        "back_all": lambda: _count_missing(model) == 0,
    }
    result = await _watch(model, conditions, extra_s=60.0)
    healing.cancel()
    result["while_cut"] = cut
    result["held_dead_before_share"] = round(
        missing_before / _count_separated_pairs(model, names), 3
    )
    return result


def _count_missing(model):
    """Return the number of pairs of a representative and a member it holds not live."""
    live = sum(
        len(rep.membership.view.roster.live) + 1 for rep in model.representatives
    )
    return len(model.members) * len(model.representatives) - live


def _count_separated_pairs(model, names):
    """Return the number of pairs of a representative and a member on the other side.

    The partition separates the domains with the given names from the others.
    """
    inside = sum(m.failure_domain in names for m in model.members)
    outside = len(model.members) - inside
    isolated = sum(rep.domain in names for rep in model.representatives)
    return isolated * outside + (len(model.representatives) - isolated) * inside


async def _watch(model, conditions, extra_s):
    """Wait until each condition held once; return the times and the cost.

    The cost is measured for ``extra_s`` longer. A condition that does not hold within
    ``WATCH_TIMEOUT_S`` is missing in the result.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    reached, bins = {}, []
    whole, part = CostMeter(model), CostMeter(model)
    end = None
    while loop.time() - started < WATCH_TIMEOUT_S and (
        end is None or loop.time() < end
    ):
        await asyncio.sleep(0.25)
        for name, holds in conditions.items():
            if name not in reached and holds():
                reached[name] = round(loop.time() - started, 1)
        if loop.time() - part.started >= BIN_S:
            bins.append(part.read())
            part.restart()
        if end is None and len(reached) == len(conditions):
            end = loop.time() + extra_s
    return {
        "seconds_until": reached,
        "mean": whole.read(),
        "worst_10_s": {
            key: max(item[key] for item in bins)
            for key in ("core_percent", "all_bytes_s", "control_bytes_s")
        },
    }


async def measure(members, per_domain):
    """Run all measurements at one size."""
    model, table = await measure_table(members, per_domain)
    result = {"members": members, "table": table}
    phases = {
        "steady": lambda: measure_steady(model, members),
        "version": lambda: measure_version(model),
        "region_return": lambda: measure_region_return(model),
        "domain_lost": lambda: measure_domain_lost(model),
        "join": lambda: measure_join(model),
    }
    for name, phase in phases.items():
        result[name] = await phase()
        print(f"{members} {name}: {json.dumps(result[name])}", file=sys.stderr)
    result["rss_of_bench_bytes"] = _resident_bytes()
    return result


def run_size(members, per_domain):
    """Measure one size in this process and print the result as one JSON line."""
    random.seed(members)
    logger.remove()
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    started = time.perf_counter()
    result = loop.run_until_complete(measure(members, per_domain))
    result["real_seconds"] = round(time.perf_counter() - started, 1)
    print(json.dumps(result), flush=True)


def main(arguments=None):
    """Measure each size in a process of its own, so that the memory is comparable."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--size", type=int)
    parser.add_argument("--per-domain", type=int, default=2)
    options = parser.parse_args(arguments)
    if options.size:
        run_size(options.size, options.per_domain)
        return
    results = []
    for size in options.sizes.split(","):
        command = [sys.executable, "-m", __spec__.name, "--size", size]
        command += ["--per-domain", str(options.per_domain)]
        done = subprocess.run(command, check=True, stdout=subprocess.PIPE, text=True)
        results.append(json.loads(done.stdout.splitlines()[-1]))
        print(json.dumps(results[-1], indent=1), flush=True)
    path = Path("build/membership.json")
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps({"domains": DOMAINS, "sizes": results}, indent=1))


if __name__ == "__main__":
    main()
