"""Daemon processes, each connected to the store through a proxy that injects faults."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

from goldcresthoist.node.tests.site import Site, configuration, settings_text
from goldcresthoist.tests.soak.proxy import FaultProxy

__all__ = ["SoakFleet"]

FIRST_PROXY_PORT = 8700
STORE_PORT = 8627
ROOT = Path(__file__).resolve().parents[3]
STOP_TIMEOUT_S = 6.0


class SoakFleet(Site):
    """A site whose daemons are separate processes.

    The upstreams and the store run in the process of the test.
    """

    def __init__(self, services):
        super().__init__(services)
        self.folder = tempfile.TemporaryDirectory(prefix="goldcresthoist-soak-")
        self.proxies = {}
        self.processes = {}
        # IP addresses of the daemons that an action, such as a restart, is changing.
        self.busy = set()

    async def start(self):
        """Start everything and wait until every daemon is ready."""
        await self.store.start(self.store_host, STORE_PORT)
        self.configure(configuration())
        for ip, service in zip(self.ips, self.services):
            listen_address = (self.store_host, self.proxy_port(ip))
            proxy = FaultProxy(*listen_address, self.store_host, STORE_PORT)
            self.proxies[ip] = proxy
            await proxy.start()
            await self.start_process(ip)
            await self.start_target(ip, service)
        await self.wait_until_ready()

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
            "goldcresthoist.node",
            cwd=ROOT,
            env=os.environ | {"GOLDCRESTHOIST_NODE_FILE": str(path)},
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
                    while not await self._is_served(ip, path, method):  # noqa: ASYNC110
                        await asyncio.sleep(0.1)

    async def _is_served(self, ip, path, method):
        try:
            _, answer = await self.call(ip, path, method, b"x")
        except OSError:
            return False
        return answer.status == 200

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
        for proxy in self.proxies.values():
            await proxy.stop()
        for target in self.targets.values():
            await target.stop()
        await self.store.stop()
        self.folder.cleanup()
