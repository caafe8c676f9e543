"""Operation records and their representation as table items."""

import secrets
from dataclasses import dataclass, fields, replace

from goldcresthoist.operations.errors import InvalidOperationKey
from goldcresthoist.operations.results import UploadFields
from goldcresthoist.table import Absent, Equals, Key, Put, ReadBack, write_until_known

__all__ = [
    "Record",
    "RecordTable",
    "State",
    "new_nonce",
    "record_key",
    "record_partition",
]

# Sort keys of the table have at most 1,024 bytes, and the keys of the upload index are
# 33 bytes longer than the operation key.
MAX_KEY_BYTES = 900


class State:
    """States of an operation record.

    - ``claimed``: the body of the operation is being uploaded.
    - ``started``: the owner may be running the operation.
    - ``finished``: the operation ran, and its response is recorded if available.
    - ``refused``: the operation did not run and cannot be started any more.
    - ``unknown``: the operation was started, but it is unknown whether it ran.
    - ``released``: the operation was started, but certainly did not run, and may be
      started again. The item is kept in this state, so that the condition of a delayed
      write of the first start still fails.
    """

    CLAIMED = "claimed"
    STARTED = "started"
    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class Record:
    """Record of one operation.

    Each write stores a new `nonce`, and the next write uses it in its condition.
    `start_nonce` is the nonce of the write that started the operation; later states
    keep it.
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
        """Create a record from a table item."""
        upload = None
        if "upload_id" in item:
            upload = UploadFields(**_matching_fields(UploadFields, item))
        return cls(service, key, **_matching_fields(cls, item), upload=upload)

    def to_item(self):
        """Return the table item of the record, without its key attributes."""
        item = _non_empty_fields(self, ("service", "key", "upload"))
        return item | (_non_empty_fields(self.upload, ()) if self.upload else {})

    def changed(self, state, **changes):
        """Return a copy in another state, with a new nonce."""
        return replace(self, state=state, nonce=new_nonce(), **changes)

    def without_start(self):
        """Return a copy in the state that permits a new start, with a new nonce."""
        state = State.CLAIMED if self.upload else State.RELEASED
        return self.changed(state, owner="", start_nonce="", started_s=0)


def new_nonce():
    """Return a random nonce that identifies one write."""
    return secrets.token_hex(16)


def record_partition(service):
    """Return the table partition that holds the records of a service."""
    return f"operation#{service}"


def record_key(service, key):
    """Return the table key of a record.

    Raises
    ------
    InvalidOperationKey
    """
    if not 0 < len(key.encode()) <= MAX_KEY_BYTES:
        raise InvalidOperationKey(
            f"idempotency key {key[:40]!r} has {len(key.encode())} bytes: expected 1 "
            f"to {MAX_KEY_BYTES}"
        )
    return Key(record_partition(service), key)


class RecordTable:
    """Reads operation records, and writes them conditionally.

    Parameters
    ----------
    table : TableClient
    """

    def __init__(self, table):
        self.table = table

    async def get(self, service, key):
        """Return the record of an operation, or None.

        Raises
        ------
        InvalidOperationKey, TableUnavailable
        """
        item = await self.table.get(record_key(service, key))
        return None if item is None else Record.from_item(service, key, item)

    async def write(self, base, new, backoff, extra_puts=()):
        """Store the record `new` if the stored record is still `base`.

        Parameters
        ----------
        base : Record or None
            Expected stored record; None if no record must exist.
        new : Record
        backoff : Backoff
            Provides the pauses between the attempts, and the deadline.
        extra_puts : iterable of Put
            Unconditional writes for the same transaction.

        Returns
        -------
        WriteResult
        """
        put = self.conditional_put(base, new)

        async def write():
            if extra_puts:
                await self.table.transact([put, *extra_puts])
            else:
                await self.table.put(put)

        async def read_back():
            record = await self.get(new.service, new.key)
            return _read_back_outcome(record, base, new)

        return await write_until_known(write, read_back, backoff)

    @staticmethod
    def conditional_put(base, new):
        """Return the `Put` of `new`, conditional on `base` as in `write`."""
        condition = Absent() if base is None else Equals("nonce", base.nonce)
        return Put(record_key(new.service, new.key), new.to_item(), condition)


def _read_back_outcome(record, base, new):
    if record is None or (base is not None and record.nonce == base.nonce):
        return ReadBack.NOT_VISIBLE
    return ReadBack.APPLIED if record.nonce == new.nonce else ReadBack.CONFLICT


def _matching_fields(type_, item):
    names = {field.name for field in fields(type_)}
    return {name: value for name, value in item.items() if name in names}


def _non_empty_fields(values, excluded):
    items = ((field.name, getattr(values, field.name)) for field in fields(values))
    return {k: v for k, v in items if k not in excluded and v not in (None, "")}
