"""A fleet on loopback: platform stand-ins, and upstreams with a serving daemon each.

Every part is a separate process.
"""

import http.client
import itertools
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

from goldcresthoist.tests.builders import (
    LOOPBACK,
    ROOT,
    Process,
    free_ports,
    settings_document,
    wait_until,
    write_settings,
)

__all__ = ["ARCHIVE_TARGETS", "Response", "Fleet", "Target", "call"]

# Number of targets of the example fleet, the Archive, by service.
ARCHIVE_TARGETS = {"listening-room": 4, "ledger": 4, "deposit-desk": 3}
FAILURE_DOMAINS = ("archive-a", "archive-b", "archive-c")
CALL_TIMEOUT_S = 60
COMMAND_TIMEOUT_S = 120
STANDINS = "goldcresthoist.tests.standins"


class Response(NamedTuple):
    """A complete HTTP response. Header names are lower case."""

    status: int
    headers: dict
    body: bytes

    def document(self):
        """Return the body decoded from JSON."""
        return json.loads(self.body)

    def refusal_code(self):
        """Return the code of a refusal, or None."""
        return self.headers.get("goldcrest-refusal")


def call(address, method, target, body=None, headers=()):
    """Send one request on a new connection and return its `Response`.

    Raises
    ------
    OSError, http.client.HTTPException
        If no complete response was received; also when the connection was silent for
        `CALL_TIMEOUT_S`.
    """
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, target, body, dict(headers))
        response = connection.getresponse()
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return Response(response.status, response_headers, response.read())
    finally:
        connection.close()


class Target:
    """One upstream with its serving daemon; neither is started at first.

    Parameters
    ----------
    fleet : Fleet
    service : str
    number : int
        Number of the target within its service, from 0.
    domain : str
        Failure domain of the daemon.
    """

    def __init__(self, fleet, service, number, domain):
        self.fleet = fleet
        self.name = f"{service}-{number + 1}"
        self.service = service
        self.settings = settings_document(
            {
                "instance": self.name,
                "failure_domain": domain,
                "service": service,
                "table_url": f"http://{LOOPBACK}:{fleet.table_port}",
                "objects_url": f"http://{LOOPBACK}:{fleet.objects_port}",
            }
        )
        self.settings_path = write_settings(fleet.folder, self.settings)
        self.caller_address = self.settings["caller_address"]
        self.operator_address = self.settings["operator_address"]
        self.upstream_address = self.settings["upstream_address"]
        self.upstream = None
        self.daemon = None

    def change_settings(self, values):
        """Replace some settings; the daemon reads them at its next start."""
        self.settings |= values
        self.settings_path = write_settings(self.fleet.folder, self.settings)

    def start_upstream(self):
        """Start the upstream stand-in."""
        port = self.upstream_address.rpartition(":")[2]
        arguments = [
            f"{STANDINS}.upstream",
            *_listen_arguments(port),
            "--service-ms",
            "5",
        ]
        self.upstream = self.fleet.start(f"{self.name}-upstream", arguments)

    def start_daemon(self):
        """Start the daemon."""
        arguments = ["daemon", str(self.settings_path)]
        if not self.fleet.program:
            arguments.insert(0, "goldcresthoist")
        self.daemon = self.fleet.start(self.name, arguments, self.fleet.program)

    def health(self):
        """Return the status code of the health check, or None without a response."""
        try:
            return call(self.operator_address, "GET", "/health").status
        except (OSError, http.client.HTTPException):
            return None

    def alive_member_count(self):
        """Return how many daemons this daemon considers alive, itself included."""
        status = call(self.operator_address, "GET", "/status").document()
        return status["members"]["alive"]

    def version(self, team):
        """Return the version of a team's configuration in force on this daemon.

        It is 0 if no version is in force.
        """
        status = call(self.operator_address, "GET", "/status").document()
        versions = {item["team"]: item["version"] for item in status["configurations"]}
        return versions.get(team, 0)

    def upstream_runs(self, key):
        """Return how often the upstream received an idempotency key."""
        report = call(self.upstream_address, "GET", "/-/calls").document()
        return report["runs"].get(key, 0)

    def upstream_responds(self):
        """Return whether the upstream accepts calls."""
        try:
            return call(self.upstream_address, "GET", "/-/calls").status == 200
        except (OSError, http.client.HTTPException):
            return False


class Fleet:
    """All processes of a fleet, which are stopped at the end of a ``with`` block.

    Parameters
    ----------
    targets : dict of str to int
        Number of targets by service.
    program : str, optional
        The built program to run as daemon and command line, instead of the sources.
    """

    def __init__(self, targets=ARCHIVE_TARGETS, program=None):
        self.temporary = tempfile.TemporaryDirectory(prefix="goldcresthoist-")
        self.folder = Path(self.temporary.name)
        self.program = program
        self.processes = []
        self.table_port, self.objects_port = free_ports(2)
        domains = itertools.cycle(FAILURE_DOMAINS)
        self.targets = [
            Target(self, service, number, next(domains))
            for service, count in targets.items()
            for number in range(count)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.stop()
        self.temporary.cleanup()

    def start(self, name, arguments, program=None):
        """Start a process, which is stopped together with the fleet."""
        process = Process(name, self.folder, arguments, program)
        self.processes.append(process)
        return process

    def start_all(self):
        """Start every part and wait until all of them respond.

        Raises
        ------
        RuntimeError
            If an upstream or a daemon ended instead.
        TimeoutError
            If a part does not respond in time.
        """
        for module, port in (
            ("table", self.table_port),
            ("objects", self.objects_port),
        ):
            self.start(module, [f"{STANDINS}.{module}", *_listen_arguments(port)])
            wait_until(lambda port=port: _responds(port), f"stand-in {module} responds")
        for target in self.targets:
            target.start_upstream()
        for target in self.targets:
            self._wait_until_responding(target.upstream, target.upstream_responds)
            target.start_daemon()
        for target in self.targets:
            self._wait_until_responding(
                target.daemon, lambda target=target: target.health()
            )

    def command(self, *arguments):
        """Run a command of the command-line program; return (exit status, output)."""
        command_line = [self.program] if self.program else [sys.executable, "-m"]
        command_line += [] if self.program else ["goldcresthoist"]
        result = subprocess.run(
            [*command_line, *(str(argument) for argument in arguments)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )
        return result.returncode, result.stdout

    def wait_until_ready(self, team, version):
        """Wait until every daemon is ready with a version, or a later one, in force."""
        for target in self.targets:
            wait_until(
                lambda target=target: (
                    target.version(team) >= version and target.health() == 200
                ),
                f"{target.name} has version {version} of {team} in force",
            )

    def wait_until_all_alive(self):
        """Wait until every daemon considers all daemons alive."""
        for target in self.targets:
            wait_until(
                lambda target=target: target.alive_member_count() == len(self.targets),
                f"{target.name} considers {len(self.targets)} daemons alive",
            )

    def targets_of_service(self, service):
        """Return the targets of a service."""
        return [target for target in self.targets if target.service == service]

    def stop_daemons(self):
        """Stop every daemon with SIGTERM; return exit statuses by name."""
        daemons = [target.daemon for target in self.targets if target.daemon]
        for daemon in daemons:
            daemon.terminate()
        return {daemon.name: daemon.wait() for daemon in daemons}

    def stop(self):
        """Stop every process with SIGTERM, in reverse order of their start."""
        for process in reversed(self.processes):
            process.terminate()
        for process in reversed(self.processes):
            process.wait()

    def logs(self):
        """Return the last log lines of every process that ended with an error."""
        return "\n".join(
            f"--- {process.name} (exit status {process.popen.poll()})\n"
            f"{process.log_tail()}"
            for process in self.processes
            if process.popen.poll() not in (None, 0)
        )

    def _wait_until_responding(self, process, condition):
        def responding_or_ended():
            return condition() or not process.is_running()

        wait_until(responding_or_ended, f"{process.name} responds")
        if not process.is_running():
            raise RuntimeError(f"{process.name} ended: {process.log_tail()}")


def _listen_arguments(port):
    return ["--host", LOOPBACK, "--port", str(port)]


def _responds(port):
    try:
        return call(f"{LOOPBACK}:{port}", "GET", "/-/calls")
    except (OSError, http.client.HTTPException):
        return None
