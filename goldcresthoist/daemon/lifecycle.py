"""Start, drain and shutdown of the daemon process."""

import asyncio
import random
import signal
from contextlib import suppress

from goldcresthoist.clock import monotonic
from goldcresthoist.config import Upload
from goldcresthoist.daemon.assembly import Daemon
from goldcresthoist.daemon.bootstrap import (
    announce_with_retries,
    contact_unknown_daemons,
)
from goldcresthoist.daemon.collector import tune_garbage_collector
from goldcresthoist.objects import ObjectsError
from goldcresthoist.operations import UploadExpiry
from goldcresthoist.table import TableError
from goldcresthoist.telemetry import log_event

__all__ = ["serve"]

# Minimum time for which a draining daemon continues to accept connections. Callers and
# daemons that do not know its state yet get a refusal instead of a connection error,
# and those with open connections have time to close them.
DRAIN_NOTICE_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
# Longest wait of a draining daemon for receivers that are slow to read.
FLUSH_TIMEOUT_S = 10.0
# Longest wait of a draining daemon for records of operations that are being written.
RECORD_WRITE_TIMEOUT_S = 10.0
JOIN_TIMEOUT_S = 2.0
ANNOUNCEMENT_CLEANUP_INTERVAL_S = 600.0
UPLOAD_SWEEP_INTERVAL_S = 1800.0


async def serve(settings):
    """Run one daemon until SIGTERM or SIGINT, then drain it.

    Raises
    ------
    OSError
        When an address in the settings cannot be bound.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
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
    """Start serving and wait for the stop signal."""
    tasks = [
        asyncio.create_task(announce_with_retries(daemon.announcements)),
        asyncio.create_task(_join(daemon)),
        asyncio.create_task(
            contact_unknown_daemons(daemon.announcements, daemon.membership)
        ),
        asyncio.create_task(_enter_service(daemon)),
    ]
    await stop.wait()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _join(daemon):
    """Join the membership through announced daemons and the configured peer hints."""
    while True:
        addresses = await _announced_peers(daemon)
        hints = daemon.settings.peer_hints
        if addresses or hints:
            join_task = daemon.membership.join(addresses, hints)
            # The announcements may name daemons that no longer run. If none responds
            # in time, they are read again.
            with suppress(TimeoutError):
                async with asyncio.timeout(JOIN_TIMEOUT_S):
                    await asyncio.shield(join_task)
                return
            join_task.cancel()
        await asyncio.sleep(random.uniform(0.5, 1.5))


async def _announced_peers(daemon):
    """Return gossip addresses of announced daemons; none if the table fails."""
    try:
        return await daemon.announcements.sample_peer_addresses()
    except TableError as exc:
        log_event("warning", "announcements cannot be read", error=exc)
        return []


async def _enter_service(daemon):
    """Load what calls need, then accept calls and run the periodic tasks."""
    await daemon.configuration_loader.load_initial()
    await daemon.load_suspects()
    daemon.router.ready = True
    daemon.status.set_state("ready")
    tune_garbage_collector()
    log_event("info", "daemon ready", instance=daemon.settings.instance)
    await asyncio.gather(
        daemon.configuration_loader.refresh(),
        _delete_stale_announcements(daemon),
        _sweep_uploads(daemon),
    )


async def _delete_stale_announcements(daemon):
    while True:
        await asyncio.sleep(ANNOUNCEMENT_CLEANUP_INTERVAL_S * random.uniform(0.5, 1.5))
        with suppress(TableError):
            await daemon.announcements.delete_stale(
                lambda instance: daemon.membership.member(instance) is not None
            )


async def _sweep_uploads(daemon):
    """Periodically delete the parts of abandoned uploads of the local service."""
    service = daemon.settings.service
    expiry = UploadExpiry(daemon.table, daemon.objects)
    while True:
        # The interval grows with the number of daemons, so that all daemons of a
        # service together sweep about once per UPLOAD_SWEEP_INTERVAL_S.
        daemons = max(1, len(daemon.membership.members_of(service)))
        await asyncio.sleep(
            UPLOAD_SWEEP_INTERVAL_S * daemons * random.uniform(0.5, 1.5)
        )
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
    """Refuse new work, wait for running calls and leave the membership."""
    settings = daemon.settings
    deadline = monotonic() + settings.drain_limit_s
    log_event("info", "drain started", instance=settings.instance)
    daemon.status.set_state("draining")
    daemon.membership.set_draining()
    daemon.server.start_draining()
    daemon.link_server.announce_load()
    daemon.caller_server.start_draining()
    await asyncio.sleep(DRAIN_NOTICE_S)
    await _wait_for_calls(daemon, deadline)
    await _flush_responses(daemon)
    await daemon.ledger.wait_for_background_writes(
        asyncio.get_running_loop().time() + RECORD_WRITE_TIMEOUT_S
    )
    with suppress(TableError):
        await daemon.announcements.withdraw()
    daemon.membership.leave()
    log_event("info", "drain completed", instance=settings.instance)


async def _wait_for_calls(daemon, deadline):
    """Wait until no call runs; count the running calls at the deadline as cut off."""
    while _running_calls(daemon):
        if monotonic() > deadline:
            cut = _running_calls(daemon)
            daemon.counters.add("drain_cut", cut)
            log_event("error", "drain limit passed", calls_cut=cut)
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)


async def _flush_responses(daemon):
    """Wait until callers and other daemons have received what was sent to them."""
    deadline = monotonic() + FLUSH_TIMEOUT_S
    servers = (daemon.caller_server, daemon.link_server)
    while any(server.unsent_bytes() for server in servers):
        if monotonic() > deadline:
            log_event("error", "responses cut off by the drain")
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)


def _running_calls(daemon):
    """Return the number of calls at the upstream and of connections with requests."""
    callers = daemon.caller_server.connections
    return daemon.server.running + sum(connection.busy for connection in callers)
