"""Starts nodes and stand-ins as separate processes and builds their configuration."""

import random
import socket
import subprocess
import sys
from collections import deque
from pathlib import Path

import msgspec

from goldcresthoist.config import Read, ServiceConfiguration, WorkRule
from goldcresthoist.gossip.member import Member, MemberState
from goldcresthoist.tests.pathnode import NodePlan

__all__ = [
    "Processes",
    "free_port",
    "make_member",
    "make_plan",
    "make_rule",
    "make_service",
]

# Modules are imported from this work tree, regardless of the working directory.
ROOT = Path(__file__).resolve().parent.parent.parent
STOP_TIMEOUT_S = 10.0
_PORTS = range(12_000, 32_000)
# Ports that were returned recently and may not be in use yet.
_allocated_ports = deque(maxlen=2_000)


def free_port():
    """Return a TCP port that is free now.

    It lies below the range from which the system assigns ports to outgoing
    connections; a port of that range was sometimes assigned to a connection before
    its owner listened on it.
    """
    while True:
        port = random.choice(_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _allocated_ports:
            _allocated_ports.append(port)
            return port


def make_member(instance, service, failure_domain="a"):
    """Return a member with a free link port."""
    return Member(
        instance=instance,
        incarnation=1,
        service=service,
        failure_domain=failure_domain,
        region="r",
        gossip_address="127.0.0.1:1",
        link_address=f"127.0.0.1:{free_port()}",
        control_address="127.0.0.1:1",
        state=MemberState.ALIVE,
    )


def make_rule(name="read", method="GET", prefix="/", kind=None, **overrides):
    """Return a work rule, with ``overrides`` in place of defaults.

    Times are in seconds.
    """
    values = {"usual_s": 0.1, "longest_s": 20.0, "weight": 1.0} | overrides
    return WorkRule(name, method, prefix, kind or Read(), **values)


def make_service(name, *rules, **overrides):
    """Return a service configuration, with ``overrides`` in place of defaults."""
    values = {
        "slots": 12,
        "short_slots": 0,
        "queue_limit": 48,
        "retry_share": 0.08,
        "hedge_share": 0.05,
        "measuring_share": 0.01,
    } | overrides
    return ServiceConfiguration(name=name, work=rules or (make_rule(),), **values)


def make_plan(member, upstream_port, members, services):
    """Return the configuration of a node with a free caller port."""
    return NodePlan(
        member=member,
        caller_address=f"127.0.0.1:{free_port()}",
        upstream_address=f"127.0.0.1:{upstream_port}",
        members=members,
        services=services,
    )


class Processes:
    """Context manager for processes that are stopped at its end."""

    def __init__(self):
        self.running = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for process in self.running:
            process.terminate()
        for process in self.running:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            process.stdout.close()

    def start_upstream(self, port=0, **options):
        """Start an upstream stand-in; return its process and port.

        ``options`` become flags of its command line: ``service_ms=5`` is
        ``--service-ms 5``. Port 0 selects a free port.
        """
        arguments = ["--port", str(port)]
        for name, value in options.items():
            arguments += [f"--{name.replace('_', '-')}", str(value)]
        module = "goldcresthoist.tests.standins.upstream"
        process, line = self._start(module, arguments)
        return process, int(line.rpartition(":")[2])

    def start_node(self, plan):
        """Start a node of a `NodePlan`; return its process once it accepts calls."""
        arguments = [msgspec.json.encode(plan).decode()]
        process, _ = self._start("goldcresthoist.tests.pathnode", arguments)
        return process

    def _start(self, module, arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        self.running.append(process)
        line = process.stdout.readline().strip()
        if not line:
            raise RuntimeError(f"{module} ended with status {process.wait()}")
        return process, line
