"""A seeded run of load and overlapping faults that checks the guarantees to callers."""

import asyncio
import base64
import random
import signal
from collections import Counter
from time import monotonic

from goldcresthoist.fleet.drained_domains import KEPT_S
from goldcresthoist.node.tests.loopback_cluster import configuration, read_answer
from goldcresthoist.tests.soak.fleet import SoakFleet
from goldcresthoist.tests.standins.platform_target import response_seal

__all__ = ["GuaranteeViolation", "SoakRun"]

SERVICES = ("listen", "ledger", "listen", "ledger")
CALLERS = 6
FAULT_INTERVAL_S = 0.6
# Number of the last versions of the configuration that requests look for.
RECENT_VERSIONS = 4
DEADLINE_S = 2.5
# An upstream may start a request this long after the deadline of its caller: a busy
# machine delays what was sent in time.
DEADLINE_SLACK_S = 0.5
# The platform limits how long a draining upstream may still receive work. The slack
# allows for scheduling delays on a busy machine.
DRAIN_LIMIT_S = 2.0
DRAIN_SLACK_S = 1.0
# Time for which an upstream serves after its departure was acknowledged.
DEPARTED_SERVING_S = 5.0
# Values of ``fault`` in the query of a request to a `PlatformTarget`.
RESPONSE_FAULTS = (
    "close",
    "truncate",
    "extra",
    "late",
    "garbage",
    "unframed",
    "shed",
    "status",
    "endless-line",
    "endless-other",
)
# Methods of `SoakRun`, without the leading underscore.
FAULTS = (
    "kill",
    "restart",
    "restart_with_signals",
    "start_without_store",
    "pause",
    "slow_down",
    "step_clock",
    "cut_peers",
    "delay_peers",
    "reset_peers",
    "isolate",
    "silence_connections",
    "reset_store_connections",
    "drop_store_traffic",
    "stall_store",
    "delay_store",
    "lose_store_responses",
    "delete_daemon_rows",
    "restore_store",
    "restore_with_same_versions",
    "change_configuration",
    "drain_domain",
    "reload_settings",
    "replace_upstream",
    "leave_and_kill",
    "crash_upstream",
    "slow_upstream",
)
# A configuration is in force this long after the last fault: the platform lets daemons
# be out of touch for 3 s after a fault, and a change take 2 s then.
IN_FORCE_S = 5.0
# Failure domain without instances, which the operator drains and takes back.
DRAINED_DOMAIN = "z"
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
    services : sequence of str
        Service of each daemon's upstream.
    faults : sequence of str, optional
        Names of the faults to inject, by default all of `FAULTS`.
    interval_s : float
        Mean time between two faults in seconds.
    disabled : str
        Name of the mechanism that the daemons do without.
    """

    def __init__(
        self,
        seed,
        duration_s=8.0,
        services=SERVICES,
        faults=FAULTS,
        interval_s=FAULT_INTERVAL_S,
        disabled="",
    ):
        self.random = random.Random(seed)
        self.duration_s = duration_s
        self.faults = faults
        self.interval_s = interval_s
        self.fleet = SoakFleet(list(services), disabled)
        # Versions of the configuration that were written to the store, and the newest
        # document.
        self.versions = [1]
        self.document = configuration()
        self.domain_drained = False
        self.restoring = False
        # Number of responses by status. The status is 0 for an incomplete response; the
        # key "no connection" counts connections that failed or timed out.
        self.answers = Counter()
        # Status by request id of each write, or None without a response.
        self.writes = {}
        # Monotonic time by request id at which the caller's deadline passes.
        self.deadlines = {}
        # Highest version that each daemon process has shown, by process id.
        self.shown_versions = Counter()
        self.replaced_targets = []
        self.drained_targets = []
        # (monotonic time in seconds, fault, IP address of the daemon) of each injected
        # fault.
        self.events = []
        # Last log lines of each daemon by IP address, once the run has ended.
        self.logs = {}

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
            await self._check_configuration()
            self._check_runs()
        finally:
            self.logs = fleet.logs()
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
        process = self.fleet.processes[ip]
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(ip, 8629)
        try:
            while monotonic() < end_time:
                answer = await self._send_request(reader, writer, process)
                if answer.status == 0 or answer.headers.get("connection") == "close":
                    return
        finally:
            writer.close()

    async def _send_request(self, reader, writer, process):
        request_id = f"s{next(self.fleet.ids)}"
        write = self.random.random() < 0.5
        path = "/write/x" if write else "/read/x"
        version = 0
        if not write and self.random.random() < 0.4:
            version = self.random.choice(self.versions[-RECENT_VERSIONS:])
            path = f"/v{version}/x"
        query = f"?ms={self.random.choice((0, 5, 30))}"
        if self.random.random() < 0.15:
            query += f"&fault={self.random.choice(RESPONSE_FAULTS)}"
        method, body = ("POST", b"y" * 200) if write else ("GET", b"")
        head = f"{method} {path}{query} HTTP/1.1\r\nHost: site.example\r\n"
        head += f"Request-Id: {request_id}\r\n"
        head += f"Deadline-Ms: {round(DEADLINE_S * 1000)}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        if write:
            self.writes[request_id] = None
        self.deadlines[request_id] = monotonic() + DEADLINE_S
        writer.write(head.encode() + body)
        async with asyncio.timeout(8.0):
            answer = await read_answer(reader)
        self.answers[answer.status] += 1
        if write:
            self.writes[request_id] = answer.status
        self._check_answer(request_id, answer)
        if version:
            self._check_version(process, version, answer)
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

    def _check_version(self, process, version, answer):
        """Check that a process that has shown a version does not forget it.

        Each version adds a route, so a request on it is answered with 404 only by a
        process that does not have that version.
        """
        shown = self.shown_versions[process.pid]
        if answer.status == 404 and version <= shown:
            raise GuaranteeViolation(
                f"a daemon has shown version {shown} and does not know {version}"
            )
        if answer.status == 200:
            self.shown_versions[process.pid] = max(shown, version)

    async def _inject_faults_until(self, end_time):
        async with asyncio.TaskGroup() as group:
            while monotonic() < end_time:
                fault = self.random.choice(self.faults)
                ip = self.random.choice(self.fleet.ips)
                self.events.append((round(monotonic(), 2), fault, ip))
                group.create_task(getattr(self, f"_{fault}")(ip))
                await asyncio.sleep(self.interval_s * self.random.uniform(0.2, 1.8))

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
            await asyncio.sleep(self.random.choice((0.3, 1.5, DEADLINE_S + 1.5)))
            self.fleet.signal(ip, signal.SIGCONT)

        await self._run_exclusively(ip, pause)

    async def _slow_down(self, ip):
        """Stop a daemon for most of the time, as an overloaded instance does."""

        async def slow_down(ip):
            for _ in range(20):
                self.fleet.signal(ip, signal.SIGSTOP)
                await asyncio.sleep(0.08)
                self.fleet.signal(ip, signal.SIGCONT)
                await asyncio.sleep(0.02)

        await self._run_exclusively(ip, slow_down)

    async def _step_clock(self, ip):
        """Set the time of day of a daemon ahead or back for a while."""
        path = self.fleet.clock_path(ip)
        path.write_text(str(self.random.choice((-3600, -3, 3, 3600))))
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        path.write_text("0")

    async def _restart_with_signals(self, ip):
        """Send signals to a daemon that stops, and in some cases kill it then."""

        async def restart_with_signals(ip):
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                self.fleet.signal(ip, number)
                await asyncio.sleep(self.random.uniform(0.0, 0.5))
            if self.random.random() < 0.5:
                await self.fleet.kill_and_start(ip)
            else:
                await self.fleet.restart(ip)

        await self._run_exclusively(ip, restart_with_signals)

    async def _start_without_store(self, ip):
        """Start a daemon that cannot reach the store at first."""

        async def start_without_store(ip):
            self.fleet.proxies[ip].dropped_direction = "both"
            await self.fleet.kill_and_start(ip)
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            self._clear_store_proxy(ip)

        await self._run_exclusively(ip, start_without_store)

    def _clear_store_proxy(self, ip):
        proxy = self.fleet.proxies[ip]
        proxy.clear_faults()
        # Bytes were lost, so the connections carry incomplete messages.
        proxy.reset()

    async def _cut_peers(self, ip):
        """Silence the links and datagrams between two daemons, also one way."""
        proxies = self._proxies_to_another(ip)
        for proxy in proxies:
            proxy.cut(self.random.choice(("to", "from", "both")))
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        for proxy in proxies:
            proxy.clear_faults()

    async def _delay_peers(self, ip):
        proxies = self._proxies_to_another(ip)
        for proxy in proxies:
            proxy.links.delay_s = self.random.uniform(0.02, 0.4)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        for proxy in proxies:
            proxy.links.delay_s = 0.0

    async def _reset_peers(self, ip):
        for proxy in self._proxies_to_another(ip):
            proxy.links.reset()

    async def _isolate(self, ip):
        """Cut a daemon off from all others and from the store."""
        others = [other for other in self.fleet.ips if other != ip]
        proxies = [p for other in others for p in self.fleet.proxies_between(ip, other)]
        for proxy in proxies:
            proxy.cut("both")
        self.fleet.proxies[ip].dropped_direction = "both"
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        for proxy in proxies:
            proxy.clear_faults()
        self._clear_store_proxy(ip)

    async def _silence_connections(self, ip):
        """Let all open connections of a daemon fall silent; datagrams still pass.

        A change is made afterwards, which the daemon must learn on new connections.
        """
        others = [other for other in self.fleet.ips if other != ip]
        proxies = [p for other in others for p in self.fleet.proxies_between(ip, other)]
        for proxy in proxies:
            proxy.links.silence()
        self.fleet.proxies[ip].silence()
        await self._change_configuration(ip)

    def _proxies_to_another(self, ip):
        other = self.random.choice([other for other in self.fleet.ips if other != ip])
        return self.fleet.proxies_between(ip, other)

    async def _reset_store_connections(self, ip):
        self.fleet.proxies[ip].reset()

    async def _drop_store_traffic(self, ip):
        proxy = self.fleet.proxies[ip]
        proxy.dropped_direction = self.random.choice(("to", "from", "both"))
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self._clear_store_proxy(ip)

    async def _stall_store(self, ip):
        self.fleet.store.faults["silent"] = True
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        self.fleet.store.faults.pop("silent", None)

    async def _delay_store(self, ip):
        self.fleet.proxies[ip].delay_s = self.random.uniform(0.05, 0.8)
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        self.fleet.proxies[ip].delay_s = 0.0

    async def _lose_store_responses(self, ip):
        self.fleet.store.faults["lose_answers"] = 2

    async def _delete_daemon_rows(self, ip):
        rows = self.fleet.store.rows
        for key in [key for key in rows if key[0] == "goldcresthoist"]:
            del rows[key]

    async def _change_configuration(self, ip):
        self.versions.append(self.versions[-1] + self.random.randint(1, 3))
        document = configuration(self.versions[-1])
        read = document["routes"][0]
        for version in self.versions:
            added = {"name": f"v{version}", "prefix": f"/v{version}/"}
            document["routes"].append(read | added)
        self.document = document
        self.fleet.configure(document)

    async def _drain_domain(self, ip):
        """Drain a failure domain, or take the drain back."""
        self.domain_drained = not self.domain_drained
        self._write_drain()

    def _write_drain(self):
        key = f"evacuate/{DRAINED_DOMAIN}"
        if self.domain_drained:
            self.fleet.store.put("op", key, base64.b64encode(b"{}").decode())
        else:
            self.fleet.store.remove("op", key)

    async def _restore_store(self, ip):
        """Restore the store from a copy; the operator writes again what is lost."""
        copied_at = monotonic() - self.random.uniform(0.1, 6.0)
        lost = await self._restore_from(copied_at)
        if lost is None:
            return
        self.fleet.store.faults.pop("down", None)
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        self._write_again(lost)

    async def _restore_with_same_versions(self, ip):
        """Restore the store, which gives all versions out again at once.

        Two changes are lost. The last one is written again, followed by a new one,
        before any daemon can call.
        """
        store = self.fleet.store
        copied_at = monotonic()
        for _ in range(2):
            await self._change_configuration(ip)
            await asyncio.sleep(self.random.uniform(0.4, 0.6))
        before = store.version
        lost = await self._restore_from(copied_at)
        if lost is None:
            return
        self._write_again(lost)
        await self._change_configuration(ip)
        while store.version < before:
            store.put("op", "other", "")
        store.faults.pop("down", None)

    async def _restore_from(self, copied_at):
        """Restore the store as it was at a time, in most cases after an outage.

        Returns
        -------
        dict or None
            What the operator has to write again; None if another restore is under way.
            If it was down, the store is still down.
        """
        if self.restoring:
            return None
        self.restoring = True
        store = self.fleet.store
        if self.random.random() < 0.7:
            store.faults["down"] = True
            await asyncio.sleep(self.random.choice((0.1, 0.4, 2.5)))
        self.restoring = False
        return store.restore(monotonic() - copied_at)

    def _write_again(self, lost):
        if "config" in lost:
            self.fleet.configure(self.document)
        if f"evacuate/{DRAINED_DOMAIN}" in lost:
            self._write_drain()

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
        await asyncio.sleep(DEPARTED_SERVING_S)
        await self._start_upstream(ip, target)

    async def _leave_and_kill(self, ip):
        """Let an upstream leave and fall silent, and kill its daemon meanwhile.

        The daemon that starts again finds an upstream that responds to health checks.
        """
        target = self.fleet.targets.get(ip)
        if target is None:
            return
        self.fleet.targets[ip] = None
        await target.drain()
        target.heartbeat_task.cancel()
        self.drained_targets.append(target)
        await self._kill(ip)
        await asyncio.sleep(DEPARTED_SERVING_S)
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
        for ip, proxy in self.fleet.proxies.items():
            if proxy.dropped_direction:
                self._clear_store_proxy(ip)
            proxy.clear_faults()
        for proxy in self.fleet.peer_proxies.values():
            proxy.clear_faults()

    async def _check_recovery(self):
        """Check that every daemon serves every route again."""
        try:
            await self.fleet.wait_until_ready()
        except TimeoutError as exc:
            raise GuaranteeViolation(
                "requests are not served again within 30 s of the last fault"
            ) from exc

    async def _check_configuration(self):
        """Check that every daemon has what the operator wrote last."""
        end_time = monotonic() + IN_FORCE_S
        for ip in self.fleet.ips:
            path = f"/v{self.versions[-1]}/x" if self.versions[-1] > 1 else "/read/x"
            while not await self.fleet.is_served(ip, path, "GET"):
                if monotonic() > end_time:
                    raise GuaranteeViolation(
                        f"{ip} does not serve version {self.versions[-1]}, which is "
                        f"{IN_FORCE_S} s old"
                    )
                await asyncio.sleep(0.1)
        end_time = monotonic() + KEPT_S
        for ip in self.fleet.ips:
            while await self.fleet.drained_domains(ip) != int(self.domain_drained):
                if monotonic() > end_time:
                    raise GuaranteeViolation(
                        f"{ip}: the drain of a domain is not {self.domain_drained}"
                    )
                await asyncio.sleep(0.1)

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
        for target in targets:
            for request_id, ran_at, *_ in target.runs:
                deadline = self.deadlines.get(request_id, ran_at)
                if ran_at > deadline + DEADLINE_SLACK_S:
                    late_s = ran_at - deadline
                    raise GuaranteeViolation(
                        f"{request_id} was executed {late_s:.2f} s after its deadline"
                    )
        for target in self.drained_targets:
            last = target.acknowledged_at + DRAIN_LIMIT_S + DRAIN_SLACK_S
            late = [run[0] for run in target.runs if run[1] > last]
            if late:
                raise GuaranteeViolation(
                    f"{target.identity} received {late} after it had drained"
                )
