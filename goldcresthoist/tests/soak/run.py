"""One seeded run: load, faults in series and at the same time, and the promises."""

import asyncio
import random
import signal
from collections import Counter
from time import monotonic

from goldcresthoist.node.tests.site import configuration, read_answer
from goldcresthoist.tests.soak.fleet import SoakFleet
from goldcresthoist.tests.standins.platform_target import seal_of

__all__ = ["BrokenPromise", "SoakRun"]

SERVICES = ("listen", "listen", "ledger", "ledger")
CALLERS = 6
FAULT_GAP_S = 0.6
# The platform's bound on work for a leaving upstream, and slack for a busy machine.
DRAIN_S = 2.0
DRAIN_SLACK_S = 1.0
ANSWER_FAULTS = ("close", "truncate", "extra", "unframed", "shed", "status")
NOT_RUN_STATUSES = (408, 421, 429, 503)


class BrokenPromise(Exception):
    """A promise of the pages did not hold; the text says which and for what."""


class SoakRun:
    """Plays faults of one seed against a fleet of processes.

    Parameters
    ----------
    seed : int
    length_s : float
        How long faults are injected.
    """

    def __init__(self, seed, length_s=8.0):
        self.random = random.Random(seed)
        self.length_s = length_s
        self.fleet = SoakFleet(list(SERVICES))
        self.version = 1
        self.answers = Counter()
        self.writes = {}
        self.targets = []
        self.left = []
        self.events = []

    async def play(self):
        """Run; return the counts of answers by status.

        Raises
        ------
        BrokenPromise
        """
        fleet = self.fleet
        try:
            await fleet.start()
            until = monotonic() + self.length_s
            async with asyncio.TaskGroup() as group:
                for _ in range(CALLERS):
                    group.create_task(self._call_until(until))
                group.create_task(self._faults_until(until))
            self._heal()
            await self._check_recovery()
            self._check_runs()
        finally:
            await fleet.stop()
        return dict(self.answers)

    async def _call_until(self, until):
        while monotonic() < until:
            ip = self.random.choice(self.fleet.ips)
            try:
                await self._keep_calling(ip, until)
            except (OSError, TimeoutError):
                self.answers["no connection"] += 1
                await asyncio.sleep(0.05)

    async def _keep_calling(self, ip, until):
        """Send requests on one connection until it closes."""
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(ip, 8629)
        try:
            while monotonic() < until:
                answer = await self._one(reader, writer)
                if answer.status == 0 or answer.headers.get("connection") == "close":
                    return
        finally:
            writer.close()

    async def _one(self, reader, writer):
        request_id = f"s{next(self.fleet.ids)}"
        write = self.random.random() < 0.5
        path = "/write/x" if write else "/read/x"
        query = f"?ms={self.random.choice((0, 5, 30))}"
        if self.random.random() < 0.15:
            query += f"&fault={self.random.choice(ANSWER_FAULTS)}"
        method, body = ("POST", b"y" * 200) if write else ("GET", b"")
        head = f"{method} {path}{query} HTTP/1.1\r\nHost: site.example\r\n"
        head += f"Request-Id: {request_id}\r\nDeadline-Ms: 2500\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        if write:
            self.writes[request_id] = None
        writer.write(head.encode() + body)
        async with asyncio.timeout(8.0):
            answer = await read_answer(reader)
        self.answers[answer.status] += 1
        if write:
            self.writes[request_id] = answer.status
        self._check_answer(request_id, answer)
        return answer

    def _check_answer(self, request_id, answer):
        if answer.status != 200:
            return
        identity, _, named = answer.body.decode().partition(" of ")
        if named != request_id:
            raise BrokenPromise(f"{request_id} got the answer {answer.body!r}")
        seal = seal_of(identity, request_id, answer.body)
        if answer.headers.get("response-seal") != seal:
            raise BrokenPromise(f"{request_id}: the answer is not sealed")

    async def _faults_until(self, until):
        faults = (
            self._kill,
            self._restart,
            self._pause,
            self._hang_up,
            self._cut_store,
            self._silence_store,
            self._slow_store,
            self._lose_store_answers,
            self._forget_rows,
            self._change_configuration,
            self._reload,
            self._replace_upstream,
            self._crash_upstream,
            self._slow_upstream,
        )
        async with asyncio.TaskGroup() as group:
            while monotonic() < until:
                fault = self.random.choice(faults)
                ip = self.random.choice(self.fleet.ips)
                self.events.append((round(monotonic(), 2), fault.__name__, ip))
                group.create_task(fault(ip))
                await asyncio.sleep(FAULT_GAP_S * self.random.uniform(0.2, 1.8))

    async def _kill(self, ip):
        await self._alone(ip, self.fleet.kill)

    async def _restart(self, ip):
        await self._alone(ip, self.fleet.restart)

    async def _alone(self, ip, action):
        """Run one action on a process at a time."""
        if ip in self.fleet.paused:
            return
        self.fleet.paused.add(ip)
        try:
            await action(ip)
        finally:
            self.fleet.paused.discard(ip)

    async def _pause(self, ip):
        async def pause(ip):
            self.fleet.signal(ip, signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            self.fleet.signal(ip, signal.SIGCONT)

        await self._alone(ip, pause)

    async def _hang_up(self, ip):
        self.fleet.proxies[ip].reset()

    async def _cut_store(self, ip):
        proxy = self.fleet.proxies[ip]
        proxy.silent = self.random.choice(("to", "from", "both"))
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        proxy.heal()

    async def _silence_store(self, ip):
        self.fleet.store.faults["silent"] = True
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        self.fleet.store.faults.pop("silent", None)

    async def _slow_store(self, ip):
        self.fleet.proxies[ip].delay_s = self.random.uniform(0.05, 0.5)
        await asyncio.sleep(1.0)
        self.fleet.proxies[ip].delay_s = 0.0

    async def _lose_store_answers(self, ip):
        self.fleet.store.faults["lose_answers"] = 2

    async def _forget_rows(self, ip):
        rows = self.fleet.store.rows
        for key in [key for key in rows if key[0] == "goldcresthoist"]:
            del rows[key]

    async def _change_configuration(self, ip):
        self.version += self.random.randint(1, 3)
        self.fleet.configure(configuration(self.version))

    async def _reload(self, ip):
        if ip not in self.fleet.paused:
            self.fleet.signal(ip, signal.SIGHUP)

    async def _replace_upstream(self, ip):
        """Let an upstream leave as planned; another one takes its place."""
        target = self.fleet.targets.get(ip)
        if target is None:
            return
        self.fleet.targets[ip] = None
        await target.drain()
        self.left.append(target)
        await asyncio.sleep(DRAIN_S + DRAIN_SLACK_S)
        await self._start_upstream(ip, target)

    async def _crash_upstream(self, ip):
        target = self.fleet.targets.get(ip)
        if target is None:
            return
        self.fleet.targets[ip] = None
        await target.stop()
        await asyncio.sleep(self.random.uniform(0.1, 0.8))
        await self._start_upstream(ip, target)

    async def _slow_upstream(self, ip):
        """Let an upstream tell a slow phase; its health check may hang meanwhile."""
        target = self.fleet.targets.get(ip)
        if target is None:
            return
        target.pace = 700
        target.health_hangs = self.random.random() < 0.3
        await asyncio.sleep(self.random.uniform(0.1, 3.0))
        target.pace = 100
        target.health_hangs = False

    async def _start_upstream(self, ip, target):
        self.targets.append(target)
        await target.stop()
        identity = f"i-{ip}-{len(self.targets)}"
        await self.fleet.start_target(ip, target.service, identity)

    def _heal(self):
        self.fleet.store.faults = {}
        for proxy in self.fleet.proxies.values():
            proxy.heal()

    async def _check_recovery(self):
        """Check that every daemon serves everything again."""
        try:
            await self.fleet.until_ready()
        except TimeoutError as exc:
            raise BrokenPromise(
                "not served again within 30 s of the last fault"
            ) from exc

    def _check_runs(self):
        """Compare what callers were told with what ran."""
        targets = [*self.targets, *filter(None, self.fleet.targets.values())]
        runs = Counter(run[0] for target in targets for run in target.runs)
        for request_id, status in self.writes.items():
            if runs[request_id] > 1:
                raise BrokenPromise(f"{request_id} ran {runs[request_id]} times")
            if status in NOT_RUN_STATUSES and runs[request_id]:
                raise BrokenPromise(f"{request_id} ran, its caller was told {status}")
            if status == 200 and not runs[request_id]:
                raise BrokenPromise(f"{request_id} was answered and did not run")
        for target in self.left:
            last = target.acknowledged_at + DRAIN_S + DRAIN_SLACK_S
            late = [run[0] for run in target.runs if run[1] > last]
            if late:
                raise BrokenPromise(f"{target.identity} got {late} after it left")
