"""The daemons and upstreams of one site as processes."""

import json
import random
import socket
import subprocess
import sys
import urllib.request
from dataclasses import dataclass
from pathlib import Path

import msgspec

from goldcresthoist.bench.node import NodeReport
from goldcresthoist.bench.sites import DOMAINS
from goldcresthoist.tests.pathnode import NodePlan
from goldcresthoist.tests.processes import make_member, make_plan

__all__ = ["Cluster", "Target"]

ROOT = Path(__file__).resolve().parent.parent.parent
STOP_TIMEOUT_S = 5.0
FIRST_PORT = 11000
LAST_PORT = 19999

_ports = iter(range(random.randint(FIRST_PORT, FIRST_PORT + 5000), LAST_PORT + 1))


@dataclass(slots=True)
class Target:
    """One upstream and the daemon beside it."""

    plan: NodePlan
    upstream_port: int
    node: subprocess.Popen | None = None
    upstream: subprocess.Popen | None = None

    @property
    def caller_port(self):
        """TCP port on which the daemon takes calls."""
        return int(self.plan.caller_address.rpartition(":")[2])

    @property
    def service(self):
        """Name of the service of the upstream."""
        return self.plan.member.service


class Cluster:
    """Processes of one site under one policy; they end with the ``with`` block."""

    def __init__(self, site, policy):
        members = [
            make_member(f"{service.configuration.name}-{index}", name, domain)
            for service in site.services
            for index, domain in zip(range(service.targets), DOMAINS * 4)
            for name in (service.configuration.name,)
        ]
        configurations = [service.configuration for service in site.services]
        members = [
            msgspec.structs.replace(member, link_address=f"127.0.0.1:{_stable_port()}")
            for member in members
        ]
        self.targets = []
        for member in members:
            port = _stable_port()
            plan = make_plan(member, port, members, configurations)
            address = f"127.0.0.1:{_stable_port()}"
            plan = msgspec.structs.replace(plan, policy=policy, caller_address=address)
            self.targets.append(Target(plan, port))

    def __enter__(self):
        try:
            for target in self.targets:
                self.start(target)
            for target in self.targets:
                self.await_ready(target)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info):
        for target in self.targets:
            self.stop(target)

    def start(self, target):
        """Start the upstream and the daemon without waiting for the daemon."""
        target.upstream = _spawn("upstream", "--port", str(target.upstream_port))
        _await_line(target.upstream)
        target.node = _spawn("node", msgspec.json.encode(target.plan).decode())

    def await_ready(self, target):
        """Wait until the daemon takes calls."""
        _await_line(target.node)

    def stop(self, target):
        """Kill both processes, as when an instance is lost."""
        for process in (target.node, target.upstream):
            if process is None:
                continue
            process.kill()
            process.wait(STOP_TIMEOUT_S)
            process.stdin.close()
            process.stdout.close()
        target.node = target.upstream = None

    def first_of_each_service(self):
        """Return one target of each service, for faults."""
        first = {}
        for target in self.targets:
            first.setdefault(target.service, target)
        return list(first.values())

    def set_faults(self, targets, **faults):
        """Replace the faults of the upstreams."""
        for target in targets:
            _post(target.upstream_port, faults)

    def delay_reports(self, delay_s):
        """Make load reports arrive late at every daemon."""
        for target in self.targets:
            _write(target.node, {"delay_reports_s": delay_s})

    def reports(self):
        """Return the `NodeReport` of every daemon, by instance."""
        for target in self.targets:
            _write(target.node, {"report": True})
        lines = [target.node.stdout.readline() for target in self.targets]
        reports = [msgspec.json.decode(line, type=NodeReport) for line in lines]
        return {report.instance: report for report in reports}

    def failed_fast(self, targets):
        """Return how many requests the upstreams have failed at once."""
        answers = [_post(target.upstream_port, None) for target in targets]
        return sum(answer["counts"].get("failed_fast", 0) for answer in answers)


def _stable_port():
    """Return a free port that no outgoing connection is given by the system.

    An instance that is started again must find its ports free.
    """
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError(f"no free port from {FIRST_PORT} to {LAST_PORT}")


def _spawn(module, *arguments):
    return subprocess.Popen(
        [sys.executable, "-m", f"goldcresthoist.bench.{module}", *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )


def _await_line(process):
    if not process.stdout.readline():
        raise RuntimeError(f"{process.args[2]} ended with status {process.wait()}")


def _write(process, command):
    process.stdin.write(json.dumps(command) + "\n")
    process.stdin.flush()


def _post(port, faults):
    path = "calls" if faults is None else "faults"
    data = None if faults is None else json.dumps(faults).encode()
    url = f"http://127.0.0.1:{port}/-/{path}"
    with urllib.request.urlopen(url, data, timeout=5.0) as answer:
        return json.load(answer)
