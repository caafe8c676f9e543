"""Test cluster on loopback addresses: a store, daemons and their upstreams."""

import asyncio
import base64
import itertools
import json
import random
from time import monotonic

from goldcresthoist.balance import HedgeSettings
from goldcresthoist.node.assembly import Node
from goldcresthoist.platform import NodeSettings
from goldcresthoist.tests.standins.platform_store import PlatformStore
from goldcresthoist.tests.standins.platform_target import PlatformTarget

__all__ = [
    "Answer",
    "LoopbackCluster",
    "configuration",
    "read_answer",
    "settings_text",
    "wait_until",
]

# Each cluster gets its own loopback network, so that clusters of concurrent test
# processes do not connect to each other. The second octet is random for each process,
# and the third counts the clusters of the process.
_third_octets = itertools.count()
_SECOND_OCTET = random.randint(1, 200)
STORE_PORT = 8627
# Longest time for which `wait_until` waits.
WAIT_S = 30.0


def settings_text(ip, service, store, domain="a"):
    """Return the settings file of one daemon."""
    return f"""
[self]
node_name = "node-{ip}"
ip = "{ip}"
zone = "{domain}"
region = "r"
app_addr = "{ip}:8628"
service = "{service}"
[network]
inner_port_range = [7600, 7615]
[network.listen]
outbound = "{ip}:8629"
readiness_addr = "{ip}:8625"
control = "{ip}:8620"
[platform.platform]
address = "{store}"
[terms.bounds]
grace_s = 6
"""


def configuration(version=1, **changes):
    """Return a configuration with one route of each kind.

    ``changes`` replace fields of every route.
    """

    def route(name, prefix, kind, service):
        return {
            "name": name,
            "host": "site.example",
            "prefix": prefix,
            "kind": kind,
            "timeout_s": 2.0,
            "aim_s": 1.0,
            "priority": 1,
            "service": service,
            "max_attempts": 3,
        } | changes

    routes = [
        route("read", "/read/", "idempotent", "listen"),
        route("write", "/write/", "non_idempotent", "ledger"),
        route("upload", "/upload/", "upload", "ledger"),
        route("pack", "/pack/", "download", "listen"),
    ]
    services = [
        {"name": name, "health_path": "/health"} for name in ("listen", "ledger")
    ]
    return {"version": version, "routes": routes, "services": services, "limits": {}}


class Answer:
    """Response to a caller; the status is 0 when the connection ended without one."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class LoopbackCluster:
    """Daemons, upstreams and a store in this process.

    Parameters
    ----------
    services : list of str
        Service of each upstream; each gets an instance and a serving daemon of its own.
    hedge_settings : HedgeSettings
        Limit of the operator on hedges, for all daemons.
    domains : str
        Failure domain of each instance, one letter each; "a" for those without one.

    Attributes
    ----------
    ips : list of str
        Address of each instance, in the order of ``services``.
    nodes : dict
        `Node` of each running daemon, by address.
    targets : dict
        `PlatformTarget` that stands in for the upstream, by address.
    """

    def __init__(self, services, domains="", hedge_settings=HedgeSettings()):
        network = f"127.{_SECOND_OCTET}.{next(_third_octets) % 250}"
        self.ips = [f"{network}.{number + 10}" for number in range(len(services))]
        self.services = services
        self.domains = dict(zip(self.ips, domains))
        self.hedge_settings = hedge_settings
        self.store = PlatformStore()
        self.store_host = f"{network}.2"
        self.nodes = {}
        self.targets = {}
        self.ids = itertools.count(1)

    async def start(self):
        """Start all components and wait until the daemons can serve requests."""
        await self.store.start(self.store_host, STORE_PORT)
        self.configure(configuration())
        for ip, service in zip(self.ips, self.services):
            await self.start_node(ip, service)
            await self.start_target(ip, service)
        await wait_until(self.settled)

    def settled(self):
        """Return whether each daemon can call each upstream."""
        return all(
            node.is_ready()
            and len(node.directory.members) == len(self.nodes)
            and all(
                node.services.count_alternatives(service, monotonic(), ())
                == len(service.pool)
                for service in node.services.services.values()
            )
            for node in self.nodes.values()
        )

    def configure(self, document):
        """Write a configuration to the store, as the operator does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.store.put("op", "config", value)

    async def start_node(self, ip, service):
        """Start a daemon and return its `Node`."""
        store = f"{self.store_host}:{STORE_PORT}"
        text = settings_text(ip, service, store, self.domains.get(ip, "a"))
        node = self.nodes[ip] = Node(NodeSettings.from_text(text), self.hedge_settings)
        node.log.descriptor = -1
        await node.listen()
        node.background = [
            asyncio.create_task(node.registration.run()),
            asyncio.create_task(node.discovery.run()),
            asyncio.create_task(node.services.run()),
            asyncio.create_task(node.pauses.run()),
        ]
        node.watch.start()
        return node

    async def stop_node(self, ip):
        """Stop a daemon without draining it."""
        node = self.nodes.pop(ip)
        for task in node.background:
            task.cancel()
        await node.close()
        # The event loop closes the sockets only after this call.
        await asyncio.sleep(0.1)

    async def start_target(self, ip, service, identity=None):
        """Start the local upstream of a daemon."""
        identity = identity or f"i-{ip}"
        target = PlatformTarget(identity, service, f"{ip}:8628", f"{ip}:8620")
        self.targets[ip] = target
        await target.start()
        return target

    async def stop(self):
        """Stop all daemons and upstreams, and the store."""
        for ip in tuple(self.nodes):
            await self.stop_node(ip)
        for target in self.targets.values():
            await target.stop()
        await self.store.stop()

    def runs(self):
        """Return the ids of all executed requests, once for each execution."""
        return [run[0] for target in self.targets.values() for run in target.runs]

    async def call(
        self,
        ip,
        path,
        method="GET",
        body=b"",
        wait_ms=3000,
        headers=(),
        request_id=None,
        host="site.example",
    ):
        """Send one request as a caller on the instance.

        ``wait_ms`` is the value of the ``Deadline-Ms`` header. Without ``request_id``,
        the request gets a new id.

        Returns
        -------
        (str, Answer)
            The request id and the response.
        """
        request_id = request_id or f"q{next(self.ids)}"
        reader, writer = await asyncio.open_connection(ip, 8629)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
            lines.append(f"Request-Id: {request_id}")
            lines.append(f"Deadline-Ms: {wait_ms}")
            lines.extend(headers)
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return request_id, await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader):
    """Read one response; an incomplete one is returned with status 0."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await _read_chunks(reader)
    except (asyncio.IncompleteReadError, OSError):
        return Answer(0, {}, b"")
    return Answer(int(lines[0].split()[1]), headers, body)


async def _read_chunks(reader):
    parts = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(parts)


async def wait_until(condition):
    """Wait until ``condition()`` is true; raise TimeoutError after `WAIT_S`."""
    async with asyncio.timeout(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)
