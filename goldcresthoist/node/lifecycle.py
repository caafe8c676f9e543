"""Start, stop and reload of the daemon's process."""

import asyncio
import signal
import sys
from pathlib import Path
from time import monotonic

from goldcresthoist.node.assembly import Node
from goldcresthoist.platform import InvalidNodeSettings, NodeSettings
from goldcresthoist.platform.settings import settings_path

__all__ = ["drain", "run", "serve"]

SUCCESS = 0
FAILURE = 1
INVALID_SETTINGS = 2
# The platform asks for the readiness once a second, and callers stop after two misses;
# until then they must be answered.
LINGER_S = 3.0
# The upstream stays when only its daemon is stopped, and nobody else reaches it. Its
# calls are refused only after this share of that time; the rest is for those that run.
UPSTREAM_LINGER_SHARE = 0.85
# Part of the grace after which what still runs is cut off.
CUT_OFF_SHARE = 0.93
POLL_S = 0.05
SETTINGS_POLL_S = 1.0


def run():
    """Run the daemon that the environment describes; return the exit status."""
    try:
        settings = NodeSettings.from_environment()
    except InvalidNodeSettings as exc:
        print(exc, file=sys.stderr)
        return INVALID_SETTINGS
    import uvloop

    try:
        uvloop.run(serve(settings))
    except OSError as exc:
        print(f"the daemon cannot start: {exc}", file=sys.stderr)
        return FAILURE
    return SUCCESS


async def serve(settings):
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
    node = Node(settings)
    tasks = []
    try:
        await node.listen()
        node.log.event("started", service=settings.service, ip=settings.ip)
        tasks = [
            loop.create_task(node.registration.run()),
            loop.create_task(_start_configuration_watch(node)),
            loop.create_task(_watch_settings(node, reload)),
        ]
        await stop.wait()
        await drain(node)
    finally:
        for task in tasks:
            task.cancel()
        await node.close()


async def _start_configuration_watch(node):
    """Follow the configuration; the members should be known first."""
    try:
        async with asyncio.timeout(POLL_S * 4):
            await node.registration.loaded.wait()
    except TimeoutError:
        node.log.event("members unknown", reason="the store does not answer")
    node.watch.start()


async def drain(node):
    """End what runs, and take on as little as possible of what would not end.

    Parameters
    ----------
    node : Node
    """
    grace_s = node.settings.bounds.stop_grace_s
    started = monotonic()
    node.log.event("stopping", grace_s=grace_s, in_progress=node.entry.in_progress)
    node.draining = True
    linger_s = min(LINGER_S, grace_s / 2)
    cut_off_at = started + CUT_OFF_SHARE * grace_s
    while monotonic() < cut_off_at:
        elapsed_s = monotonic() - started
        if elapsed_s >= UPSTREAM_LINGER_SHARE * linger_s and not node.server.draining:
            node.log.event("upstream calls refused", after_s=round(elapsed_s, 2))
            node.server.start_draining()
        if elapsed_s >= linger_s:
            if not node.entry.closing:
                node.entry.closing = True
                node.caller_server.start_draining()
            if not node.busy():
                break
        await asyncio.sleep(POLL_S)
    cut = node.entry.in_progress
    node.log.event("stopped", cut=cut, after_s=round(monotonic() - started, 2))


async def _watch_settings(node, reload):
    """Take over changed settings, with a signal or without one."""
    path = Path(settings_path())
    known = _read_text(path)
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
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError):
        return None
