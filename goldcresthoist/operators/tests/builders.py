"""Fake services for `OperatorServer`, and a server that runs in a thread."""

import asyncio
import threading

from loguru import logger

from goldcresthoist.config.differences import differences
from goldcresthoist.operators import (
    ApplyReport,
    ConfigurationRecord,
    ConfigurationSummary,
    Conflict,
    DomainCount,
    HistoryEntry,
    NotFound,
    OperationRecord,
    OperatorServer,
    Status,
)
from goldcresthoist.telemetry import Counters

SHARED_KEY = bytes(range(32))
START_TIMEOUT_S = 30


class FakeStatus:
    """Status of a daemon that is ready until ``state`` is changed."""

    def __init__(self):
        self.state = "ready"

    def status(self):
        return Status(
            instance="listening-room-a1",
            failure_domain="archive-a",
            region="archive",
            service="listening-room",
            state=self.state,
            slots=12,
            members={"alive": 11},
            configurations=(ConfigurationSummary("archive", 1, "d" * 64),),
        )


class FakeConfiguration:
    """Keeps configurations in memory. ``before_apply`` is called before each change."""

    def __init__(self):
        self.records = {}
        self.before_apply = None

    async def check(self, content):
        return None

    async def differences(self, content):
        record = self.records.get(content.team)
        old = record.content if record else None
        return record.version if record else 0, differences(old, content)

    async def apply(self, content, expected_version, author):
        if self.before_apply:
            self.before_apply()
        record = self.records.get(content.team)
        version = record.version if record else 0
        if version != expected_version:
            raise Conflict(
                f"version {version} is by {record.author}",
                differences(record.content, content),
            )
        self.put(content, author)
        counts = (DomainCount("archive-a", 4, 4), DomainCount("archive-b", 3, 4))
        counts += (DomainCount("archive-c", 0, 0),)
        return ApplyReport(content.team, version + 1, "e" * 64, counts)

    def put(self, content, author):
        version = 1
        if content.team in self.records:
            version += self.records[content.team].version
        self.records[content.team] = ConfigurationRecord(
            content.team, version, "e" * 64, author, "2026-01-01T00:00:00Z", content
        )

    async def show(self, team):
        if team not in self.records:
            raise NotFound(f"no team {team}")
        return self.records[team]

    async def history(self, team):
        record = await self.show(team)
        return (HistoryEntry(record.version, "e" * 64, record.author, record.time),)


class FakeOperations:
    """Operations service with one unknown operation."""

    def __init__(self):
        self.records = {
            ("ledger", "key/1"): OperationRecord("ledger", "key/1", "unknown", "a1")
        }

    async def list_unknown(self, service):
        return tuple(
            record
            for record in self.records.values()
            if record.state == "unknown" and service in (None, record.service)
        )

    async def show(self, service, key):
        if (service, key) not in self.records:
            raise NotFound(f"no operation {key} of {service}")
        return self.records[service, key]

    async def settle(self, service, key, settlement):
        record = await self.show(service, key)
        if record.state != "unknown":
            raise Conflict(f"operation {key} is {record.state}")
        state = "finished" if settlement.outcome == "ran" else "refused"
        settled = OperationRecord(
            service, key, state, "a1", answer_status=settlement.status
        )
        self.records[service, key] = settled
        return settled


class ServerThread:
    """Runs an `OperatorServer` with fake services, for tests with blocking clients."""

    def __init__(self):
        self.status = FakeStatus()
        self.configuration = FakeConfiguration()
        self.operations = FakeOperations()
        self.counters = Counters()
        self.server = OperatorServer(
            SHARED_KEY,
            self.status,
            self.configuration,
            self.operations,
            self.counters,
        )
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def start(self):
        logger.remove()
        self.thread.start()
        self._run(self.server.start("127.0.0.1:0"))
        self.address = f"127.0.0.1:{self.server.port}"

    def stop(self):
        self._run(self.server.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(START_TIMEOUT_S)
        self.loop.close()
        self.counters.close()

    def _run(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(START_TIMEOUT_S)
