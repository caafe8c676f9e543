"""Cost and speed of membership by size of the fleet, in a model in virtual time.

Run ``python -m goldcresthoist.bench.membership [--sizes 100,1000]``. Writes
``build/membership.json``. Processor time is that of real daemons on this machine;
the kernel's share of UDP and TCP is not in it. Times are virtual.
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
RESTARTS_PER_DAY = 7900
CHANGES_PER_DAY = 23_000
FULL_SIZE = 20_000
TEAMS = 370
STEADY_S = 120.0
CUT_S = 600.0
BIN_S = 10.0
LIMIT_S = 1800.0
# One region of three domains.
LOST_DOMAIN = 24
CUT_DOMAINS = (1, 11, 21)


class CostMeter:
    """Processor time and bytes of all running representatives, per daemon."""

    def __init__(self, model):
        self.model = model
        self.restart()

    def restart(self):
        """Start a new interval."""
        self.started = asyncio.get_running_loop().time()
        self.processor = time.process_time() - self.model.overhead_s
        self.counts = [_counters(rep) for rep in self.model.live()]

    def read(self):
        """Return the rates per daemon and second since the start of the interval."""
        seconds = asyncio.get_running_loop().time() - self.started
        now = [_counters(rep) for rep in self.model.live()]
        deltas = [
            [after - before for after, before in zip(*pair, strict=True)]
            for pair in zip(now, self.counts, strict=True)
        ]
        daemon_seconds = seconds * len(now)
        mean = [sum(column) / daemon_seconds for column in zip(*deltas, strict=True)]
        processor = time.process_time() - self.model.overhead_s
        used = (processor - self.processor) / daemon_seconds
        return {
            "core_percent": round(100 * used, 3),
            "gossip_in_bytes_s": round(mean[0]),
            "gossip_out_bytes_s": round(mean[1]),
            "control_bytes_s": round(mean[2]),
            "all_bytes_s": round(sum(mean[:3])),
            "calls_s": round(mean[3], 3),
        }


def _counters(rep):
    return (*rep.gossip_bytes(), rep.control_bytes, rep.calls)


def team_contents(count):
    """Return stored bytes of configurations of ten services with four works each."""
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


def _rss():
    gc.collect()
    return psutil.Process().memory_info().rss


async def measure_table(members, per_domain):
    """Return the memory of the member table per daemon."""
    model = FleetModel(members, per_domain)
    before = _rss()
    await model.start()
    table = (_rss() - before) / len(model.all)
    return model, {
        "daemons": len(model.all),
        "table_bytes": round(table),
        "bytes_per_member": round(table / members, 1),
    }


async def measure_steady(model, members):
    """Measure ordinary operation with restarts and configuration changes."""
    loop = asyncio.get_running_loop()
    share = members / FULL_SIZE
    contents = team_contents(max(1, int(TEAMS * share)))
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
    """Return the seconds until a version is in force in all daemons."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(20)
    started = loop.time()
    content = team_contents(1)["team-0"]
    version = max(rep.holder.version_of("team-0") for rep in model.all) + 1
    waiting = set(model.all)
    arrived = asyncio.Event()

    def note(rep, item):
        if item.team == "team-0" and item.version >= version:
            waiting.discard(rep)
        if not waiting:
            arrived.set()

    for rep in model.all:
        rep.holder.subscribe(partial(note, rep))
    model.all[0].fetcher.put("team-0", version, content)
    await arrived.wait()
    return {"in_force_everywhere_s": round(loop.time() - started, 2)}


async def measure_join(model):
    """Measure the first sync of a new daemon; the cost is that of both ends."""
    loop = asyncio.get_running_loop()
    rep = model.add_newcomer()
    started, processor = loop.time(), time.process_time()
    for peer in model.all:
        if await rep.sync.sync_with(peer.membership.view.local()):
            break
    return {
        "seconds": round(loop.time() - started, 2),
        "known": rep.membership.view.population(),
        "bytes": rep.control_bytes,
        "processor_s_upper_bound": round(time.process_time() - processor, 2),
    }


async def measure_domain_lost(model):
    """Measure how a lost domain becomes known."""
    name = domain_name(LOST_DOMAIN)
    model.lose([name])
    lost = [m for m in model.members if m.failure_domain == name]
    slots = {
        rep: [rep.membership.view.roster.slot_of(m.instance) for m in lost]
        for rep in model.live()
    }

    def share(least):
        known = sum(
            rep.membership.view.roster.states[slot] >= least
            for rep, held in slots.items()
            for slot in held
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
    """Cut a region off, heal it and measure its return."""
    names = [domain_name(number) for number in CUT_DOMAINS]
    meter = CostMeter(model)
    model.cut(names)
    await asyncio.sleep(CUT_S)
    cut = meter.read()
    apart = _missing(model)
    healing = asyncio.get_running_loop().create_task(model.heal())
    conditions = {
        "back_50": lambda: _missing(model) <= 0.5 * apart,
        "back_99": lambda: _missing(model) <= 0.01 * apart,
        "back_all": lambda: _missing(model) == 0,
    }
    result = await _watch(model, conditions, extra_s=60.0)
    healing.cancel()
    result["while_cut"] = cut
    result["held_dead_before_share"] = round(apart / _pairs(model, names), 3)
    return result


def _missing(model):
    """Return how many members are not held as live, over all representatives."""
    live = sum(len(rep.membership.view.roster.live) + 1 for rep in model.all)
    return len(model.members) * len(model.all) - live


def _pairs(model, names):
    inside = sum(m.failure_domain in names for m in model.members)
    outside = len(model.members) - inside
    inner = sum(rep.domain in names for rep in model.all)
    return inner * outside + (len(model.all) - inner) * inside


async def _watch(model, conditions, extra_s):
    """Wait for conditions; return when each held first, and the cost."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    reached, bins = {}, []
    whole, part = CostMeter(model), CostMeter(model)
    end = None
    while loop.time() - started < LIMIT_S and (end is None or loop.time() < end):
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
    """Run all phases at one size."""
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
    result["rss_of_bench_bytes"] = _rss()
    return result


def run_size(members, per_domain):
    """Run one size in this process and print its result as one line."""
    random.seed(members)
    logger.remove()
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    started = time.perf_counter()
    result = loop.run_until_complete(measure(members, per_domain))
    result["real_seconds"] = round(time.perf_counter() - started, 1)
    print(json.dumps(result), flush=True)


def main(arguments=None):
    """Run each size in a process of its own, so that memory is comparable."""
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
