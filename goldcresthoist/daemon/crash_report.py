"""Tells the daemons of a service which request was running in a crash."""

import asyncio
from time import monotonic

__all__ = ["report_crash"]

ACKNOWLEDGE_TIMEOUT_S = 0.2


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
    now = monotonic()
    links = [peer.link for peer in route.peers.values() if peer.is_usable(now)]
    tasks = [asyncio.create_task(link.tell_suspect(*report)) for link in links]
    if not tasks:
        return
    _, late = await asyncio.wait(tasks, timeout=ACKNOWLEDGE_TIMEOUT_S)
    for task in late:
        task.cancel()
