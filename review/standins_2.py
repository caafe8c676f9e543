"""Stand-ins for the scripts of the second review: store, targets, clients, daemons.

Only the standard library is used. The store, the targets and the clients run in the
process of the script; the daemons are processes of their own, started with the command
of the deploy file. Everything listens on loopback addresses that a run picks at random.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# The command of deploy/system.toml.
COMMAND = ["python3", "-m", "goldcresthoist.node"]
STORE_PORT = 8627
HOST = "site.example"
CRASH_S = 0.02
DOWN_S = 2.0


async def read_head(reader):
    """Return the start line and the header fields (names in lower case)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Return the body of a message that states its length or comes in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def message(start, fields, body=b""):
    """Return an HTTP/1.1 message with a Content-Length."""
    lines = [start, *(f"{name}: {value}" for name, value in fields)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """HTTP/1.1 server; ``handle(start, fields, body, writer)`` writes the response.

    The connection is closed when ``handle`` returns False.
    """

    def __init__(self):
        self.listener = None
        self.writers = set()

    async def listen(self, host, port):
        self.listener = await asyncio.start_server(
            self._serve, host, port, limit=2**20, backlog=512
        )

    def close(self):
        """Stop listening and reset all connections, as a process that ends."""
        if self.listener is not None:
            self.listener.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, fields = await read_head(reader)
                body = await read_body(reader, fields)
                if await self.handle(start, fields, body, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store, as far as the daemons use it: rows, feed, transactions."""

    def __init__(self):
        super().__init__()
        self.version = 0
        self.rows = {}
        # (version, table, key, value, deleted), oldest first.
        self.history = []
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.down = False

    def put(self, table, key, value):
        """Write a row as the operator or a transaction does; return its version."""
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self._record(table, key, value, False)
        return self.version

    def remove(self, table, key):
        if (table, key) in self.rows:
            self.version += 1
            del self.rows[table, key]
            self._record(table, key, "", True)

    def configure(self, document):
        """Write op/config; the return is the acknowledgement."""
        text = json.dumps(document).encode()
        return self.put("op", "config", base64.b64encode(text).decode())

    def _record(self, table, key, value, deleted):
        self.history.append((self.version, table, key, value, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, start, fields, body, writer):
        from urllib.parse import parse_qsl

        method, target, _ = start.split(" ")
        path, _, query = target.partition("?")
        query = dict(parse_qsl(query))
        await asyncio.sleep(0.004)
        if self.down:
            writer.write(message("HTTP/1.1 503 X", []))
            return True
        if path == "/rows-get":
            answer = self._get(query)
        elif path == "/rows-feed":
            answer = await self._feed(query)
        elif path == "/rows-tx" and method == "POST":
            status, answer = self._transact(json.loads(body))
            answer |= {"ver": self.version, "now_s": self.now_s()}
            writer.write(self._json(status, answer))
            return True
        else:
            writer.write(message("HTTP/1.1 404 X", []))
            return True
        answer |= {"ver": self.version, "now_s": self.now_s()}
        writer.write(self._json(200, answer))
        return True

    def now_s(self):
        return round(time.monotonic() - self.started, 3)

    def _json(self, status, answer):
        text = json.dumps(answer).encode()
        kind = ("Content-Type", "application/json")
        return message(f"HTTP/1.1 {status} X", [kind], text)

    def _get(self, query):
        first, limit = query.get("from", ""), min(500, int(query.get("limit", 500)))
        found = sorted(
            (key[1], *row)
            for key, row in self.rows.items()
            if key[0] == query["table"] and key[1] >= first
        )
        rows = [
            {"table": query["table"], "part": "", "key": k, "value": v, "ver": n}
            for k, v, n in found[:limit]
        ]
        return {"rows": rows, "truncated": len(found) > limit}

    async def _feed(self, query):
        after, until = int(query["after"]), time.monotonic()
        until += min(30.0, int(query.get("wait_ms", 0)) / 1000)
        while True:
            rows = [
                {"table": t, "part": "", "key": k, "value": v, "ver": n, "deleted": d}
                for n, t, k, v, d in self.history
                if n > after and t == query["table"]
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, call):
        for row in call.get("expect", ()):
            known = self.rows.get((row["table"], row["key"]), ("", 0))[1]
            if known != row["ver"]:
                return 412, {"rows": []}
        for row in call.get("upserts", ()):
            self.put(row["table"], row["key"], row["value"])
        for row in call.get("remove", ()):
            self.remove(row["table"], row["key"])
        return 200, {}


class Target(Server):
    """A target: slots, queue, health, heartbeats, signed responses.

    Attributes
    ----------
    work_s : float
        Time that one request takes.
    hang_share : float
        Share of the requests that the target begins to run and does not finish: it
        answers 504 at their deadline. Its health check stays good.
    crash_mark : bytes or None
        A request with these bytes in its body ends the target `CRASH_S` after it has
        begun to run it. The target is back `DOWN_S` later, with another identity.
    runs : list of dict
        Every request that it began to run.
    """

    def __init__(self, identity, service, ip, zone, slots, record):
        super().__init__()
        self.identity, self.service, self.ip, self.zone = identity, service, ip, zone
        self.slots = slots
        self.record = record
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.work_s = 0.03
        self.hang_share = 0.0
        self.random = random.Random(identity)
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.runs = []
        self.beats = None
        self.crash_mark = None
        self.crashes = []
        # Number of the process of the target; those before it have ended.
        self.life = 0

    async def crash(self):
        """End as a process that dies, and come back as another run."""
        self.crashes.append(time.monotonic())
        self.record("crash", target=self.identity)
        self.stop()
        await asyncio.sleep(DOWN_S)
        self.identity = f"{self.identity.split('.')[0]}.{self.life}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.free = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        await self.start()

    async def start(self):
        await self.listen(self.ip, 8628)
        self.beats = asyncio.create_task(self._beat())

    def stop(self):
        self.beats.cancel()
        self.close()

    def _load(self):
        return ("Server-Load", f"{self.running},{self.waiting},{self.slots},100")

    async def handle(self, start, fields, body, writer):
        method, path, _ = start.split(" ")
        request_id = fields.get("request-id", "")
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            named = ("Instance-Id", self.identity)
            writer.write(message(f"HTTP/1.1 {status} X", [named, self._load()]))
            return True
        named = [("Request-Id", request_id), self._load()]
        if fields.get("expect-instance", self.identity) != self.identity:
            named += [("Not-Executed", "1"), ("Instance-Id", self.identity)]
            writer.write(message("HTTP/1.1 421 X", named))
            return True
        if self.waiting >= 4 * self.slots:
            writer.write(message("HTTP/1.1 503 X", [*named, ("Not-Executed", "1")]))
            return True
        deadline = time.monotonic() + int(fields.get("deadline-ms", "30000")) / 1000
        life, free = self.life, self.free
        self.waiting += 1
        try:
            await asyncio.wait_for(free.acquire(), deadline - time.monotonic())
        except TimeoutError:
            writer.write(message("HTTP/1.1 503 X", [*named, ("Not-Executed", "1")]))
            return True
        finally:
            if life == self.life:
                self.waiting -= 1
        if life != self.life:
            return False
        self.running += 1
        run = {
            "id": request_id,
            "path": path,
            "body": hashlib.md5(body).hexdigest(),
            "caller": fields.get("caller-service"),
            "key": fields.get("x-api-key"),
            "tenant": fields.get("tenant-id"),
            "deadline_ms": fields.get("deadline-ms"),
            "service": self.service,
        }
        self.runs.append(run | {"at": time.monotonic()})
        self.record("run", target=self.identity, **run)
        try:
            if self.crash_mark is not None and self.crash_mark in body:
                await asyncio.sleep(CRASH_S)
                if life == self.life:
                    self.life += 1
                    self.crash_task = asyncio.create_task(self.crash())
                return False
            left = deadline - time.monotonic()
            hangs = self.random.random() < self.hang_share
            work_s = left if hangs else min(self.work_s, left)
            # A target drops a request when its connection closes.
            end = time.monotonic() + work_s
            while time.monotonic() < end:
                if writer.transport.is_closing():
                    return False
                await asyncio.sleep(max(0.0, min(0.02, end - time.monotonic())))
            status = 504 if time.monotonic() >= deadline else 200
        finally:
            if life == self.life:
                self.running -= 1
                free.release()
        content = f"{self.identity} {request_id}".encode() * 20
        seal = f"{self.identity}.{request_id}.{len(content)}.{zlib.crc32(content)}"
        fields = [("Request-Id", request_id), self._load(), ("Response-Seal", seal)]
        writer.write(message(f"HTTP/1.1 {status} X", fields, content))
        return True

    def heartbeat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "address": f"{self.ip}:8628",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_left_s": 0,
            },
            "born": self.born,
        }

    async def beat(self, document=None):
        """Send a heartbeat; return whether it was acknowledged."""
        path = f"/Instances.Heartbeat/{self.identity}"
        return await self.tell(path, document or self.heartbeat())

    async def _beat(self):
        while True:
            acknowledged = await self.beat()
            await asyncio.sleep(1.5 if acknowledged else 0.3)

    async def tell(self, path, document):
        """Post to the daemon beside the target; return whether it was acknowledged."""
        text = json.dumps(document).encode()
        kind = ("Content-Type", "application/json")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, 8620)
                try:
                    start = f"POST {path} HTTP/1.1"
                    writer.write(message(start, [("Host", self.ip), kind], text))
                    line, _ = await read_head(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return line.split(" ")[1].startswith("2")


class Deployment:
    """Store, targets and daemons of one run.

    Parameters
    ----------
    folder : Path
        Folder of the case, in which ``record.txt`` is written.
    machines : list of (str, str)
        Zone and service of each machine.
    bounds : dict
        The table ``terms.bounds`` of the settings.
    """

    def __init__(self, folder, machines, bounds, slots=12):
        self.started = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        network = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.store_ip = f"{network}.2"
        self.ips = [f"{network}.{number + 10}" for number in range(len(machines))]
        self.machines = machines
        self.bounds = bounds
        self.store = Store()
        self.processes = {}
        self.sent = 0
        self.targets = {
            ip: Target(f"i-{n}", service, ip, zone, slots, self.record)
            for n, (ip, (zone, service)) in enumerate(zip(self.ips, machines))
        }

    def record(self, event, **fields):
        """Append one line to ``record.txt``."""
        line = {"t": round(time.monotonic() - self.started, 4), "event": event}
        print(json.dumps(line | fields), file=self.file)

    def settings(self, ip, bootstrap):
        number = self.ips.index(ip)
        zone, service = self.machines[number]
        zones = sorted({zone for zone, _ in self.machines})
        bounds = "\n".join(f"{name} = {value}" for name, value in self.bounds.items())
        return f"""
[self]
node_name = "sidecar-{number}"
role = "goldcresthoist"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "r"
bootstrap = {"true" if bootstrap else "false"}
app_addr = "{ip}:8628"
service = "{service}"
[self.limits]
cpu_share = 0.86
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
inner_port_range = [7600, 7615]
seeds = []
[network.listen]
inbound = "{ip}:8624"
outbound = "{ip}:8629"
readiness_addr = "{ip}:8625"
control = "{ip}:8620"
[network.zones]
{chr(10).join(f'{name} = "r"' for name in zones)}
[platform]
discovery = "static"
entry = "static"
heartbeat_s = 1.5
[platform.platform]
address = "{self.store_ip}:{STORE_PORT}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
[terms.bounds]
{bounds}
"""

    def start_daemon(self, ip, bootstrap=False):
        path = self.temporary / f"{ip}.toml"
        path.write_text(self.settings(ip, bootstrap))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["GOLDCRESTHOIST_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = open(self.temporary / f"{ip}.log", "ab")
        self.processes[ip] = subprocess.Popen(
            COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record("daemon started", ip=ip, pid=self.processes[ip].pid)

    async def start(self, document):
        """Start everything and wait until each daemon is ready."""
        await self.store.listen(self.store_ip, STORE_PORT)
        self.store.configure(document)
        self.record("configuration acknowledged", version=document["version"])
        for ip in self.ips:
            self.start_daemon(ip, bootstrap=True)
            await self.targets[ip].start()
        async with asyncio.timeout(30):
            for ip in self.ips:
                while not await self.ready(ip):
                    await asyncio.sleep(0.1)
        # Traffic starts some seconds after the machines.
        await asyncio.sleep(5)

    async def call(
        self, ip, path, method="GET", body=b"", deadline_ms=1500, headers=()
    ):
        """Send one request on a connection of its own; return its id and the status.

        The status is 0 when there was no complete answer.
        """
        self.sent += 1
        request_id = f"q{self.sent}"
        self.record("sent", id=request_id, to=ip, path=path)
        status = 0
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(ip, 8629)
                try:
                    fields = [("Host", HOST), ("Request-Id", request_id)]
                    fields += [("Deadline-Ms", str(deadline_ms)), *headers]
                    writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
                    line, fields = await read_head(reader)
                    await read_body(reader, fields)
                    status = int(line.split(" ")[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.record("answered", id=request_id, status=status)
        return request_id, status

    async def ready(self, ip):
        """Return whether the daemon answers the question of the platform with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, 8625)
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    line, _ = await read_head(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return line.split(" ")[1] == "200"

    def stop(self):
        """End every process that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for target in self.targets.values():
            if target.beats is not None:
                target.stop()
        self.store.close()
        self.record("ended")
        self.file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def run(case):
    """Run ``case()``, a coroutine function that returns the exit status; exit with it.

    2 stands for a case that could not run.
    """
    try:
        status = asyncio.run(case())
    except Exception as exc:  # noqa: BLE001
        print(f"could not run: {exc!r}", file=sys.stderr)
        status = 2
    sys.exit(status)
