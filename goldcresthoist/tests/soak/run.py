"""A seeded run of load and overlapping faults that checks the guarantees to callers."""

import asyncio
import random
import signal
from collections import Counter
from time import monotonic

from goldcresthoist.node.tests.site import configuration, read_answer
from goldcresthoist.tests.soak.fleet import SoakFleet
from goldcresthoist.tests.standins.platform_target import response_seal

__all__ = ["GuaranteeViolation", "SoakRun"]

SERVICES = ("listen", "listen", "ledger", "ledger")
CALLERS = 6
FAULT_INTERVAL_S = 0.6
# The platform limits how long a draining upstream may still receive work. The slack
# allows for scheduling delays on a busy machine.
DRAIN_LIMIT_S = 2.0
DRAIN_SLACK_S = 1.0
# Values of ``fault`` in the query of a request to a `PlatformTarget`.
RESPONSE_FAULTS = ("close", "truncate", "extra", "unframed", "shed", "status")
# Statuses with which a daemon guarantees that the request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class GuaranteeViolation(Exception):
    """A documented guarantee did not hold; the message names it and the request."""


class SoakRun:
    """Injects the faults of one seed into a fleet of processes under load.

    Parameters
    ----------
    seed : int
        Seed of the random choices of requests and faults.
    duration_s : float
        Duration of the load and the faults in seconds.
    """

    def __init__(self, seed, duration_s=8.0):
        self.random = random.Random(seed)
        self.duration_s = duration_s
        self.fleet = SoakFleet(list(SERVICES))
        # Version of the configuration in the store.
        self.version = 1
        # Number of responses by status. The status is 0 for an incomplete response; the
        # key "no connection" counts connections that failed or timed out.
        self.answers = Counter()
        # Status by request id of each write, or None without a response.
        self.writes = {}
        self.replaced_targets = []
        self.drained_targets = []
        # (monotonic time in seconds, fault, IP address of the daemon) of each injected
        # fault.
        self.events = []

    async def execute(self):
        """Run the load and the faults; return the number of responses by status.

        Raises
        ------
        ExceptionGroup
            With a `GuaranteeViolation`, if a response during the run violated a
            documented guarantee.
        GuaranteeViolation
            If the checks after the run found a violation.
        """
        fleet = self.fleet
        try:
            await fleet.start()
            end_time = monotonic() + self.duration_s
            async with asyncio.TaskGroup() as group:
                for _ in range(CALLERS):
                    group.create_task(self._send_requests_until(end_time))
                group.create_task(self._inject_faults_until(end_time))
            self._clear_faults()
            await self._check_recovery()
            self._check_runs()
        finally:
            await fleet.stop()
        return dict(self.answers)

    async def _send_requests_until(self, end_time):
        while monotonic() < end_time:
            ip = self.random.choice(self.fleet.ips)
            try:
                await self._send_on_connection(ip, end_time)
            except (OSError, TimeoutError):
                self.answers["no connection"] += 1
                await asyncio.sleep(0.05)

    async def _send_on_connection(self, ip, end_time):
        """Send requests on one connection until it closes or the time is over."""
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(ip, 8629)
        try:
            while monotonic() < end_time:
                answer = await self._send_request(reader, writer)
                if answer.status == 0 or answer.headers.get("connection") == "close":
                    return
        finally:
            writer.close()

    async def _send_request(self, reader, writer):
        request_id = f"s{next(self.fleet.ids)}"
        write = self.random.random() < 0.5
        path = "/write/x" if write else "/read/x"
        query = f"?ms={self.random.choice((0, 5, 30))}"
        if self.random.random() < 0.15:
            query += f"&fault={self.random.choice(RESPONSE_FAULTS)}"
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
            raise GuaranteeViolation(f"{request_id} got the response {answer.body!r}")
        seal = response_seal(identity, request_id, answer.body)
        if answer.headers.get("response-seal") != seal:
            raise GuaranteeViolation(f"{request_id}: the response has no valid seal")

    async def _inject_faults_until(self, end_time):
        faults = (
            self._kill,
            self._restart,
            self._pause,
            self._reset_store_connections,
            self._drop_store_traffic,
            self._stall_store,
            self._delay_store,
            self._lose_store_responses,
            self._delete_daemon_rows,
            self._change_configuration,
            self._reload_settings,
            self._replace_upstream,
            self._crash_upstream,
            self._slow_upstream,
        )
        async with asyncio.TaskGroup() as group:
            while monotonic() < end_time:
                fault = self.random.choice(faults)
                ip = self.random.choice(self.fleet.ips)
                self.events.append((round(monotonic(), 2), fault.__name__, ip))
                group.create_task(fault(ip))
                await asyncio.sleep(FAULT_INTERVAL_S * self.random.uniform(0.2, 1.8))

    async def _kill(self, ip):
        await self._run_exclusively(ip, self.fleet.kill_and_start)

    async def _restart(self, ip):
        await self._run_exclusively(ip, self.fleet.restart)

    async def _run_exclusively(self, ip, action):
        """Run an action on a daemon unless another action is running on it."""
        if ip in self.fleet.busy:
            return
        self.fleet.busy.add(ip)
        try:
            await action(ip)
        finally:
            self.fleet.busy.discard(ip)

    async def _pause(self, ip):
        async def pause(ip):
            self.fleet.signal(ip, signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            self.fleet.signal(ip, signal.SIGCONT)

        await self._run_exclusively(ip, pause)

    async def _reset_store_connections(self, ip):
        self.fleet.proxies[ip].reset()

    async def _drop_store_traffic(self, ip):
        proxy = self.fleet.proxies[ip]
        proxy.dropped_direction = self.random.choice(("to", "from", "both"))
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        proxy.clear_faults()

    async def _stall_store(self, ip):
        self.fleet.store.faults["silent"] = True
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        self.fleet.store.faults.pop("silent", None)

    async def _delay_store(self, ip):
        self.fleet.proxies[ip].delay_s = self.random.uniform(0.05, 0.5)
        await asyncio.sleep(1.0)
        self.fleet.proxies[ip].delay_s = 0.0

    async def _lose_store_responses(self, ip):
        self.fleet.store.faults["lose_answers"] = 2

    async def _delete_daemon_rows(self, ip):
        rows = self.fleet.store.rows
        for key in [key for key in rows if key[0] == "goldcresthoist"]:
            del rows[key]

    async def _change_configuration(self, ip):
        self.version += self.random.randint(1, 3)
        self.fleet.configure(configuration(self.version))

    async def _reload_settings(self, ip):
        if ip not in self.fleet.busy:
            self.fleet.signal(ip, signal.SIGHUP)

    async def _replace_upstream(self, ip):
        """Drain an upstream, then replace it by one with a new identity."""
        target = self.fleet.targets.get(ip)
        if target is None:
            return
        self.fleet.targets[ip] = None
        await target.drain()
        self.drained_targets.append(target)
        await asyncio.sleep(DRAIN_LIMIT_S + DRAIN_SLACK_S)
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
        """Make an upstream report 7 times its usual processing time for a while.

        In 30% of the cases, its health check gets no response meanwhile.
        """
        target = self.fleet.targets.get(ip)
        if target is None:
            return
        target.pace = 700
        target.health_hangs = self.random.random() < 0.3
        await asyncio.sleep(self.random.uniform(0.1, 3.0))
        target.pace = 100
        target.health_hangs = False

    async def _start_upstream(self, ip, target):
        self.replaced_targets.append(target)
        await target.stop()
        identity = f"i-{ip}-{len(self.replaced_targets)}"
        await self.fleet.start_target(ip, target.service, identity)

    def _clear_faults(self):
        self.fleet.store.faults = {}
        for proxy in self.fleet.proxies.values():
            proxy.clear_faults()

    async def _check_recovery(self):
        """Check that every daemon serves every route again."""
        try:
            await self.fleet.wait_until_ready()
        except TimeoutError as exc:
            raise GuaranteeViolation(
                "requests are not served again within 30 s of the last fault"
            ) from exc

    def _check_runs(self):
        """Compare the statuses that callers received with the recorded executions."""
        targets = [*self.replaced_targets, *filter(None, self.fleet.targets.values())]
        runs = Counter(run[0] for target in targets for run in target.runs)
        for request_id, status in self.writes.items():
            if runs[request_id] > 1:
                raise GuaranteeViolation(
                    f"{request_id} was executed {runs[request_id]} times"
                )
            if status in NOT_EXECUTED_STATUSES and runs[request_id]:
                raise GuaranteeViolation(
                    f"{request_id} was executed, its caller received {status}"
                )
            if status == 200 and not runs[request_id]:
                raise GuaranteeViolation(
                    f"{request_id} was answered with 200 but not executed"
                )
        for target in self.drained_targets:
            last = target.acknowledged_at + DRAIN_LIMIT_S + DRAIN_SLACK_S
            late = [run[0] for run in target.runs if run[1] > last]
            if late:
                raise GuaranteeViolation(
                    f"{target.identity} received {late} after it had drained"
                )
