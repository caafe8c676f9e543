"""Construction, start and shutdown of the components of a platform daemon."""

import asyncio
import hashlib
import math
import time

import msgspec

from goldcresthoist.addresses import split_address
from goldcresthoist.balance import CrashSuspects, HedgeLimit, HedgeSettings
from goldcresthoist.callers import CallerServer, ConnectionLimits
from goldcresthoist.clock import monotonic
from goldcresthoist.fleet import (
    ConfigurationWatch,
    Directory,
    FleetChannel,
    MemberRecord,
    Registration,
)
from goldcresthoist.fleet.messages import KneeVerdict, SuspectNotice
from goldcresthoist.links import LinkPool, LinkServer
from goldcresthoist.node.announcements import AnnouncementServer
from goldcresthoist.node.call_execution import make_connection
from goldcresthoist.node.discovery import UpstreamDiscovery
from goldcresthoist.node.entry import EntryServer
from goldcresthoist.node.hedging import Hedging
from goldcresthoist.node.local_upstream import LocalUpstream
from goldcresthoist.node.services import FleetServices
from goldcresthoist.node.serving import STORED_CRASHES, UpstreamServer
from goldcresthoist.node.status import NodeStatus
from goldcresthoist.node.transfers import TransferBudget
from goldcresthoist.pauses import PauseDetector
from goldcresthoist.platform import StoreClient
from goldcresthoist.quotas import QuotaService
from goldcresthoist.telemetry import Counters, DecisionLog, PlainExposition
from goldcresthoist.upstreams import ConnectionPool

__all__ = ["METRICS_PORT", "Node", "fleet_key"]

# The port that deploy/system.toml names for the metrics.
METRICS_PORT = 9464
READY_PATH = "/ready"
STATUS_PATH = "/status"


def fleet_key(settings):
    """Return the authentication key shared by the daemons of one fleet.

    The platform provides no secret, so the key is derived from the store's address. It
    separates fleets that use different stores and rejects corrupted datagrams, but does
    not protect against an attacker on the network.
    """
    host, _ = split_address(settings.store_address)
    text = f"goldcresthoist fleet of {host}"
    return hashlib.blake2b(text.encode(), digest_size=32).digest()


class Node:
    """The daemon: owns its components and connects them to each other.

    It must be created inside a running event loop.

    Parameters
    ----------
    settings : NodeSettings
    hedge_settings : HedgeSettings
        Limit of the operator on hedges; by default there is none.

    Attributes
    ----------
    record : MemberRecord
        Record of this daemon, as announced to the other ones.
    directory : Directory
        Members of the fleet.
    registration : Registration
        Row of this daemon in the store.
    watch : ConfigurationWatch
        Configuration and routing table in force.
    own : LocalUpstream
        State of the local upstream.
    server : UpstreamServer
        Admits the calls to the local upstream, from this and from other daemons.
    services : FleetServices
        Upstreams that the requests received here can be sent to.
    quotas : QuotaService
        Decides about requests of workspaces that have a quota.
    entry : EntryServer
        Handles the requests received here.
    """

    def __init__(self, settings, hedge_settings=HedgeSettings()):
        self.settings = settings
        self.hedge_settings = hedge_settings
        self.counters = Counters(PlainExposition())
        self.log = DecisionLog(settings.instance)
        self.pauses = PauseDetector()
        # Set to True when the process is about to stop. The readiness check then fails,
        # so that callers use another daemon.
        self.draining = False
        key = fleet_key(settings)
        self.record = MemberRecord(
            settings.ip,
            settings.instance,
            settings.failure_domain,
            settings.region,
            settings.service,
            int(time.time() * 1000),
            settings.link_mbit_s,
        )
        self._build_fleet(key)
        self._build_calls(key)
        self._connect_components()

    def _build_fleet(self, key):
        settings = self.settings
        self.channel = FleetChannel(
            settings.ip, settings.gossip_port, key, self.counters, self.log
        )
        self.directory = Directory(self.record, self.channel, self.log)
        self.store = StoreClient(settings.store_address, self.counters)
        self.watch = ConfigurationWatch(
            self.directory,
            self.store,
            lambda ip: self.services.fetch_configuration(ip),
            self.log,
            self.counters,
            self.pauses,
        )
        self.registration = Registration(
            self.directory, self.store, self.watch, self.log, settings.bootstrap
        )
        self.quotas = QuotaService.from_settings(
            settings, self.channel, self.counters, self.log, self.pauses
        )

    def _build_calls(self, key):
        settings = self.settings
        started_ms = 0 if settings.bootstrap else self.record.born_ms
        self.own = LocalUpstream(
            settings.upstream_address, settings.service, started_ms
        )
        self.pool = ConnectionPool(
            *split_address(settings.upstream_address), make_connection=make_connection
        )
        self.suspects = CrashSuspects()
        self.transfers = TransferBudget.from_memory(settings.memory_mb)
        self.server = UpstreamServer(
            self.own,
            self.pool,
            self.suspects,
            self.counters,
            self.log,
            self.transfers,
            self.pauses,
        )
        self.links = LinkPool(settings.ip, key, self.counters)
        self.link_server = LinkServer(settings.ip, key, self.server, self.counters)
        self.services = FleetServices(
            self.record,
            self.links,
            self.server,
            settings.bounds,
            settings.link_port,
            asyncio.get_running_loop().call_soon,
        )
        self.hedging = Hedging(
            HedgeLimit.from_settings(self.hedge_settings), self.counters
        )
        self.entry = EntryServer(
            self.services,
            self.watch,
            self.server,
            self.hedging,
            settings.service,
            self.counters,
            self.log,
            self.transfers,
            self.quotas,
        )
        self.announcements = AnnouncementServer(
            self.own,
            self.server,
            self.directory,
            self.registration,
            self.log,
            self.counters,
        )
        self.discovery = UpstreamDiscovery(
            self.own, self.server, self.registration, self.log
        )
        self.caller_server = CallerServer(
            self.entry.handle, self.counters, runs_beside=self.entry.runs_beside
        )
        self.caller_server.on_dropped = self._log_dropped_requests
        self.announcement_server = CallerServer(
            self.announcements.handle, self.counters
        )
        self.readiness_server = CallerServer(self._serve_readiness, self.counters)
        self.metrics_server = CallerServer(self._serve_operators, self.counters)
        for server in self._http_servers():
            server.on_error = self._log_request_error

    def _connect_components(self):
        self.directory.on_member = self._add_member
        self.directory.on_member_left = self._remove_member
        self.quotas.members_known = lambda: (
            self.registration.rows_loaded.is_set() or len(self.directory.members) > 1
        )
        self.store.on_era = self.watch.set_era
        self.watch.on_routing_table = self._apply_table
        self.watch.drained.on_change = self._apply_drained_domains
        self.watch.on_store_recovered = self.registration.store_recovered
        self.watch.on_store_restored = self.registration.store_restored
        self.server.configuration_content = self.watch.current_content
        self.server.probe.health_path = self._health_path
        self.announcements.on_unconfirmed = self.discovery.start_confirmation
        self.server.on_suspect = self._broadcast_suspect
        self.server.on_knee_verdict = self._broadcast_knee_verdict
        self.directory.on_knee = self._restore_knee
        self.channel.handlers[KneeVerdict] = self._on_knee_verdict
        self.link_server.on_peer = self._request_introduction
        self.channel.handlers[SuspectNotice] = lambda message, _: (
            self.server.update_suspect(
                message.fingerprint, message.count, message.time_left_s
            )
        )
        self.registration.on_suspect = self.server.update_suspect
        self.directory.on_roster_request = self._send_suspects
        self.counters.gauge("ready", lambda: int(self.is_ready()))
        self.counters.gauge("members", lambda: len(self.directory.members))
        self.counters.gauge("in_flight", lambda: self.server.queue.running)
        self.counters.gauge("queued", lambda: len(self.server.queue.waiting))
        self.counters.gauge(
            "workspace_accounts",
            lambda: len(self.server.queue.ranking.fair_share.accounts),
        )
        self.counters.gauge("upstream_limit_per_s", self._upstream_limit)
        self.counters.gauge("hedge_share", lambda: self.hedge_settings.share)
        self.counters.gauge("pipelined_held_bytes", self.caller_server.held_bytes)
        self.counters.gauge("drained_domains", lambda: len(self.watch.drained.domains))
        self.counters.gauge("domain_drained", lambda: int(self.server.domain_drained))
        self.counters.gauge("warm_up_rate_per_s", self._start_rate)
        self.counters.gauge("transfer_bytes", lambda: self.transfers.used)
        self.counters.gauge("configuration_version", lambda: self.watch.version)
        self.counters.gauge(
            "configuration_behind_s", lambda: self.watch.behind_s(monotonic())
        )
        self.counters.gauge("store_era", lambda: self.watch.era)
        self.counters.gauge("configuration_unknown", self._count_unknown)
        self.counters.gauge("quota_groups_counted", lambda: len(self.quotas.counter))
        self.counters.count_from("log_lines_dropped", lambda: self.log.dropped)

    async def listen(self):
        """Open all sockets.

        Raises
        ------
        OSError
            When an address cannot be used.
        """
        settings = self.settings
        await self.channel.listen()
        await self.link_server.listen(settings.ip, settings.link_port)
        await self.announcement_server.listen(*split_address(settings.announce_address))
        await self.readiness_server.listen(*split_address(settings.readiness_address))
        await self.caller_server.listen(*split_address(settings.caller_address))
        try:
            await self.metrics_server.listen(settings.ip, METRICS_PORT)
        except OSError as exc:
            # The daemon can serve requests without its metrics.
            self.log.event("metrics unavailable", error=str(exc))

    def is_ready(self):
        """Return whether the readiness check passes."""
        return self.watch.table is not None and not self.draining

    def reconfigure(self, settings):
        """Apply those `NodeSettings` that can change while the process runs.

        These are the bounds and the service. Changed addresses and ports take effect
        only after a restart.
        """
        earlier = self.settings
        self.settings = settings
        self.services.set_bounds(settings.bounds)
        self.quotas.set_bounds(settings.bounds)
        if settings.service == earlier.service:
            self._apply_warm_up_limit()
            return
        self.log.event("service changed", was=earlier.service, now=settings.service)
        self.own.service = settings.service
        self._apply_warm_up_limit()
        self.entry.caller_service = settings.service.encode()
        # The clock may have been set back since the last record.
        born_ms = max(int(time.time() * 1000), self.directory.own.born_ms + 1)
        self.record = msgspec.structs.replace(
            self.record, service=settings.service, born_ms=born_ms
        )
        self.directory.replace_own(self.record)
        self.services.own = self.record
        self.services.add_member(self.record)
        self.directory.announce()

    def busy(self):
        """Return whether requests or calls are in progress, or responses unsent."""
        return bool(
            self.entry.in_progress
            or self.server.running
            or self.caller_server.unsent_bytes()
            or self.link_server.unsent_bytes()
        )

    async def close(self):
        """Stop all components and write out the log."""
        for server in self._http_servers():
            await server.close()
        await self.discovery.close()
        await self.watch.close()
        await self.registration.close()
        await self.links.close()
        await self.link_server.close()
        await self.server.close()
        await self.pool.close()
        await self.store.close()
        self.quotas.close()
        self.channel.close()
        self.log.flush()

    def _http_servers(self):
        return (
            self.caller_server,
            self.announcement_server,
            self.readiness_server,
            self.metrics_server,
        )

    def _log_request_error(self, error):
        self.log.event("request failed", error=repr(error))

    def _log_dropped_requests(self, cancelled, unread):
        self.log.event("pipelined requests dropped", cancelled=cancelled, unread=unread)

    def _add_member(self, record):
        self.services.add_member(record)
        self.quotas.add_member(record.ip)

    def _remove_member(self, record):
        self.services.remove_member(record)
        self.quotas.remove_member(record.ip)

    def _apply_table(self, table):
        """Apply the limits, the quotas and the routes of a new configuration."""
        self.quotas.apply_table(table)
        limits = table.limits
        self.caller_server.set_limits(
            ConnectionLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )
        )
        self.services.discard_removed_routes(table)
        self.hedging.keep_routes({route.name for route in table.routes})
        self._apply_warm_up_limit()
        if self.own.usable() and not self.server.queue.pace.known:
            # The local upstream may have announced itself before the configuration with
            # its health path arrived, so that no probe could be sent then.
            self.server.probe.trigger()

    def _apply_warm_up_limit(self):
        table = self.watch.table
        if table is not None:
            limit = table.warm_up_limits.get(self.own.service)
            bounds = self.settings.bounds
            self.server.set_warm_up_limit(limit, bounds, bool(self._health_path()))

    def _apply_drained_domains(self):
        drained = self.watch.drained
        domains = drained.domains
        self.log.event(
            "drained failure domains",
            domains=sorted(domains),
            revision=drained.position.version,
            era=drained.position.era,
            kept=sorted(drained.kept),
        )
        self.server.set_domain_drained(self.settings.failure_domain in domains)

    def _start_rate(self):
        rate = self.server.queue.warm_up.rate(monotonic())
        return -1.0 if rate == math.inf else rate

    def _count_unknown(self):
        return 0 if self.watch.table is None else len(self.watch.table.unknown)

    def _upstream_limit(self):
        limit_per_s = self.server.limit_per_s
        return -1.0 if limit_per_s is None else limit_per_s

    def _health_path(self):
        table = self.watch.table
        return None if table is None else table.services.get(self.own.service)

    def _broadcast_suspect(self, fingerprint, count, before):
        self.log.event(
            "crash suspect", fingerprint=fingerprint.hex(), count=count, before=before
        )
        notice = SuspectNotice(fingerprint, count)
        self.channel.send(notice, self.directory.other_addresses())
        if max(count, before) >= STORED_CRASHES:
            self.registration.record_suspect(fingerprint, count)

    def _send_suspects(self, ip):
        """Send the suspects to a daemon that requests the roster after its start."""
        for record in self.server.reported_suspects():
            notice = SuspectNotice(
                record.fingerprint, record.count, round(record.time_left_s, 1)
            )
            self.channel.send(notice, (ip,))

    def _broadcast_knee_verdict(self, verdict, decided):
        """Send a verdict to the service's daemons; store the knee if it decided."""
        service = self.own.service
        self.directory.send_to_service(KneeVerdict(service, verdict), service)
        if decided:
            self.registration.record_knee(service)

    def _on_knee_verdict(self, message, _sender):
        if message.service == self.own.service:
            self.server.add_knee_verdict(message.slower)

    def _restore_knee(self, service):
        if service == self.own.service:
            self.server.restore_knee()

    def _request_introduction(self, ip):
        """Request the roster from a daemon that opened a link but is not a member."""
        if ip not in self.directory.members:
            self.directory.request_roster((ip,))

    async def _serve_readiness(self, request, exchange):
        path = request.target.partition("?")[0]
        if path != READY_PATH:
            exchange.start(404, [], b"", True)
        elif self.is_ready():
            exchange.start(200, [], b"ready\n", True)
        else:
            reason = b"draining\n" if self.draining else b"no configuration\n"
            exchange.start(503, [], reason, True)

    async def _serve_operators(self, request, exchange):
        """Serve the metrics, and the status of the daemon on `STATUS_PATH`."""
        path, _, query = request.target.partition("?")
        if path == STATUS_PATH:
            status = NodeStatus.from_node(self)
            if query == "format=text":
                headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
                exchange.start(200, headers, status.text().encode(), True)
            else:
                headers = [(b"Content-Type", b"application/json")]
                exchange.start(200, headers, msgspec.json.encode(status), True)
            return
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        exchange.start(200, headers, self.counters.text(), True)
