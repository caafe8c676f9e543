"""150 memberships over real UDP and TCP sockets in ten processes.

Run ``python -m goldcresthoist.bench.membership_processes``. Writes
``build/membership_processes.json``. Every daemon has the complete gossip and control
parts. Times are wall-clock and include what else the machine does.
"""

import argparse
import asyncio
import json
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil
import uvloop
from loguru import logger

from goldcresthoist.bench.membership import CHANGES_PER_DAY, team_contents
from goldcresthoist.config import ConfigurationHolder
from goldcresthoist.control import ControlPlane
from goldcresthoist.gossip import Member, Membership, MemberState

KEY = bytes(range(32))
PROCESSES = 10
DAEMONS_PER_PROCESS = 15
LOST_PROCESSES = (7, 8, 9)
FROZEN_PROCESS = 3
FROZEN_S = 12.0
STEADY_S = 40.0
# Time for the rumours of the start to end.
SETTLE_S = 30.0
BASE_PORT = 23_000


def domain_of(process):
    """Return the failure domain of all daemons of one process."""
    if process in LOST_PROCESSES:
        return "d2"
    return "d0" if process < 4 else "d1"


def make_local_member(process, number, base):
    """Return the member of one daemon."""
    index = process * DAEMONS_PER_PROCESS + number
    port = base + 2 * index
    return Member(
        f"n{index}",
        int(time.time() * 1000),
        f"s{index % 28}",
        domain_of(process),
        "r",
        f"127.0.0.1:{port}",
        f"127.0.0.1:{port}",
        f"127.0.0.1:{port + 1}",
        MemberState.ALIVE,
    )


class Worker:
    """The daemons of one process."""

    def __init__(self, process, base):
        self.process = process
        self.base = base
        self.planes = []
        self.changed = asyncio.Event()

    async def run(self):
        """Start the daemons, then obey commands from standard input."""
        await self._start()
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            command, *arguments = line.decode().split()
            await getattr(self, command)(*arguments)
            print(json.dumps({"done": command, "at": time.monotonic()}), flush=True)

    async def _start(self):
        seeds = [
            make_local_member(process, 0, self.base).gossip_address
            for process in range(PROCESSES)
        ]
        for number in range(DAEMONS_PER_PROCESS):
            member = make_local_member(self.process, number, self.base)
            membership = Membership(member, KEY)
            plane = ControlPlane(membership, ConfigurationHolder(), KEY)
            await membership.start()
            await plane.start()
            membership.join(seeds)
            membership.subscribe(lambda _: self.changed.set())
            plane.fetcher.holder.subscribe(lambda _: self.changed.set())
            self.planes.append(plane)

    async def know(self, count):
        """Wait until every daemon knows so many live members."""
        await self._until(lambda p: p.membership.view.population() >= int(count))

    async def begin(self):
        """Start an interval of measuring."""
        self.before = self._counters()

    async def steady(self):
        """Print the cost per daemon and second since the interval began."""
        after = self._counters()
        seconds = after.pop("at") - self.before["at"]
        rates = {
            key: (after[key] - self.before[key]) / seconds / DAEMONS_PER_PROCESS
            for key in after
        }
        rates["rss"] = psutil.Process().memory_info().rss
        print(json.dumps(rates), flush=True)

    async def put(self, version):
        """Put a configuration version in force at the first daemon."""
        content = team_contents(1)["team-0"]
        self.planes[0].fetcher.put("team-0", int(version), content)

    async def version(self, version):
        """Wait until every daemon has a version in force."""
        await self._until(
            lambda p: p.fetcher.holder.version_of("team-0") >= int(version)
        )

    async def no_work(self, domain, count):
        """Wait until no daemon sends work to so many members of a domain."""
        await self._until(
            lambda p: _not_alive(p.membership, domain) >= int(count),
        )

    async def dead(self, domain, count):
        """Wait until every daemon holds so many members of a domain as dead."""
        await self._until(
            lambda p: p.membership.counts_by_domain()[domain].dead >= int(count)
        )

    async def alive(self, count):
        """Wait until every daemon holds so many members as alive, none suspected."""
        await self._until(lambda p: _alive(p.membership) >= int(count))

    async def _until(self, holds):
        while not all(holds(plane) for plane in self.planes):
            self.changed.clear()
            await self.changed.wait()

    def _counters(self):
        usage = resource.getrusage(resource.RUSAGE_SELF)
        exchanges = [plane.membership.exchange for plane in self.planes]
        return {
            "at": time.monotonic(),
            "user_s": usage.ru_utime,
            "system_s": usage.ru_stime,
            "bytes_in": sum(item.bytes_received for item in exchanges),
            "bytes_out": sum(item.bytes_sent for item in exchanges),
            "sync_bytes": sum(plane.sync.bytes_exchanged for plane in self.planes),
        }


def _not_alive(membership, domain):
    count = membership.counts_by_domain()[domain]
    return count.suspect + count.dead


def _alive(membership):
    return sum(count.alive for count in membership.counts_by_domain().values())


class Parent:
    """Starts the processes and sends them commands."""

    def __init__(self, base):
        command = [sys.executable, "-m", __spec__.name, "--base", str(base)]
        self.workers = {
            number: subprocess.Popen(
                [*command, "--worker", str(number)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for number in range(PROCESSES)
        }

    def ask(self, *command, workers=None):
        """Send a command to workers; return their replies and the last one's time."""
        numbers = list(self.workers) if workers is None else workers
        for number in numbers:
            self.workers[number].stdin.write(" ".join(map(str, command)) + "\n")
            self.workers[number].stdin.flush()
        replies, latest = [], 0.0
        for number in numbers:
            while "done" not in (line := self._read(number)):
                replies.append(line)
            latest = max(latest, line["at"])
        return replies, latest

    def _read(self, number):
        line = self.workers[number].stdout.readline()
        if not line:
            raise RuntimeError(f"worker {number} ended")
        return json.loads(line)

    def kill(self, number):
        """End a worker without notice."""
        worker = self.workers.pop(number)
        worker.kill()
        worker.wait()

    def close(self):
        """End all workers."""
        for number in tuple(self.workers):
            self.kill(number)


def measure(parent):
    """Run all phases."""
    total = PROCESSES * DAEMONS_PER_PROCESS
    result = {"daemons": total, "load_average": psutil.getloadavg()[0]}
    started = time.monotonic()
    _, at = parent.ask("know", total)
    result["all_know_all_s"] = round(at - started, 2)
    time.sleep(SETTLE_S)
    parent.ask("begin")
    time.sleep(STEADY_S)
    replies, _ = parent.ask("steady")
    result["steady_per_daemon"] = _mean(replies)
    result["version_s"] = [_version(parent, number) for number in range(1, 6)]
    result["with_changes_per_daemon"] = _with_changes(parent)
    result["frozen"] = _freeze(parent, total)
    result["domain_lost"] = _lose_domain(parent)
    return result


def _mean(replies):
    return {
        key: round(sum(reply[key] for reply in replies) / len(replies), 5)
        for key in replies[0]
    }


def _with_changes(parent):
    """Measure the cost with as many configuration changes as the design scale has."""
    parent.ask("begin")
    for number in range(10, 10 + int(STEADY_S * CHANGES_PER_DAY / 86_400)):
        parent.ask("put", number, workers=[0])
        time.sleep(86_400 / CHANGES_PER_DAY)
    return _mean(parent.ask("steady")[0])


def _version(parent, number):
    started = time.monotonic()
    parent.ask("put", number, workers=[0])
    _, at = parent.ask("version", number)
    time.sleep(1)
    return round(at - started, 3)


def _freeze(parent, total):
    frozen = parent.workers[FROZEN_PROCESS]
    others = [number for number in parent.workers if number != FROZEN_PROCESS]
    started = time.monotonic()
    frozen.send_signal(signal.SIGSTOP)
    _, noticed = parent.ask("no_work", "d0", DAEMONS_PER_PROCESS, workers=others)
    time.sleep(max(0.0, FROZEN_S - (time.monotonic() - started)))
    frozen.send_signal(signal.SIGCONT)
    resumed = time.monotonic()
    _, back = parent.ask("alive", total)
    return {
        "no_work_after_s": round(noticed - started, 2),
        "frozen_s": round(resumed - started, 2),
        "all_alive_after_s": round(back - resumed, 2),
    }


def _lose_domain(parent):
    started = time.monotonic()
    for number in LOST_PROCESSES:
        parent.kill(number)
    count = len(LOST_PROCESSES) * DAEMONS_PER_PROCESS
    _, no_work = parent.ask("no_work", "d2", count)
    _, dead = parent.ask("dead", "d2", count)
    return {
        "members": count,
        "no_work_after_s": round(no_work - started, 2),
        "dead_after_s": round(dead - started, 2),
    }


def main(arguments=None):
    """Run the bench, or one of its workers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--worker", type=int)
    parser.add_argument("--base", type=int, default=BASE_PORT)
    options = parser.parse_args(arguments)
    if options.worker is not None:
        logger.remove()
        uvloop.run(Worker(options.worker, options.base).run())
        return
    parent = Parent(options.base)
    try:
        result = measure(parent)
    finally:
        parent.close()
    print(json.dumps(result, indent=1))
    path = Path("build/membership_processes.json")
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
