"""Daemon of the benchmark, which counts what the measurement of load costs.

It consists of the call path only. Measurement is the making, sending and evaluation of
load reports. The daemon reads commands as JSON lines from standard input:
``{"delay_reports_s": s}`` delays the load reports that it receives, and
``{"report": true}`` makes it print its `NodeReport` as a JSON line.
"""

import asyncio
import os
import sys
import time

import msgspec

from goldcresthoist.balance import Admission, Chooser, get_policy
from goldcresthoist.daemon.collector import tune_garbage_collector
from goldcresthoist.links import connection
from goldcresthoist.links.frames import (
    Failed,
    Head,
    LoadReport,
    Pong,
    Refuse,
    encode_frame,
)
from goldcresthoist.tests.pathnode import NodePlan, PathNode

__all__ = ["NodeReport"]


def _clock_cost_s():
    """Return the time that two readings of the clock add to a measured interval."""
    start = time.thread_time()
    for _ in range(CALIBRATION_RUNS):
        time.thread_time()
    return (time.thread_time() - start) / CALIBRATION_RUNS


CALIBRATION_RUNS = 10_000
CLOCK_COST_S = _clock_cost_s()


class NodeReport(msgspec.Struct):
    """Counters of one daemon since its start.

    Parameters
    ----------
    instance : str
        Instance of the daemon.
    cpu_s : float
        Processor time of the whole process.
    measuring_cpu_s : float
        Processor time of load measurement.
    measured_times : int
        Number of intervals that were added to ``measuring_cpu_s``.
    link_bytes, measuring_bytes : int
        Bytes of all frames that were sent, and of the load in them.
    calls, retries, hedges : int
        Calls, and additional attempts of them, over all routes.
    refused : int
        Calls that admission refused.
    """

    instance: str = ""
    cpu_s: float = 0.0
    measuring_cpu_s: float = 0.0
    measured_times: int = 0
    link_bytes: int = 0
    measuring_bytes: int = 0
    calls: int = 0
    retries: int = 0
    hedges: int = 0
    refused: int = 0

    def add_measuring_time(self, start_s):
        """Add the processor time since ``start_s``, less that of reading the clock."""
        self.measured_times += 1
        spent_s = time.thread_time() - start_s - CLOCK_COST_S
        self.measuring_cpu_s += max(0.0, spent_s)


class MeasuredChooser(Chooser):
    """Chooser that counts the time spent on load reports, and can delay them."""

    def __init__(self, policy, totals):
        super().__init__(policy)
        self.totals = totals
        self.delay_s = 0.0
        self.loop = asyncio.get_running_loop()

    def record_load(self, view, load, now):
        """Record a load report, after ``delay_s`` if that is set."""
        if self.delay_s:
            self.loop.call_later(self.delay_s, self._record_delayed, view, load)
            return
        start = time.thread_time()
        super().record_load(view, load, now)
        self.totals.add_measuring_time(start)

    def _record_delayed(self, view, load):
        # The current time as the time of receipt hides the age of the report.
        super().record_load(view, load, time.monotonic())


class MeasuredAdmission(Admission):
    """Admission that counts the time spent on making load reports."""

    def __init__(self, configuration, policy, totals):
        super().__init__(configuration, policy)
        self.totals = totals

    def report(self, now=None):
        """Return the load report that responses carry to other daemons."""
        start = time.thread_time()
        report = super().report(now)
        self.totals.add_measuring_time(start)
        return report


class FrameCounter:
    """Encodes frames and counts the bytes of them and of the load in them."""

    def __init__(self, totals):
        self.totals = totals
        self.encoder = msgspec.msgpack.Encoder()
        # The load is encoded together with its frame, so the time for the load alone
        # is measured once in advance.
        self.encoding_s = self._encoding_s()

    def _encoding_s(self):
        load = LoadReport(6, 0, 12, 100, False, 30_000)
        start = time.thread_time()
        for _ in range(CALIBRATION_RUNS):
            self.encoder.encode(load)
        return (time.thread_time() - start) / CALIBRATION_RUNS

    def encode(self, message):
        """Encode a frame and count it."""
        data = encode_frame(message)
        self.totals.link_bytes += len(data)
        # Pings serve to detect failed links, so only the load in the pongs counts as
        # measurement, not the pings and pongs themselves.
        if isinstance(message, (Head, Refuse, Failed, Pong)):
            self.totals.measuring_bytes += len(self.encoder.encode(message.load))
            # The factor 2 covers the decoding by the peer, which costs about as much.
            self.totals.measuring_cpu_s += 2.0 * self.encoding_s
        return data


def build_node(plan, totals):
    """Return a node that counts the cost of load measurement in ``totals``."""
    node = PathNode(plan)
    policy = get_policy(plan.policy)
    node.chooser = node.router.chooser = MeasuredChooser(policy, totals)
    node.server.make_admission = lambda configuration: MeasuredAdmission(
        configuration, policy, totals
    )
    connection.encode_frame = FrameCounter(totals).encode
    return node


def update_totals(node, totals):
    """Copy the processor time and the counts of budgets and admission to ``totals``."""
    budgets = [route.budget for route in node.router.routes.values()]
    totals.cpu_s = time.process_time()
    totals.calls = sum(budget.calls for budget in budgets)
    totals.retries = sum(budget.retries for budget in budgets)
    totals.hedges = sum(budget.hedges for budget in budgets)
    if node.server.admission is not None:
        totals.refused = node.server.admission.refused


async def _read_commands():
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield msgspec.json.decode(line)


async def _run(plan):
    totals = NodeReport(plan.member.instance)
    node = build_node(plan, totals)
    await node.start()
    tune_garbage_collector()
    print("ready", flush=True)
    async for command in _read_commands():
        if "delay_reports_s" in command:
            node.chooser.delay_s = command["delay_reports_s"]
        if "report" in command:
            update_totals(node, totals)
            print(msgspec.json.encode(totals).decode(), flush=True)
    await node.close()


def main():
    """Run one daemon until its standard input is closed."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    plan = msgspec.json.decode(sys.argv[1].encode(), type=NodePlan)
    uvloop.run(_run(plan))


if __name__ == "__main__":
    main()
