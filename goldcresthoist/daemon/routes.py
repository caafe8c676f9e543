"""State that the entry daemon keeps for each service that it calls."""

import asyncio

from goldcresthoist.balance import HedgeTimer, UpstreamPool, UpstreamView
from goldcresthoist.clock import monotonic

__all__ = ["ServiceRoute"]

# Interval at which the upstreams are updated from the membership while calls arrive.
REFRESH_INTERVAL_S = 0.05


class ServiceRoute:
    """Upstreams of one service, the links to them, its retry budget and hedge timer.

    Parameters
    ----------
    name : str
        Name of the service.
    router : CallRouter
        Provides the directory, the links and the chooser.
    """

    def __init__(self, name, router):
        self.name = name
        self.router = router
        self.configuration = None
        self.budget = None
        self.hedges = HedgeTimer()
        self.views = UpstreamPool(router.failure_domain, router.region)
        # Links to the serving daemons, by instance. The local upstream needs no link.
        self.peers = {}
        # Members at the last refresh, including those that accept no work.
        self.members = None
        self.refresh_due = 0.0
        # Number of calls that wait until an upstream can be reached.
        self.waiting_calls = 0

    def apply(self, configuration):
        """Use a new configuration from now on."""
        if configuration is not self.configuration:
            self.configuration = configuration
            self.budget = self.router.make_budget(configuration)

    def refresh(self, now):
        """Update the upstreams from the membership, and the load of the local one."""
        self.refresh_due = now + REFRESH_INTERVAL_S
        self._record_local_load(now)
        members = self.router.directory.members_of(self.name)
        if members == self.members:
            return
        self.members = list(members)
        current = {m.instance: m for m in members if m.accepts_work()}
        for view in tuple(self.views):
            if view.instance not in current:
                self._remove_member(view.instance)
        for member in current.values():
            self._add_member(member, now)

    def choose(self, rule, now, exclude):
        """Return the view and the peer of an upstream for a call, or None.

        Upstreams without a usable link are skipped. The peer is None for the local
        upstream.

        Parameters
        ----------
        rule : WorkRule
        now : float
            Monotonic seconds.
        exclude : tuple of UpstreamView
            Upstreams that must not be chosen.
        """
        if self.members is None:
            self.refresh(now)
        elif now >= self.refresh_due:
            # The refresh is scheduled to run after this call was sent, so that it does
            # not add to the latency of the call.
            self.refresh_due = now + REFRESH_INTERVAL_S
            self.router.loop.call_soon(self.refresh, now)
        choose = self.router.chooser.choose
        while (view := choose(self.views, rule, now, exclude)) is not None:
            if view.instance == self.router.instance:
                return view, None
            peer = self.peers[view.instance]
            if peer.is_usable(now):
                return view, peer
            exclude = (*exclude, view)
        return None

    async def wait_for_link(self, timeout_s):
        """Wait until the first connection attempt to any upstream has ended.

        Returns whether an attempt ended in time. If all first attempts had already
        ended, returns False without waiting.
        """
        waiting = [p for p in self.peers.values() if not p.first_attempt_done.is_set()]
        if not waiting:
            return False
        tasks = [asyncio.create_task(p.first_attempt_done.wait()) for p in waiting]
        try:
            done, _ = await asyncio.wait(
                tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in tasks:
                task.cancel()
        return bool(done)

    def _record_local_load(self, now):
        """Record the load of the local upstream, which is not reported over a link."""
        view = self.views.get(self.router.instance)
        if view is not None:
            load = self.router.server.load_report()
            self.router.chooser.record_load(view, load, now)

    def _add_member(self, member, now):
        if self.views.get(member.instance) is None:
            self.views.add(
                UpstreamView(member.instance, member.failure_domain, member.region, now)
            )
        if member.instance == self.router.instance:
            return
        self.peers[member.instance] = self.router.links.peer(
            member, lambda load, name=member.instance: self._record_load(name, load)
        )

    def _remove_member(self, instance):
        self.views.discard(instance)
        if self.peers.pop(instance, None) is not None:
            # The link is closed after the calls that still use it have ended.
            self.router.links.close_when_idle(instance)

    def _record_load(self, instance, load):
        view = self.views.get(instance)
        if view is not None:
            now = monotonic()
            self.router.chooser.record_load(view, load, now)
