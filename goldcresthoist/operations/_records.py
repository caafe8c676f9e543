"""Records of operations and their items in the table."""

import secrets
from dataclasses import dataclass, fields, replace

from goldcresthoist.operations.errors import InvalidOperationKey
from goldcresthoist.operations.results import UploadFields
from goldcresthoist.table import Absent, Equals, Key, Put, Seen, write_until_known

__all__ = [
    "Record",
    "RecordTable",
    "State",
    "new_nonce",
    "record_key",
    "record_partition",
]

# The table takes sort keys of at most 1,024 bytes; the list of uploads adds 33.
MOST_KEY_BYTES = 900


class State:
    """States of a record.

    ``released`` stands for a start that certainly ran nothing. The item stays, so
    that a late write of that start still fails its condition.
    """

    CLAIMED = "claimed"
    STARTED = "started"
    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class Record:
    """One record. Every write of it takes a new nonce.

    `start_nonce` is the nonce of the start, kept by the states that follow.
    """

    service: str
    key: str
    state: str
    nonce: str
    digest: str = ""
    owner: str = ""
    start_nonce: str = ""
    started_s: int = 0
    answer: bytes | None = None
    answer_object: str = ""
    settled: int = 0
    author: str = ""
    note: str = ""
    upload: UploadFields | None = None

    @classmethod
    def from_item(cls, service, key, item):
        """Make a record from an item of the table."""
        upload = None
        if "upload_id" in item:
            upload = UploadFields(**_taken(UploadFields, item))
        return cls(service, key, **_taken(cls, item), upload=upload)

    def to_item(self):
        """Return the item of the record without its key."""
        item = _given(self, ("service", "key", "upload"))
        return item | (_given(self.upload, ()) if self.upload else {})

    def changed(self, state, **changes):
        """Return this record in another state with a new nonce."""
        return replace(self, state=state, nonce=new_nonce(), **changes)

    def released(self):
        """Return this record as if its start had not been made."""
        state = State.CLAIMED if self.upload else State.RELEASED
        return self.changed(state, owner="", start_nonce="", started_s=0)


def new_nonce():
    """Return a nonce that no other write has."""
    return secrets.token_hex(16)


def record_partition(service):
    """Return the partition of all records of a service."""
    return f"operation#{service}"


def record_key(service, key):
    """Return the key of a record in the table."""
    if not 0 < len(key.encode()) <= MOST_KEY_BYTES:
        raise InvalidOperationKey(
            f"idempotency key {key[:40]!r} has {len(key.encode())} bytes: expected 1 "
            f"to {MOST_KEY_BYTES}"
        )
    return Key(record_partition(service), key)


class RecordTable:
    """Reads and conditionally writes records.

    Parameters
    ----------
    table : TableClient
    """

    def __init__(self, table):
        self.table = table

    async def get(self, service, key):
        """Return the record under a key, or None."""
        item = await self.table.get(record_key(service, key))
        return None if item is None else Record.from_item(service, key, item)

    async def write(self, base, new, backoff, more=()):
        """Replace the record `base`, or none, by `new`; return a `WriteResult`.

        The writes `more` are made in the same transaction, without conditions.
        """
        put = self.put_of(base, new)

        async def write():
            if more:
                await self.table.transact([put, *more])
            else:
                await self.table.put(put)

        async def read_back():
            record = await self.get(new.service, new.key)
            return _compare(record, base, new)

        return await write_until_known(write, read_back, backoff)

    @staticmethod
    def put_of(base, new):
        """Return the write that replaces `base`, or none, by `new`."""
        condition = Absent() if base is None else Equals("nonce", base.nonce)
        return Put(record_key(new.service, new.key), new.to_item(), condition)


def _compare(record, base, new):
    if record is None or (base is not None and record.nonce == base.nonce):
        return Seen.NOTHING
    return Seen.OWN if record.nonce == new.nonce else Seen.OTHER


def _taken(type_, item):
    names = {field.name for field in fields(type_)}
    return {name: value for name, value in item.items() if name in names}


def _given(values, left_out):
    items = ((field.name, getattr(values, field.name)) for field in fields(values))
    return {k: v for k, v in items if k not in left_out and v not in (None, "")}
