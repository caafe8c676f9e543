"""Construction, start and stop of the components of a daemon."""

import asyncio

from goldcresthoist.balance import (
    Admission,
    Chooser,
    CrashSuspects,
    RetryBudget,
    SuspectRecord,
    get_policy,
)
from goldcresthoist.balance.suspects import SUSPECT_EXPIRY_S
from goldcresthoist.callers import CallerServer
from goldcresthoist.clock import monotonic
from goldcresthoist.config import ConfigurationHolder, split_address
from goldcresthoist.config.store import ConfigurationStore
from goldcresthoist.control import ControlPlane, CrashSuspect
from goldcresthoist.daemon.bootstrap import Announcements, ConfigurationLoader
from goldcresthoist.daemon.metrics import export_metrics
from goldcresthoist.daemon.operation_decisions import encode_response
from goldcresthoist.daemon.operation_paths import OperationPaths
from goldcresthoist.daemon.owners import OwnerCheck, owner_name
from goldcresthoist.daemon.records import OperationRecords
from goldcresthoist.daemon.routing import CallRouter
from goldcresthoist.daemon.serving import CallServer
from goldcresthoist.daemon.status import StatusReporter
from goldcresthoist.daemon.upload_handler import UploadHandler
from goldcresthoist.daemon.upload_runner import UploadRunner
from goldcresthoist.gossip import Membership
from goldcresthoist.links import LinkPool, LinkServer
from goldcresthoist.objects import ObjectClient
from goldcresthoist.operations import OperationLedger, UploadReceiver
from goldcresthoist.operators import OperatorServer
from goldcresthoist.operators.fleet_configuration import FleetConfiguration
from goldcresthoist.operators.ledger_operations import LedgerOperations
from goldcresthoist.table import TableClient
from goldcresthoist.telemetry import Counters, log_event
from goldcresthoist.upstreams import ConnectionPool, make_echoed_id_connection

__all__ = ["Daemon"]


class Daemon:
    """Creates the components of a daemon, starts them in order and stops them.

    Must be created inside a running event loop.

    Parameters
    ----------
    settings : Settings
    """

    def __init__(self, settings):
        self.settings = settings
        self.key = settings.shared_key_bytes()
        self.counters = Counters()
        self.table = TableClient.from_settings(settings)
        self.objects = ObjectClient.from_settings(settings)
        self.membership = Membership.from_settings(settings)
        self.holder = ConfigurationHolder()
        self.suspects = CrashSuspects()
        self.control = ControlPlane(
            self.membership, self.holder, self.key, self._export_suspects
        )
        self.store = ConfigurationStore(self.table, self.objects)
        self.announcements = Announcements(self.table, settings)
        self.configuration_loader = ConfigurationLoader(
            self.store, self.control, self.membership
        )
        self._build_operation_records()
        self._build_call_path()
        self._build_operator_server()

    def _build_operation_records(self):
        local_member = self.membership.view.local()
        self.owner_has_ended = OwnerCheck(self.membership)
        self.ledger = OperationLedger(self.table, self.objects)
        self.receiver = UploadReceiver(self.ledger)
        self.records = OperationRecords(
            self.ledger,
            owner_name(local_member.instance, local_member.incarnation),
            self.owner_has_ended,
            self.counters,
        )

    def _build_call_path(self):
        settings = self.settings
        policy = get_policy(settings.policy)
        self.upstream = ConnectionPool(
            *split_address(settings.upstream_address),
            make_connection=make_echoed_id_connection,
        )
        self.server = CallServer(
            settings.service,
            settings.instance,
            self.holder,
            lambda configuration: Admission(configuration, policy),
            self.upstream,
            self.suspects,
            self.records,
            self.counters,
        )
        self.server.uploads = UploadRunner(
            settings.service, self.upstream, self.records, self.receiver
        )
        self.links = LinkPool(settings.instance, self.key, self.counters)
        self.link_server = LinkServer(
            settings.instance, self.key, self.server, self.counters
        )
        self.router = CallRouter(
            self.membership.view.local(),
            self.membership,
            self.holder,
            Chooser(policy),
            lambda configuration: RetryBudget.from_configuration(configuration, policy),
            self.links,
            self.server,
            self.counters,
            OperationPaths(self.records),
        )
        self.router.ready = False
        self.router.uploads = UploadHandler(
            self.router, self.receiver, self.owner_has_ended, self.counters
        )
        self.caller_server = CallerServer(
            self.router.handle, self.counters, self.router.begin
        )
        self.caller_server.on_error = lambda error: log_event(
            "error", "request failed", error=error
        )

    def _build_operator_server(self):
        self.status = StatusReporter(self)
        self.fleet_configuration = FleetConfiguration(
            self.store, self.holder, self.membership, self.control.client
        )
        operations = LedgerOperations(
            self.ledger, self.holder, self.owner_has_ended, encode_response
        )
        self.operator_server = OperatorServer(
            self.key, self.status, self.fleet_configuration, operations, self.counters
        )
        export_metrics(self)

    async def listen(self):
        """Open all sockets.

        Raises
        ------
        OSError
            When an address cannot be bound.
        """
        settings = self.settings
        await self.operator_server.start(settings.operator_address)
        await self.membership.start()
        await self.control.start()
        await self.link_server.listen(*split_address(settings.link_address))
        await self.caller_server.listen(*split_address(settings.caller_address))

    async def load_suspects(self):
        """Copy the crash suspects from another daemon of the same service.

        The first daemon that responds is used. If none responds, this daemon starts
        without suspects.
        """
        for member in self.membership.members_of(self.settings.service):
            if member.instance == self.settings.instance:
                continue
            try:
                async with self.control.client.connect(member) as peer:
                    suspects = await peer.crash_suspects()
            except Exception:  # noqa: BLE001
                # Whatever failed at this daemon, another one may respond.
                continue
            self.suspects.load(
                [
                    SuspectRecord(i.fingerprint, i.count, SUSPECT_EXPIRY_S - i.age_s)
                    for i in suspects
                ],
                monotonic(),
            )
            return

    async def close(self):
        """Stop all components."""
        await self.caller_server.close()
        await self.links.close()
        await self.link_server.close()
        await self.server.close()
        await self.upstream.close()
        await self.operator_server.stop()
        await self.fleet_configuration.close()
        await self.control.close()
        await self.membership.close()
        await asyncio.gather(self.table.close(), self.objects.close())
        self.counters.close()

    def _export_suspects(self):
        return tuple(
            CrashSuspect(
                item.fingerprint, item.count, SUSPECT_EXPIRY_S - item.time_left_s
            )
            for item in self.suspects.export(monotonic())
        )
