"""Daemon of the benchmark: the call path, with counts of what measuring costs.

Reads commands as JSON lines on standard input: ``{"delay_reports_s": s}`` makes load
reports arrive late, ``{"report": true}`` is answered by a `NodeReport` line.
"""

import asyncio
import os
import sys
import time

import msgspec

from goldcresthoist.balance import Admission, Chooser, policy_named
from goldcresthoist.daemon.collector import tune_collector
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
    """Return what reading the clock twice adds to a measured time."""
    start = time.thread_time()
    for _ in range(CALIBRATION_RUNS):
        time.thread_time()
    return (time.thread_time() - start) / CALIBRATION_RUNS


CALIBRATION_RUNS = 10_000
CLOCK_COST_S = _clock_cost_s()


class NodeReport(msgspec.Struct):
    """Running totals of one node. Times are processor seconds."""

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
        """Add processor time since ``start_s``."""
        self.measured_times += 1
        spent_s = time.thread_time() - start_s - CLOCK_COST_S
        self.measuring_cpu_s += max(0.0, spent_s)


class MeasuredChooser(Chooser):
    """Counts the time spent on load reports, and can delay them."""

    def __init__(self, policy, totals):
        super().__init__(policy)
        self.totals = totals
        self.delay_s = 0.0
        self.loop = asyncio.get_running_loop()

    def record_load(self, view, load, now):
        """Take over a load report."""
        if self.delay_s:
            self.loop.call_later(self.delay_s, self._record_late, view, load)
            return
        start = time.thread_time()
        super().record_load(view, load, now)
        self.totals.add_measuring_time(start)

    def _record_late(self, view, load):
        # Nothing tells the daemon that the report is old.
        super().record_load(view, load, time.monotonic())


class MeasuredAdmission(Admission):
    """Counts the time spent on making load reports."""

    def __init__(self, configuration, policy, totals):
        super().__init__(configuration, policy)
        self.totals = totals

    def report(self, now=None):
        """Return the load that answers carry to other daemons."""
        start = time.thread_time()
        report = super().report(now)
        self.totals.add_measuring_time(start)
        return report


class FrameCounter:
    """Counts the bytes of all frames and of the load in them."""

    def __init__(self, totals):
        self.totals = totals
        self.encoder = msgspec.msgpack.Encoder()
        # The load is encoded together with its frame, so its share of that time can
        # only be found on its own.
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
        # Pings detect failures of links; only the load in their answers is measuring.
        if isinstance(message, (Head, Refuse, Failed, Pong)):
            self.totals.measuring_bytes += len(self.encoder.encode(message.load))
            # The peer decodes what this daemon encodes, at about the same cost.
            self.totals.measuring_cpu_s += 2.0 * self.encoding_s
        return data


def build(plan, totals):
    """Assemble a node whose measuring is counted."""
    node = PathNode(plan)
    policy = policy_named(plan.policy)
    node.chooser = node.router.chooser = MeasuredChooser(policy, totals)
    node.server.make_admission = lambda configuration: MeasuredAdmission(
        configuration, policy, totals
    )
    connection.encode_frame = FrameCounter(totals).encode
    return node


def update(node, totals):
    """Copy the counts of budgets and admission."""
    budgets = [route.budget for route in node.router.routes.values()]
    totals.cpu_s = time.process_time()
    totals.calls = sum(budget.calls for budget in budgets)
    totals.retries = sum(budget.retries for budget in budgets)
    totals.hedges = sum(budget.hedges for budget in budgets)
    if node.server.admission is not None:
        totals.refused = node.server.admission.refused


async def _commands():
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield msgspec.json.decode(line)


async def _run(plan):
    totals = NodeReport(plan.member.instance)
    node = build(plan, totals)
    await node.start()
    tune_collector()
    print("ready", flush=True)
    async for command in _commands():
        if "delay_reports_s" in command:
            node.chooser.delay_s = command["delay_reports_s"]
        if "report" in command:
            update(node, totals)
            print(msgspec.json.encode(totals).decode(), flush=True)
    await node.close()


def main():
    """Run one node until its standard input ends."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    plan = msgspec.json.decode(sys.argv[1].encode(), type=NodePlan)
    uvloop.run(_run(plan))


if __name__ == "__main__":
    main()
