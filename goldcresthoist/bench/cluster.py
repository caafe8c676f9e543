"""Starts the daemons and the upstream stand-ins of one site as processes."""

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
from goldcresthoist.bench.sites import FAILURE_DOMAINS
from goldcresthoist.tests.pathnode import NodePlan
from goldcresthoist.tests.processes import make_member, make_plan

__all__ = ["Cluster", "Target"]

ROOT = Path(__file__).resolve().parent.parent.parent
STOP_TIMEOUT_S = 5.0
FIRST_PORT = 11000
LAST_PORT = 19999

_candidate_ports = iter(
    range(random.randint(FIRST_PORT, FIRST_PORT + 5000), LAST_PORT + 1)
)


@dataclass(slots=True)
class Target:
    """One instance: an upstream process and the daemon process beside it."""

    plan: NodePlan
    upstream_port: int
    node: subprocess.Popen | None = None
    upstream: subprocess.Popen | None = None

    @property
    def caller_port(self):
        """TCP port on which the daemon accepts calls."""
        return int(self.plan.caller_address.rpartition(":")[2])

    @property
    def service(self):
        """Name of the service that the upstream belongs to."""
        return self.plan.member.service


class Cluster:
    """All processes of one site under one policy.

    A context manager that starts the processes and kills them at its end.
    """

    def __init__(self, site, policy):
        members = [
            make_member(f"{service.configuration.name}-{index}", name, domain)
            for service in site.services
            for index, domain in zip(range(service.target_count), FAILURE_DOMAINS * 4)
            for name in (service.configuration.name,)
        ]
        configurations = [service.configuration for service in site.services]
        members = [
            msgspec.structs.replace(
                member, link_address=f"127.0.0.1:{_find_listening_port()}"
            )
            for member in members
        ]
        self.targets = []
        for member in members:
            port = _find_listening_port()
            plan = make_plan(member, port, members, configurations)
            address = f"127.0.0.1:{_find_listening_port()}"
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
        """Start the upstream and the daemon, without waiting for the daemon."""
        target.upstream = _spawn("upstream", "--port", str(target.upstream_port))
        _await_first_line(target.upstream)
        target.node = _spawn("node", msgspec.json.encode(target.plan).decode())

    def await_ready(self, target):
        """Wait until the daemon accepts calls."""
        _await_first_line(target.node)

    def stop(self, target):
        """Kill both processes, as in the loss of an instance."""
        for process in (target.node, target.upstream):
            if process is None:
                continue
            process.kill()
            process.wait(STOP_TIMEOUT_S)
            process.stdin.close()
            process.stdout.close()
        target.node = target.upstream = None

    def first_of_each_service(self):
        """Return one target of each service: those that get the faults."""
        first = {}
        for target in self.targets:
            first.setdefault(target.service, target)
        return list(first.values())

    def set_faults(self, targets, **faults):
        """Replace the faults of some upstreams; without ``faults``, end them."""
        for target in targets:
            _call_standin(target.upstream_port, faults)

    def delay_reports(self, delay_s):
        """Delay the load reports that each daemon receives."""
        for target in self.targets:
            _write(target.node, {"delay_reports_s": delay_s})

    def collect_reports(self):
        """Return the `NodeReport` of every daemon, by instance."""
        for target in self.targets:
            _write(target.node, {"report": True})
        lines = [target.node.stdout.readline() for target in self.targets]
        reports = [msgspec.json.decode(line, type=NodeReport) for line in lines]
        return {report.instance: report for report in reports}

    def count_fast_failures(self, targets):
        """Return how many requests got an immediate 503 from the upstreams."""
        answers = [_call_standin(target.upstream_port, None) for target in targets]
        return sum(answer["counts"].get("failed_fast", 0) for answer in answers)


def _find_listening_port():
    """Return a free port below the range of ephemeral ports.

    The kernel cannot assign it to an outgoing connection, so it is still free when
    an instance is restarted.
    """
    for port in _candidate_ports:
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


def _await_first_line(process):
    if not process.stdout.readline():
        raise RuntimeError(f"{process.args[2]} ended with status {process.wait()}")


def _write(process, command):
    process.stdin.write(json.dumps(command) + "\n")
    process.stdin.flush()


def _call_standin(port, faults):
    """Set the faults of an upstream stand-in, or read its counts if they are None."""
    path = "calls" if faults is None else "faults"
    data = None if faults is None else json.dumps(faults).encode()
    url = f"http://127.0.0.1:{port}/-/{path}"
    with urllib.request.urlopen(url, data, timeout=5.0) as answer:
        return json.load(answer)
