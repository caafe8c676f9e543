"""Start, graceful shutdown and settings reload of the daemon process."""

import asyncio
import os
import signal
import sys
from functools import partial
from pathlib import Path

from goldcresthoist.balance import HedgeSettings, InvalidHedgeShare
from goldcresthoist.clock import monotonic
from goldcresthoist.node.assembly import Node
from goldcresthoist.node.stopping import StopDeadlines
from goldcresthoist.platform import InvalidNodeSettings, NodeSettings
from goldcresthoist.platform.settings import settings_path
from goldcresthoist.supervision import keep_running

__all__ = ["drain", "run", "serve"]

SUCCESS = 0
FAILURE = 1
INVALID_SETTINGS = 2
# Longest wait for the members before the configuration watch starts. A daemon that does
# not know them watches the store itself. When the whole fleet starts for the first
# time, all write their rows first, which takes the store a second for 200 daemons.
MEMBERS_TIMEOUT_S = 0.2
BOOTSTRAP_MEMBERS_TIMEOUT_S = 2.0
# Share of the grace period until which a daemon whose upstream has left may take the
# time to leave the fleet.
LEAVE_SHARE = 0.85
# Time after the cut-off in which the last responses are sent.
FLUSH_S = 0.1
# Interval of the checks while draining whether requests or calls are still in progress.
POLL_S = 0.05
# Interval of the checks for a changed settings file.
SETTINGS_POLL_S = 1.0


def run():
    """Run the daemon with the settings file named in the environment.

    Returns
    -------
    int
        Exit status of the process.
    """
    try:
        settings = NodeSettings.from_environment()
        hedge_settings = HedgeSettings.from_environment(os.environ)
    except (InvalidNodeSettings, InvalidHedgeShare) as exc:
        print(exc, file=sys.stderr)
        return INVALID_SETTINGS
    import uvloop

    try:
        uvloop.run(serve(settings, hedge_settings))
    except OSError as exc:
        print(f"the daemon cannot start: {exc}", file=sys.stderr)
        return FAILURE
    return SUCCESS


async def serve(settings, hedge_settings):
    """Serve until SIGTERM or SIGINT, then drain.

    Raises
    ------
    OSError
        When an address of the settings cannot be used.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    reload = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    node = Node(settings, hedge_settings)
    tasks = []
    try:
        await node.listen()
        node.log.event("started", service=settings.service, ip=settings.ip)
        if hedge_settings.share > 0.0:
            node.log.event("hedges limited", share=hedge_settings.share)
        parts = {
            "pauses": node.pauses.run,
            "registration": node.registration.run,
            "member-log": node.directory.run,
            "discovery": node.discovery.run,
            "links": node.services.run,
            "settings": partial(_watch_settings, node, reload),
        }
        tasks = [
            loop.create_task(keep_running(name, run, node.log, node.counters))
            for name, run in parts.items()
        ]
        tasks.append(loop.create_task(_start_configuration_watch(node)))
        await stop.wait()
        await drain(node)
    finally:
        for task in tasks:
            task.cancel()
        await node.close()


async def _start_configuration_watch(node):
    """Start the configuration watch once the members are loaded, or after a time limit.

    The members determine whether this daemon is one of those that watch the store.
    """
    limit_s = MEMBERS_TIMEOUT_S
    if node.settings.bootstrap:
        limit_s = BOOTSTRAP_MEMBERS_TIMEOUT_S
    try:
        async with asyncio.timeout(limit_s):
            await node.registration.rows_loaded.wait()
    except TimeoutError:
        reason = f"no answer from the store within {limit_s} s"
        node.log.event("members unknown", reason=reason)
    node.watch.start()


async def drain(node):
    """Let running requests of a `Node` finish, and refuse new ones step by step.

    The readiness check fails at once; `StopDeadlines` has the further steps. Returns
    when nothing runs any more, at the latest when the last responses were sent.
    """
    grace_s = node.settings.bounds.stop_grace_s
    started = monotonic()
    stop = StopDeadlines.from_grace(started, grace_s)
    node.log.event("stopping", grace_s=grace_s, in_progress=node.entry.in_progress)
    node.draining = True
    node.server.start_stopping(stop)
    node.entry.start_stopping(stop)
    while (now := monotonic()) < stop.cut_off_at + FLUSH_S:
        if now >= stop.upstream_closing_at and not node.server.draining:
            after_s = round(now - started, 2)
            node.log.event("upstream calls refused", after_s=after_s)
            node.server.start_draining()
        if now >= stop.closing_at:
            if not node.caller_server.draining:
                node.caller_server.start_draining()
            if not node.busy():
                break
        await asyncio.sleep(POLL_S)
    if node.own.leaving and monotonic() < started + LEAVE_SHARE * grace_s:
        # The upstream has ended, so the instance is being taken away or its upstream
        # replaced; a successor registers again.
        await node.registration.leave()
    cut = node.entry.in_progress
    node.log.event("stopped", cut=cut, after_s=round(monotonic() - started, 2))


async def _watch_settings(node, reload):
    """Reload the settings on SIGHUP and whenever the content of the file changes."""
    path = Path(settings_path())
    # The file may have changed since the process read it.
    known = None
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload.wait()
        except TimeoutError:
            pass
        signalled = reload.is_set()
        reload.clear()
        content = _read_text(path)
        if content == known and not signalled:
            continue
        known = content
        if content is None:
            node.log.event("settings unreadable", path=str(path))
            continue
        try:
            settings = NodeSettings.from_text(content, str(path))
        except InvalidNodeSettings as exc:
            node.log.event("settings ignored", error=str(exc))
            continue
        node.log.event("settings read", changed=settings != node.settings)
        node.reconfigure(settings)


def _read_text(path):
    """Return the text of the file, or None if it cannot be read or decoded."""
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError):
        return None
