"""Client of the table service by the DynamoDB JSON protocol."""

import json

from goldcresthoist.access import CallFailed, CallGate, CallNotSent, SignedHttp
from goldcresthoist.table.errors import (
    ConditionFailed,
    OutcomeUnknown,
    TableError,
    TableUnavailable,
)
from goldcresthoist.table.items import (
    Key,
    condition_fields,
    decode_item,
    encode_item,
    encode_key,
    encode_value,
)

__all__ = ["TableClient"]

CALL_TIMEOUT_S = 2.0
PAGE_ITEMS = 1000
_TARGET = "DynamoDB_20120810."
# The service refuses these before it does anything.
_THROTTLED = frozenset(
    (
        "ProvisionedThroughputExceededException",
        "RequestLimitExceeded",
        "ThrottlingException",
    )
)
# Refused before any effect as well: the clock of this instance has jumped, or the
# credentials are being replaced.
_NOT_ADMITTED = frozenset(
    (
        "AccessDeniedException",
        "ExpiredTokenException",
        "InvalidSignatureException",
        "RequestExpired",
        "UnrecognizedClientException",
    )
)
_PROBE_KEY = Key("probe")
_CONDITION = "ConditionalCheckFailed"


class TableClient:
    """Reads and writes items of one table.

    Parameters
    ----------
    http : SignedHttp
    table_name : str
    """

    def __init__(self, http, table_name):
        self.http = http
        self.table_name = table_name

    @classmethod
    def from_settings(cls, settings):
        """Make a client from a daemon's settings."""
        http = SignedHttp.from_settings(
            settings, settings.table_url, "dynamodb", CallGate("table"), CALL_TIMEOUT_S
        )
        return cls(http, settings.table_name)

    async def close(self):
        """Close all connections."""
        await self.http.close()

    async def get(self, key):
        """Return the item under a key with its key attributes, or None.

        The read is strongly consistent.
        """
        request = {
            "TableName": self.table_name,
            "Key": encode_key(key),
            "ConsistentRead": True,
        }
        answer = await self._read("GetItem", request)
        return decode_item(answer["Item"]) if "Item" in answer else None

    async def put(self, put):
        """Write one item.

        Raises
        ------
        ConditionFailed, TableUnavailable
            The write had no effect.
        OutcomeUnknown
            The write has or may yet take effect.
        """
        await self._write("PutItem", self._put_fields(put))

    async def transact(self, puts):
        """Write several items, all or none. Raises as `put`."""
        actions = [{"Put": self._put_fields(put)} for put in puts]
        await self._write("TransactWriteItems", {"TransactItems": actions})

    async def delete(self, key, condition):
        """Delete an item if the condition holds. Raises as `put`."""
        request = {"TableName": self.table_name, "Key": encode_key(key)}
        await self._write("DeleteItem", request | condition_fields(condition))

    async def query(self, partition, prefix="", limit=100, after=""):
        """Return the first items of a partition in the order of their sort keys.

        Parameters
        ----------
        partition : str
        prefix : str
            Only sort keys that begin with this.
        limit : int
            Most items returned.
        after : str
            Only sort keys behind this one.
        """
        items = []
        start = {"pk": {"S": partition}, "sk": {"S": after}} if after else None
        while len(items) < limit:
            request = self._query_fields(partition, prefix, limit - len(items))
            if start:
                request["ExclusiveStartKey"] = start
            answer = await self._read("Query", request)
            items += map(decode_item, answer["Items"])
            start = answer.get("LastEvaluatedKey")
            if not start:
                break
        return items

    def _put_fields(self, put):
        fields = {"TableName": self.table_name, "Item": encode_item(put)}
        return fields | condition_fields(put.condition)

    def _query_fields(self, partition, prefix, count):
        expression = "#p = :p"
        names = {"#p": "pk"}
        values = {":p": encode_value(partition)}
        if prefix:
            expression += " AND begins_with(#s, :s)"
            names["#s"] = "sk"
            values[":s"] = encode_value(prefix)
        return {
            "TableName": self.table_name,
            "KeyConditionExpression": expression,
            "ExpressionAttributeNames": names,
            "ExpressionAttributeValues": values,
            "ConsistentRead": True,
            "Limit": min(count, PAGE_ITEMS),
        }

    async def _read(self, operation, request):
        try:
            return await self._call(operation, request)
        except (CallFailed, CallNotSent) as exc:
            raise TableUnavailable(f"{operation}: {exc}") from exc

    async def _write(self, operation, request):
        if self.http.gate.is_open:
            # A write that probes a service that is down would leave its outcome
            # unknown each time; a read tells as much.
            await self.get(_PROBE_KEY)
        try:
            await self._call(operation, request)
        except CallNotSent as exc:
            raise TableUnavailable(f"{operation}: {exc}") from exc
        except CallFailed as exc:
            raise OutcomeUnknown(f"{operation}: {exc}") from exc

    async def _call(self, operation, request):
        headers = {
            "Content-Type": "application/x-amz-json-1.0",
            "X-Amz-Target": _TARGET + operation,
        }
        body = json.dumps(request, separators=(",", ":")).encode()
        answer = await self.http.request("POST", "/", headers, body)
        if answer.status == 200:
            return _parse(answer.body)
        raise self._refusal(operation, answer)

    def _refusal(self, operation, answer):
        try:
            document = json.loads(answer.body)
        except ValueError:
            document = {}
        kind = str(document.get("__type", "")).rpartition("#")[2]
        message = document.get("message") or document.get("Message") or ""
        text = f"{operation}: status {answer.status} {kind} {message}".rstrip()
        if kind in _THROTTLED:
            self.http.gate.throttled()
            return TableUnavailable(text)
        if kind in _NOT_ADMITTED:
            return TableUnavailable(text)
        if kind == "ConditionalCheckFailedException":
            return ConditionFailed(text)
        if kind == "TransactionCanceledException":
            return _cancelled(document, text)
        if kind == "TransactionInProgressException":
            return OutcomeUnknown(text)
        return TableError(text)


def _parse(body):
    try:
        return json.loads(body)
    except ValueError as exc:
        raise CallFailed("answer is not JSON") from exc


def _cancelled(document, text):
    reasons = document.get("CancellationReasons") or []
    codes = {reason.get("Code") for reason in reasons}
    if _CONDITION in codes or _CONDITION in text:
        return ConditionFailed(text)
    # The remaining reasons are conflicts with other writes and throttling.
    return TableUnavailable(text)
