"""The control services of a daemon and the tasks that call those of other daemons."""

import asyncio

from goldcresthoist.control.catch_up import catch_up
from goldcresthoist.control.client import ControlClient
from goldcresthoist.control.fetching import ConfigurationFetcher
from goldcresthoist.control.member_sync import MemberSync
from goldcresthoist.control.service import ControlServer, ControlService
from goldcresthoist.gossip._supervision import keep_running

__all__ = ["ControlPlane"]


class ControlPlane:
    """Control services, member sync and configuration fetches of one daemon.

    Parameters
    ----------
    membership : Membership
    holder : ConfigurationHolder
    shared_key : bytes
        Key with which daemons authenticate each other's messages.
    crash_suspects : callable
        Returns the daemon's `CrashSuspect` entries.
    sync_options : SyncOptions, optional
    """

    def __init__(
        self, membership, holder, shared_key, crash_suspects=tuple, sync_options=None
    ):
        self.membership = membership
        self.service = ControlService(membership, holder, crash_suspects)
        self.server = ControlServer(self.service, shared_key)
        self.client = ControlClient(shared_key)
        self.fetcher = ConfigurationFetcher(
            membership, holder, self.client, self.service.candidates
        )
        self.sync = MemberSync(membership, self.client, sync_options)
        self.tasks = []

    async def start(self, address=None):
        """Start the server, by default on the own control address, and the tasks."""
        own = self.membership.view.record.control_address
        await self.server.start(address or own)
        loop = asyncio.get_running_loop()
        for run in (self.fetcher.run, self.sync.run):
            self.tasks.append(loop.create_task(keep_running(run)))

    async def catch_up(self):
        """Put in force the highest versions that the reachable daemons report.

        Returns
        -------
        CatchUpResult
        """
        return await catch_up(self.membership, self.fetcher, self.client)

    async def close(self):
        """Stop the tasks and the server."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        await self.server.close()
