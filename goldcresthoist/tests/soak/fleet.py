"""Daemon processes, each connected to the store through a proxy that injects faults."""

import asyncio
import itertools
import json
import os
import re
import signal
import sys
import tempfile
from pathlib import Path

from goldcresthoist.node.assembly import METRICS_PORT
from goldcresthoist.node.tests.loopback_cluster import (
    LoopbackCluster,
    configuration,
    read_answer,
    settings_text,
)
from goldcresthoist.tests.soak.daemon import SETTINGS_VARIABLE
from goldcresthoist.tests.soak.proxy import FaultProxy, PeerProxy

__all__ = ["SoakFleet"]

FIRST_PROXY_PORT = 8700
FIRST_PEER_PROXY_PORT = 9000
LINK_PORT, GOSSIP_PORT = 7600, 7601
STORE_PORT = 8627
# Largest number of daemons between which there are proxies; two daemons need two.
MAX_PROXIED_DAEMONS = 12
ROOT = Path(__file__).resolve().parents[3]
STOP_TIMEOUT_S = 6.0


class SoakFleet(LoopbackCluster):
    """A site whose daemons are separate processes.

    The upstreams and the store run in the process of the test.

    Parameters
    ----------
    services : list of str
        Service of each upstream.
    disabled : str
        Name of the mechanism that the daemons do without; see
        `soak.daemon.DISABLED_MECHANISMS`.

    Attributes
    ----------
    proxies : dict
        `FaultProxy` between each daemon and the store, by address of the daemon.
    peer_proxies : dict
        `PeerProxy` by the addresses of the sending and the receiving daemon. Empty in a
        large fleet.
    """

    def __init__(self, services, disabled=""):
        super().__init__(services)
        self.folder = tempfile.TemporaryDirectory(prefix="goldcresthoist-soak-")
        self.disabled = disabled
        self.proxies = {}
        self.peer_proxies = {}
        self.started_targets = []
        self.processes = {}
        # IP addresses of the daemons that an action, such as a restart, is changing.
        self.busy = set()

    async def start(self):
        """Start everything and wait until every daemon is ready."""
        await self.store.start(self.store_host, STORE_PORT)
        self.configure(configuration())
        await self._start_peer_proxies()
        for ip, service in zip(self.ips, self.services):
            listen_address = (self.store_host, self.proxy_port(ip))
            proxy = FaultProxy(*listen_address, self.store_host, STORE_PORT)
            self.proxies[ip] = proxy
            await proxy.start()
            await self.start_process(ip)
            await self.start_target(ip, service)
        await self.wait_until_ready()

    async def _start_peer_proxies(self):
        if len(self.ips) > MAX_PROXIED_DAEMONS:
            return
        ports = itertools.count(FIRST_PEER_PROXY_PORT)
        for sender, target in itertools.permutations(self.ips, 2):
            address = (self.store_host, next(ports))
            proxy = PeerProxy(*address, sender, target, LINK_PORT, GOSSIP_PORT)
            self.peer_proxies[sender, target] = proxy
            await proxy.start()

    async def start_target(self, ip, service, identity=None):
        """Start the local upstream of a daemon, which is stopped with the fleet."""
        target = await super().start_target(ip, service, identity)
        self.started_targets.append(target)
        return target

    def proxies_between(self, ip, other):
        """Return the proxies for both directions between two daemons."""
        pairs = ((ip, other), (other, ip))
        return [self.peer_proxies[pair] for pair in pairs if pair in self.peer_proxies]

    def clock_path(self, ip):
        """Return the file with the error of a daemon's time of day in seconds."""
        return Path(self.folder.name) / f"{ip}.clock"

    def _daemon_settings(self, ip):
        proxies = {}
        for (sender, target), proxy in self.peer_proxies.items():
            if sender == ip:
                for port in (LINK_PORT, GOSSIP_PORT):
                    proxies[f"{target}:{port}"] = proxy.links.listen_address
        return json.dumps(
            {
                "proxies": proxies,
                "clock": str(self.clock_path(ip)),
                "disabled": self.disabled,
            }
        )

    def proxy_port(self, ip):
        """Return the port of the proxy between a daemon and the store."""
        return FIRST_PROXY_PORT + self.ips.index(ip)

    async def start_process(self, ip):
        """Start the daemon of an instance."""
        service = self.services[self.ips.index(ip)]
        path = Path(self.folder.name) / f"{ip}.toml"
        store = f"{self.store_host}:{self.proxy_port(ip)}"
        path.write_text(settings_text(ip, service, store))
        log = (Path(self.folder.name) / f"{ip}.log").open("ab")
        self.processes[ip] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "goldcresthoist.tests.soak.run_daemon",
            cwd=ROOT,
            env=os.environ
            | {
                "GOLDCRESTHOIST_NODE_FILE": str(path),
                SETTINGS_VARIABLE: self._daemon_settings(ip),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    async def wait_until_ready(self, timeout_s=30.0):
        """Wait until each daemon serves a read and a write.

        Raises
        ------
        TimeoutError
            If that takes longer than ``timeout_s``, in seconds, for all of them.
        """
        async with asyncio.timeout(timeout_s):
            for ip in self.ips:
                for path, method in (("/read/up", "GET"), ("/write/up", "POST")):
                    while not await self.is_served(ip, path, method):  # noqa: ASYNC110
                        await asyncio.sleep(0.1)

    async def is_served(self, ip, path, method):
        """Return whether a daemon answers a request with status 200."""
        try:
            _, answer = await self.call(ip, path, method, b"x")
        except OSError:
            return False
        return answer.status == 200

    async def drained_domains(self, ip):
        """Return the number of drained failure domains in a daemon's metrics."""
        reader, writer = await asyncio.open_connection(ip, METRICS_PORT)
        try:
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: site\r\n\r\n")
            text = (await read_answer(reader)).body.decode()
        finally:
            writer.close()
        return int(float(re.search(r"^\w*drained_domains (\S+)$", text, re.M)[1]))

    def signal(self, ip, number):
        """Send a signal to the daemon of an instance, if it runs."""
        process = self.processes[ip]
        if process.returncode is None:
            os.kill(process.pid, number)

    async def kill_and_start(self, ip):
        """Kill a daemon with SIGKILL and start it again."""
        self.signal(ip, signal.SIGKILL)
        await self.processes[ip].wait()
        await self.start_process(ip)

    async def restart(self, ip):
        """Stop a daemon with SIGTERM and start it again; return its exit status."""
        self.signal(ip, signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status = await self.processes[ip].wait()
        except TimeoutError:
            self.signal(ip, signal.SIGKILL)
            status = await self.processes[ip].wait()
        await self.start_process(ip)
        return status

    def logs(self):
        """Return the last 20 lines of each daemon's log, by IP address."""
        folder = Path(self.folder.name)
        return {
            path.stem: path.read_text().splitlines()[-20:]
            for path in folder.glob("*.log")
        }

    async def stop(self):
        """Stop the daemons, the proxies, the upstreams and the store."""
        for ip, process in self.processes.items():
            self.signal(ip, signal.SIGKILL)
            await process.wait()
        for proxy in (*self.proxies.values(), *self.peer_proxies.values()):
            await proxy.stop()
        for target in self.started_targets:
            await target.stop()
        await self.store.stop()
        self.folder.cleanup()
