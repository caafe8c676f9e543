"""Client for the table service, which speaks the DynamoDB JSON protocol."""

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
MAX_ITEMS_PER_QUERY = 1000
_TARGET_PREFIX = "DynamoDB_20120810."
# The service returns these errors before it applies any part of the request.
_THROTTLING_ERRORS = frozenset(
    (
        "ProvisionedThroughputExceededException",
        "RequestLimitExceeded",
        "ThrottlingException",
    )
)
# The service returns these errors before it applies any part of the request. They are
# treated as an outage, because they occur when the clock of this instance has jumped
# or while the credentials are being rotated.
_AUTHENTICATION_ERRORS = frozenset(
    (
        "AccessDeniedException",
        "ExpiredTokenException",
        "InvalidSignatureException",
        "RequestExpired",
        "UnrecognizedClientException",
    )
)
_PROBE_KEY = Key("probe")
_CONDITION_FAILED_CODE = "ConditionalCheckFailed"


class TableClient:
    """Reads and writes the items of one table.

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
        """Create a client from the settings of a daemon."""
        http = SignedHttp.from_settings(
            settings, settings.table_url, "dynamodb", CallGate("table"), CALL_TIMEOUT_S
        )
        return cls(http, settings.table_name)

    async def close(self):
        """Close all connections."""
        await self.http.close()

    async def get(self, key):
        """Return the item with a key, including its key attributes, or None.

        The read is strongly consistent.

        Raises
        ------
        TableUnavailable
        """
        request = {
            "TableName": self.table_name,
            "Key": encode_key(key),
            "ConsistentRead": True,
        }
        answer = await self._read("GetItem", request)
        return decode_item(answer["Item"]) if "Item" in answer else None

    async def put(self, put):
        """Create or replace one item.

        Raises
        ------
        ConditionFailed, TableUnavailable
            The write has had no effect and will have none.
        OutcomeUnknown
            The write may have taken effect, or may still do so later.
        """
        await self._write("PutItem", self._put_fields(put))

    async def transact(self, puts):
        """Write several items in one transaction.

        Raises the same exceptions as `put`.
        """
        actions = [{"Put": self._put_fields(put)} for put in puts]
        await self._write("TransactWriteItems", {"TransactItems": actions})

    async def delete(self, key, condition):
        """Delete an item if the condition holds.

        Raises the same exceptions as `put`.
        """
        request = {"TableName": self.table_name, "Key": encode_key(key)}
        await self._write("DeleteItem", request | condition_fields(condition))

    async def query(self, partition, prefix="", limit=100, after=""):
        """Return the first items of a partition, ordered by sort key.

        Parameters
        ----------
        partition : str
        prefix : str
            Return only items whose sort key begins with this prefix.
        limit : int
            Maximum number of items to return.
        after : str
            Return only items whose sort key is greater than this one.

        Raises
        ------
        TableUnavailable
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
            "Limit": min(count, MAX_ITEMS_PER_QUERY),
        }

    async def _read(self, operation, request):
        try:
            return await self._call(operation, request)
        except (CallFailed, CallNotSent) as exc:
            raise TableUnavailable(f"{operation}: {exc}") from exc

    async def _write(self, operation, request):
        if self.http.gate.is_open:
            # While the circuit breaker is open, the next call probes the service. A
            # write that fails as a probe would have an unknown outcome, so the probe
            # is a read.
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
            "X-Amz-Target": _TARGET_PREFIX + operation,
        }
        body = json.dumps(request, separators=(",", ":")).encode()
        answer = await self.http.request("POST", "/", headers, body)
        if answer.status == 200:
            return _parse_json(answer.body)
        raise self._error_from_response(operation, answer)

    def _error_from_response(self, operation, answer):
        try:
            document = json.loads(answer.body)
        except ValueError:
            document = {}
        kind = str(document.get("__type", "")).rpartition("#")[2]
        message = document.get("message") or document.get("Message") or ""
        text = f"{operation}: status {answer.status} {kind} {message}".rstrip()
        if kind in _THROTTLING_ERRORS:
            self.http.gate.reduce_concurrency()
            return TableUnavailable(text)
        if kind in _AUTHENTICATION_ERRORS:
            return TableUnavailable(text)
        if kind == "ConditionalCheckFailedException":
            return ConditionFailed(text)
        if kind == "TransactionCanceledException":
            return _transaction_error(document, text)
        if kind == "TransactionInProgressException":
            return OutcomeUnknown(text)
        return TableError(text)


def _parse_json(body):
    try:
        return json.loads(body)
    except ValueError as exc:
        raise CallFailed("response body is not valid JSON") from exc


def _transaction_error(document, text):
    reasons = document.get("CancellationReasons") or []
    codes = {reason.get("Code") for reason in reasons}
    if _CONDITION_FAILED_CODE in codes or _CONDITION_FAILED_CODE in text:
        return ConditionFailed(text)
    # The other cancellation reasons are conflicts with other writes, and throttling.
    return TableUnavailable(text)
