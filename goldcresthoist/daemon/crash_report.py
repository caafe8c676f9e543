"""Reports of requests that were running when an upstream crashed."""

import asyncio
from contextlib import suppress

from goldcresthoist.clock import monotonic
from goldcresthoist.links import LinkError

__all__ = ["report_crash"]

# No daemon sends new work to a peer that has not responded for this long. A peer that
# misses the time limit therefore cannot run the request before it reads the report.
ACK_TIMEOUT_S = 1.0


async def report_crash(routed, attempt):
    """Report a crash to every daemon of the service and wait for acknowledgements.

    The request must not be retried and no response must be sent to its caller before
    the other daemons have the report, because the caller may repeat the request at
    once, through any daemon.

    Parameters
    ----------
    routed : RoutedCall
        The request. Its crash count includes this crash.
    attempt : Attempt
        The attempt during which the upstream crashed.
    """
    route = routed.route
    server = routed.router.server
    report = (routed.fingerprint, routed.crash_count, attempt.view.instance)
    # The local server has already recorded a crash of the local upstream.
    if server.service == route.name and not attempt.local:
        server.add_suspect(*report)
    peers = tuple(route.peers.values())
    tasks = [asyncio.create_task(_send_report(peer, report)) for peer in peers]
    if not tasks:
        return
    _, pending = await asyncio.wait(tasks, timeout=ACK_TIMEOUT_S)
    for task in pending:
        task.cancel()


async def _send_report(peer, report):
    # If the link is still being opened, the serving daemon must get the report
    # afterwards.
    await peer.first_attempt_done.wait()
    if peer.is_usable(monotonic()):
        with suppress(LinkError):
            await peer.link.send_suspect(*report)
