"""Stand-in for the table service: the DynamoDB JSON protocol with items in memory."""

import json

from aiohttp import web

from goldcresthoist.tests.standins._expressions import check, key_condition
from goldcresthoist.tests.standins._server import FaultyServer, run

__all__ = ["TableStandIn"]

# Limits of DynamoDB: size of an item and of a page of query results, and number of
# actions in a transaction.
MAX_ITEM_BYTES = 400 * 1024
MAX_PAGE_BYTES = 1024 * 1024
MAX_ACTIONS = 100
_JSON = "application/x-amz-json-1.0"
_CONDITION_FAILED = "ConditionalCheckFailed"


class ServiceError(Exception):
    """An error response of the service."""

    def __init__(self, kind, message="", **fields):
        super().__init__(message)
        self.document = {"__type": f"com.amazonaws.dynamodb.v20120810#{kind}"}
        self.document |= {"message": message} | fields


class TableStandIn(FaultyServer):
    """Server with the items of all tables in a mapping by (table, pk, sk)."""

    def __init__(self):
        super().__init__()
        self.items = {}

    def operation_of(self, request):
        """Return the name of the requested operation."""
        return request.headers.get("X-Amz-Target", "").rpartition(".")[2]

    def is_write(self, operation):
        """Return whether an operation changes items."""
        return operation in ("PutItem", "DeleteItem", "TransactWriteItems")

    def throttled(self):
        """Return the response to a call over the provisioned rate."""
        kind = "ProvisionedThroughputExceededException"
        return _response({"__type": kind, "message": "throttled"}, 400)

    def expired(self):
        """Return the response to a call whose signature has expired."""
        kind = "InvalidSignatureException"
        return _response({"__type": kind, "message": "Signature expired"}, 400)

    def process(self, operation, request, body):
        """Run one operation atomically."""
        handlers = {
            "GetItem": self._get,
            "PutItem": self._put,
            "DeleteItem": self._delete,
            "TransactWriteItems": self._transact,
            "Query": self._query,
        }
        try:
            _check_signature(request)
            if operation not in handlers:
                raise ServiceError("UnknownOperationException", operation)
            return _response(handlers[operation](json.loads(body)), 200)
        except ServiceError as error:
            return _response(error.document, 400)
        except (ValueError, KeyError) as exc:
            document = {"__type": "ValidationException", "message": repr(exc)}
            return _response(document, 400)

    def _get(self, request):
        item = self.items.get(_key_of(request["TableName"], request["Key"]))
        return {} if item is None else {"Item": item}

    def _put(self, request):
        key, item = self._parse_put(request)
        self._check_condition(request, key)
        self.items[key] = item
        return {}

    def _delete(self, request):
        key = _key_of(request["TableName"], request["Key"])
        self._check_condition(request, key)
        self.items.pop(key, None)
        return {}

    def _transact(self, request):
        puts = [action["Put"] for action in request["TransactItems"]]
        writes = [self._parse_put(put) for put in puts]
        if not 0 < len({key for key, _ in writes}) == len(puts) <= MAX_ACTIONS:
            raise ServiceError(
                "ValidationException", "expected 1 to 100 actions on different items"
            )
        reasons = [
            {"Code": "None" if check(put, self.items.get(key)) else _CONDITION_FAILED}
            for put, (key, _) in zip(puts, writes)
        ]
        if any(reason["Code"] != "None" for reason in reasons):
            kind = "TransactionCanceledException"
            raise ServiceError(kind, "cancelled", CancellationReasons=reasons)
        self.items.update(writes)
        return {}

    def _query(self, request):
        """Return one page of the items whose keys the query matches, in key order."""
        partition, prefix = key_condition(request)
        table = request["TableName"]
        after = request.get("ExclusiveStartKey", {}).get("sk", {}).get("S", "")
        places = sorted(
            key
            for key in self.items
            if key[:2] == (table, partition)
            and key[2].startswith(prefix)
            and key[2] > after
        )
        return self._page(places, request.get("Limit", len(places) + 1))

    def _page(self, places, limit):
        """Return the first items of a query.

        ``places`` are the sorted (table, pk, sk) of all matching items. The page ends
        after ``limit`` items, or after the item with which it exceeds `MAX_PAGE_BYTES`.
        """
        items = []
        size = 0
        for key in places[:limit]:
            items.append(self.items[key])
            size += len(json.dumps(self.items[key]))
            if size > MAX_PAGE_BYTES:
                break
        answer = {"Items": items, "Count": len(items)}
        if items and len(items) < len(places):
            last = items[-1]
            answer["LastEvaluatedKey"] = {"pk": last["pk"], "sk": last["sk"]}
        return answer

    def _parse_put(self, request):
        item = request["Item"]
        # The JSON text has binary values in base64, which is 4/3 of their size.
        if len(json.dumps(item)) * 3 // 4 > MAX_ITEM_BYTES:
            raise ServiceError("ValidationException", "Item size has exceeded 400 KB")
        return _key_of(request["TableName"], item), item

    def _check_condition(self, request, key):
        if not check(request, self.items.get(key)):
            raise ServiceError(
                f"{_CONDITION_FAILED}Exception", "The conditional request failed"
            )


def _key_of(table, attributes):
    return table, attributes["pk"]["S"], attributes["sk"]["S"]


def _check_signature(request):
    signature = request.headers.get("Authorization", "")
    if not signature.startswith("AWS4-HMAC-SHA256 "):
        raise ServiceError("MissingAuthenticationTokenException", "not signed")
    if "/dynamodb/aws4_request" not in signature:
        raise ServiceError("IncompleteSignatureException", "scope is not dynamodb")


def _response(document, status):
    return web.Response(body=json.dumps(document), status=status, content_type=_JSON)


if __name__ == "__main__":
    run(TableStandIn, __doc__)
