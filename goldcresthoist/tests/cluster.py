"""Nodes and stand-ins in the event loop of a test, and a raw HTTP caller."""

import asyncio
import json
import unittest

from goldcresthoist.tests.pathnode import PathNode
from goldcresthoist.tests.processes import make_member, make_plan, make_service
from goldcresthoist.tests.standins.upstream import UpstreamStandIn

__all__ = ["STEP_TIMEOUT_S", "Response", "ClusterTestCase", "RawCaller", "eventually"]

# This is much longer than any step takes, so that a busy machine does not make tests
# fail.
STEP_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.005


class Response:
    """A parsed HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded JSON body."""
        return json.loads(self.body)

    @property
    def code(self):
        """The refusal code, or None."""
        return self.headers.get("goldcrest-refusal")

    @property
    def outcome(self):
        """The outcome in the headers of a refusal, or None."""
        return self.headers.get("goldcrest-outcome")


class RawCaller:
    """A caller's connection, on which tests can also send malformed requests."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address):
        """Connect to ``"ip:port"``."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def write(self, data):
        """Send raw bytes."""
        self.writer.write(data)

    def send(self, method, target, headers=(), body=b""):
        """Send a request; one with a body, a POST or a PUT has a Content-Length."""
        lines = [f"{method} {target} HTTP/1.1", "Host: test"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def call(self, method, target, headers=(), body=b""):
        """Send a request and return its response; raise the errors of `answer`."""
        self.send(method, target, headers, body)
        return await self.answer(bodyless=method == "HEAD")

    async def answer(self, bodyless=False):
        """Read one response; ``bodyless`` is true for the response to a HEAD.

        Raises
        ------
        EOFError, ConnectionError
            If the connection ends before the response is complete.
        TimeoutError
            If the response is not complete within `STEP_TIMEOUT_S`.
        """
        async with asyncio.timeout(STEP_TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            status_line, *lines = head.decode().strip().split("\r\n")
            status = int(status_line.split()[1])
            headers = {}
            for line in lines:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            body = b"" if bodyless else await self._read_body(headers)
            return Response(status, headers, body)

    async def _read_body(self, headers):
        if headers.get("transfer-encoding") != "chunked":
            return await self.reader.readexactly(int(headers["content-length"]))
        parts = []
        while size := int(await self.reader.readline(), 16):
            parts.append(await self.reader.readexactly(size))
            await self.reader.readline()
        await self.reader.readline()
        return b"".join(parts)

    async def read_until_closed(self):
        """Read until the connection ends; return the bytes received.

        The result is empty if the connection was reset.
        """
        async with asyncio.timeout(STEP_TIMEOUT_S):
            try:
                return await self.reader.read()
            except ConnectionError:
                return b""

    async def close(self):
        """Close the connection."""
        self.writer.close()
        try:
            await self.writer.wait_closed()
        except ConnectionError:
            pass


class ClusterTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case that starts nodes with an upstream each and stops them at its end."""

    async def start_cluster(self, services, *instances, ledger=None, **changes):
        """Start a node with an upstream for each instance.

        Parameters
        ----------
        services : list of ServiceConfiguration or str
            Configurations; a name stands for a service with default values.
        *instances : tuple of (str, str)
            Instance name and service name of each node.
        ledger : OperationRecorder, optional
            Records of operations that all nodes share; by default each has its own.

        Returns
        -------
        dict of str to PathNode
            The nodes by instance name; the attribute ``standin`` of each is its
            upstream.
        """
        members = [make_member(name, service) for name, service in instances]
        services = [
            service if not isinstance(service, str) else make_service(service)
            for service in services
        ]
        nodes = {}
        for member in members:
            standin = UpstreamStandIn()
            standin.crash = standin.abort_all
            port = await standin.listen("127.0.0.1", 0)
            self.addAsyncCleanup(stop_standin, standin)
            plan = make_plan(member, port, members, services)
            node = PathNode(plan, ledger=ledger)
            node.standin = standin
            await node.start()
            self.addAsyncCleanup(node.close)
            nodes[member.instance] = node
        return nodes

    async def caller(self, node):
        """Connect a caller to a node."""
        caller = await RawCaller.connect(node.plan.caller_address)
        self.addAsyncCleanup(caller.close)
        return caller


async def eventually(condition):
    """Wait until ``condition()`` is true; raise TimeoutError after `STEP_TIMEOUT_S`."""
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def stop_standin(standin):
    """Stop a stand-in and abort its connections."""
    standin.abort_all()
    await asyncio.sleep(0)
