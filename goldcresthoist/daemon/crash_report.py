"""Tells the daemons of a service which request was running in a crash."""

import asyncio
from contextlib import suppress
from time import monotonic

from goldcresthoist.links import LinkError

__all__ = ["report_crash"]

# A daemon that is silent for this long gets no new work from anybody, so it cannot run
# the request before it has read the report.
ACKNOWLEDGE_TIMEOUT_S = 1.0


async def report_crash(routed, attempt):
    """Tell every daemon of the service, and wait for their acknowledgement.

    The request must not run again, and its caller must not be answered, before the
    others know: the caller may send it again at once, to any daemon.

    Parameters
    ----------
    routed : RoutedCall
        The request; its crash count includes this crash.
    attempt : Attempt
        The attempt during which the upstream crashed.
    """
    route = routed.route
    server = routed.router.server
    report = (routed.fingerprint, routed.crash_count, attempt.view.instance)
    if server.service == route.name and not attempt.local:
        server.add_suspect(*report)
    peers = tuple(route.peers.values())
    tasks = [asyncio.create_task(_tell(peer, report)) for peer in peers]
    if not tasks:
        return
    _, late = await asyncio.wait(tasks, timeout=ACKNOWLEDGE_TIMEOUT_S)
    for task in late:
        task.cancel()


async def _tell(peer, report):
    # A link that is being opened must not let its daemon miss the report.
    await peer.first_attempt.wait()
    if peer.is_usable(monotonic()):
        with suppress(LinkError):
            await peer.link.tell_suspect(*report)
