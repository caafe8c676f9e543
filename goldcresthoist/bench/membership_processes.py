"""Measures 150 daemons over real UDP and TCP sockets in ten processes.

Run it with ``python -m goldcresthoist.bench.membership_processes``; it writes
``build/membership_processes.json``. Every daemon consists of the complete gossip and
control planes. Times are wall-clock times and depend on the other load of the machine.
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
# Time until the updates of the start are no longer spread by gossip.
SETTLE_S = 30.0
BASE_PORT = 23_000


def domain_of(process):
    """Return the failure domain of all daemons of one process."""
    if process in LOST_PROCESSES:
        return "d2"
    return "d0" if process < 4 else "d1"


def make_local_member(process, number, base):
    """Return the member of the daemon with a number in a process."""
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
    """Runs the daemons of one process.

    The public coroutines but `run` are the commands of the parent process.
    """

    def __init__(self, process, base):
        self.process = process
        self.base = base
        self.planes = []
        self.changed = asyncio.Event()

    async def run(self):
        """Start the daemons, then execute commands from standard input.

        A command is a line with the name of a method and its arguments. Its end is
        reported on standard output as a JSON line with the monotonic time.
        """
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

    async def members_known(self, count):
        """Wait until every daemon knows at least ``count`` live members."""
        await self._until(lambda p: p.membership.view.cluster_size() >= int(count))

    async def start_interval(self):
        """Start the interval over which `interval_cost` measures."""
        self.before = self._counters()

    async def interval_cost(self):
        """Print the cost per daemon and second since the start of the interval."""
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
        """Wait until a version or a later one is in force in every daemon."""
        await self._until(
            lambda p: p.fetcher.holder.version_of("team-0") >= int(version)
        )

    async def no_work(self, domain, count):
        """Wait until every daemon suspects ``count`` members of a domain or more.

        A daemon sends no work to members that are suspected or dead.
        """
        await self._until(
            lambda p: _count_not_alive(p.membership, domain) >= int(count),
        )

    async def dead(self, domain, count):
        """Wait until every daemon considers ``count`` members of a domain dead."""
        await self._until(
            lambda p: p.membership.counts_by_domain()[domain].dead >= int(count)
        )

    async def alive(self, count):
        """Wait until every daemon considers ``count`` members or more alive.

        Suspected members do not count.
        """
        await self._until(lambda p: _count_alive(p.membership) >= int(count))

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


def _count_not_alive(membership, domain):
    count = membership.counts_by_domain()[domain]
    return count.suspect + count.dead


def _count_alive(membership):
    return sum(count.alive for count in membership.counts_by_domain().values())


class Parent:
    """Starts the worker processes and sends them commands."""

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

    def run_command(self, *command, workers=None):
        """Send a command to workers and wait until all have executed it.

        Returns the printed results and the time at which the last worker was done.
        """
        numbers = list(self.workers) if workers is None else workers
        for number in numbers:
            self.workers[number].stdin.write(" ".join(map(str, command)) + "\n")
            self.workers[number].stdin.flush()
        replies, latest = [], 0.0
        for number in numbers:
            while "done" not in (line := self._read_reply(number)):
                replies.append(line)
            latest = max(latest, line["at"])
        return replies, latest

    def _read_reply(self, number):
        line = self.workers[number].stdout.readline()
        if not line:
            raise RuntimeError(f"worker {number} ended")
        return json.loads(line)

    def kill(self, number):
        """Kill a worker, so that its daemons do not leave the membership."""
        worker = self.workers.pop(number)
        worker.kill()
        worker.wait()

    def close(self):
        """Kill all workers."""
        for number in tuple(self.workers):
            self.kill(number)


def measure(parent):
    """Run all measurements and return their results."""
    total = PROCESSES * DAEMONS_PER_PROCESS
    result = {"daemons": total, "load_average": psutil.getloadavg()[0]}
    started = time.monotonic()
    _, at = parent.run_command("members_known", total)
    result["all_know_all_s"] = round(at - started, 2)
    time.sleep(SETTLE_S)
    parent.run_command("start_interval")
    time.sleep(STEADY_S)
    replies, _ = parent.run_command("interval_cost")
    result["steady_per_daemon"] = _mean_of(replies)
    result["version_s"] = [_measure_version(parent, number) for number in range(1, 6)]
    result["with_changes_per_daemon"] = _measure_with_changes(parent)
    result["frozen"] = _freeze_process(parent, total)
    result["domain_lost"] = _kill_domain(parent)
    return result


def _mean_of(replies):
    return {
        key: round(sum(reply[key] for reply in replies) / len(replies), 5)
        for key in replies[0]
    }


def _measure_with_changes(parent):
    """Measure the cost with the rate of configuration changes of the largest fleet."""
    parent.run_command("start_interval")
    for number in range(10, 10 + int(STEADY_S * CHANGES_PER_DAY / 86_400)):
        parent.run_command("put", number, workers=[0])
        time.sleep(86_400 / CHANGES_PER_DAY)
    return _mean_of(parent.run_command("interval_cost")[0])


def _measure_version(parent, number):
    started = time.monotonic()
    parent.run_command("put", number, workers=[0])
    _, at = parent.run_command("version", number)
    time.sleep(1)
    return round(at - started, 3)


def _freeze_process(parent, total):
    frozen = parent.workers[FROZEN_PROCESS]
    others = [number for number in parent.workers if number != FROZEN_PROCESS]
    started = time.monotonic()
    frozen.send_signal(signal.SIGSTOP)
    _, noticed = parent.run_command(
        "no_work", "d0", DAEMONS_PER_PROCESS, workers=others
    )
    time.sleep(max(0.0, FROZEN_S - (time.monotonic() - started)))
    frozen.send_signal(signal.SIGCONT)
    resumed = time.monotonic()
    _, back = parent.run_command("alive", total)
    return {
        "no_work_after_s": round(noticed - started, 2),
        "frozen_s": round(resumed - started, 2),
        "all_alive_after_s": round(back - resumed, 2),
    }


def _kill_domain(parent):
    started = time.monotonic()
    for number in LOST_PROCESSES:
        parent.kill(number)
    count = len(LOST_PROCESSES) * DAEMONS_PER_PROCESS
    _, no_work = parent.run_command("no_work", "d2", count)
    _, dead = parent.run_command("dead", "d2", count)
    return {
        "members": count,
        "no_work_after_s": round(no_work - started, 2),
        "dead_after_s": round(dead - started, 2),
    }


def main(arguments=None):
    """Run the benchmark, or one of its workers with ``--worker``."""
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
