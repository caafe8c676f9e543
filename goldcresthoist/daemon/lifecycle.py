"""Start, drain and end of the daemon's process."""

import asyncio
import random
import signal
from contextlib import suppress
from time import monotonic

from goldcresthoist.config import Upload
from goldcresthoist.daemon.assembly import Daemon
from goldcresthoist.daemon.bootstrap import announce_until_written, meet_announced
from goldcresthoist.daemon.collector import tune_collector
from goldcresthoist.objects import ObjectsError
from goldcresthoist.operations import UploadExpiry
from goldcresthoist.table import TableError
from goldcresthoist.telemetry import log_event

__all__ = ["serve"]

# Callers and daemons that learn late still find this daemon and are told that it
# leaves; those that hold connections open have taken the hint by then.
LINGER_S = 1.0
POLL_S = 0.05
RECORD_LIMIT_S = 10.0
PEER_WAIT_S = 2.0
STALE_CHECK_S = 600.0
SWEEP_S = 1800.0


async def serve(settings):
    """Run one daemon until SIGTERM or SIGINT and its drain.

    Raises
    ------
    OSError
        When an address of the settings cannot be used.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    daemon = Daemon(settings)
    try:
        await daemon.listen()
        log_event("info", "daemon started", instance=settings.instance)
        await _run(daemon, stop)
        await _drain(daemon)
    finally:
        await daemon.close()
        log_event("info", "daemon ended", instance=settings.instance)


async def _run(daemon, stop):
    """Bring the daemon into service and wait for the signal."""
    tasks = [
        asyncio.create_task(announce_until_written(daemon.announcements)),
        asyncio.create_task(_join(daemon)),
        asyncio.create_task(meet_announced(daemon.announcements, daemon.membership)),
        asyncio.create_task(_enter_service(daemon)),
    ]
    await stop.wait()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _join(daemon):
    """Find peers, first through the table, else through the hints."""
    while True:
        addresses = await _announced_peers(daemon)
        hints = daemon.settings.peer_hints
        if addresses or hints:
            search = daemon.membership.join(addresses, hints)
            # The announcements may name daemons that are gone, so they are read again.
            with suppress(TimeoutError):
                async with asyncio.timeout(PEER_WAIT_S):
                    await asyncio.shield(search)
                return
            search.cancel()
        await asyncio.sleep(random.uniform(0.5, 1.5))


async def _announced_peers(daemon):
    try:
        return await daemon.announcements.first_peers()
    except TableError as exc:
        log_event("warning", "announcements cannot be read", error=exc)
        return []


async def _enter_service(daemon):
    await daemon.loader.load_first()
    await daemon.load_suspects()
    daemon.router.ready = True
    daemon.status.set_state("ready")
    tune_collector()
    log_event("info", "daemon ready", instance=daemon.settings.instance)
    await asyncio.gather(
        daemon.loader.refresh(), _delete_stale(daemon), _sweep_uploads(daemon)
    )


async def _delete_stale(daemon):
    while True:
        await asyncio.sleep(STALE_CHECK_S * random.uniform(0.5, 1.5))
        with suppress(TableError):
            await daemon.announcements.delete_stale(
                lambda instance: daemon.membership.member(instance) is not None
            )


async def _sweep_uploads(daemon):
    """Delete the parts of abandoned uploads of the own service now and then."""
    service = daemon.settings.service
    expiry = UploadExpiry(daemon.table, daemon.objects)
    while True:
        # All daemons of a service together sweep about once in this time.
        daemons = max(1, len(daemon.membership.members_of(service)))
        await asyncio.sleep(SWEEP_S * daemons * random.uniform(0.5, 1.5))
        configuration = daemon.holder.service(service)
        rules = configuration.work if configuration is not None else ()
        if not any(isinstance(rule.kind, Upload) for rule in rules):
            continue
        try:
            deleted = await expiry.sweep(service)
        except (TableError, ObjectsError) as exc:
            log_event("warning", "upload sweep broke off", error=exc)
        else:
            log_event("info", "uploads swept", service=service, deleted=deleted)


async def _drain(daemon):
    """Refuse new work, let running calls end, and leave."""
    settings = daemon.settings
    deadline = monotonic() + settings.drain_limit_s
    log_event("info", "drain started", instance=settings.instance)
    daemon.status.set_state("draining")
    daemon.membership.set_draining()
    daemon.server.start_draining()
    daemon.link_server.announce_load()
    daemon.caller_server.start_draining()
    await asyncio.sleep(LINGER_S)
    await _wait_for_calls(daemon, deadline)
    await daemon.ledger.wait_recorded(
        asyncio.get_running_loop().time() + RECORD_LIMIT_S
    )
    with suppress(TableError):
        await daemon.announcements.withdraw()
    daemon.membership.leave()
    log_event("info", "drain completed", instance=settings.instance)


async def _wait_for_calls(daemon, deadline):
    while _running_calls(daemon):
        if monotonic() > deadline:
            cut = _running_calls(daemon)
            daemon.counters.add("drain_cut", cut)
            log_event("error", "drain limit passed", calls_cut=cut)
            return
        await asyncio.sleep(POLL_S)


def _running_calls(daemon):
    callers = daemon.caller_server.connections
    return daemon.server.running + sum(
        connection.current is not None or bool(connection.requests)
        for connection in callers
    )
