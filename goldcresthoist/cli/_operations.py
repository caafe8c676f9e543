"""Commands for at-most-once operations and uploads."""

from typing import NamedTuple
from urllib.parse import quote, urlencode

import msgspec

from goldcresthoist.cli._client import OperatorClient
from goldcresthoist.cli._configuration import author_name
from goldcresthoist.cli.errors import UsageError
from goldcresthoist.operators import OperationRecord, Settlement

OUTCOMES = ("ran", "not-run")
STATUSES = range(200, 600)


class Answer(NamedTuple):
    """Outcome of an operation as given by an operator.

    If it ran, later requests with its key receive a response with ``status`` and
    ``body``.
    """

    outcome: str
    status: str
    body: str


class OperationList(msgspec.Struct, frozen=True):
    """Response of a daemon with its unknown operations."""

    operations: tuple[OperationRecord, ...]


def list_unknown(service, settings, address):
    """Print one line for each operation whose outcome is unknown."""
    client = OperatorClient.from_flags(settings, address)
    target = "/operations"
    if service:
        target += f"?{urlencode({'service': service})}"
    operations = client.get_json(target, OperationList).operations
    for record in operations:
        print(_record_line(record))
    if not operations:
        print("no unknown operations")
    return 0


def show(service, key, settings, address):
    """Print the record of one operation."""
    client = OperatorClient.from_flags(settings, address)
    print(
        _record_line(client.get_json(_operation_target(service, key), OperationRecord))
    )
    return 0


def settle(service, key, answer, settings, address, author):
    """Record the outcome of an unknown operation."""
    if answer.outcome not in OUTCOMES:
        raise UsageError(f"OUTCOME {answer.outcome!r}: expected ran or not-run")
    if not answer.status.isdecimal() or int(answer.status) not in STATUSES:
        raise UsageError(f"--status {answer.status!r}: expected 200 to 599")
    settlement = Settlement(
        outcome=answer.outcome,
        author=author or author_name(),
        status=int(answer.status),
        body=answer.body,
    )
    client = OperatorClient.from_flags(settings, address)
    target = f"{_operation_target(service, key)}/settle"
    print(_record_line(client.change(target, settlement, OperationRecord)))
    return 0


def _operation_target(service, key):
    return f"/operations/{quote(service, safe='')}/{quote(key, safe='')}"


def _record_line(record):
    parts = [f"{record.service} {record.key}: {record.state}"]
    if record.owner:
        parts.append(f"owner {record.owner}")
    if record.started:
        parts.append(f"started {record.started}")
    if record.answer_status:
        parts.append(f"answer status {record.answer_status}")
    return ", ".join(parts)
