"""Stand-in of the table service: DynamoDB JSON protocol, items in memory."""

import json

from aiohttp import web

from goldcresthoist.tests.standins._expressions import check, key_condition
from goldcresthoist.tests.standins._server import FaultyServer, run

__all__ = ["TableStandin"]

LARGEST_ITEM_BYTES = 400 * 1024
LARGEST_PAGE_BYTES = 1024 * 1024
MOST_ACTIONS = 100
_JSON = "application/x-amz-json-1.0"
_FAILED = "ConditionalCheckFailed"


class Refusal(Exception):
    """An error answer of the service."""

    def __init__(self, kind, message="", **more):
        super().__init__(message)
        self.document = {"__type": f"com.amazonaws.dynamodb.v20120810#{kind}"}
        self.document |= {"message": message} | more


class TableStandin(FaultyServer):
    """Keeps the items of all tables in a mapping by (table, pk, sk)."""

    def __init__(self):
        super().__init__()
        self.items = {}

    def operation_of(self, request):
        """Return the name of the operation that a request asks for."""
        return request.headers.get("X-Amz-Target", "").rpartition(".")[2]

    def is_write(self, operation):
        """Return whether an operation changes items."""
        return operation in ("PutItem", "DeleteItem", "TransactWriteItems")

    def throttled(self):
        """Return the answer to a call over the provisioned rate."""
        kind = "ProvisionedThroughputExceededException"
        return _answer({"__type": kind, "message": "throttled"}, 400)

    def expired(self):
        """Return the answer to a call signed at another time."""
        kind = "InvalidSignatureException"
        return _answer({"__type": kind, "message": "Signature expired"}, 400)

    def process(self, operation, request, body):
        """Run one operation; no other runs in between."""
        handlers = {
            "GetItem": self._get,
            "PutItem": self._put,
            "DeleteItem": self._delete,
            "TransactWriteItems": self._transact,
            "Query": self._query,
        }
        try:
            _check_signed(request)
            if operation not in handlers:
                raise Refusal("UnknownOperationException", operation)
            return _answer(handlers[operation](json.loads(body)), 200)
        except Refusal as refusal:
            return _answer(refusal.document, 400)
        except (ValueError, KeyError) as exc:
            document = {"__type": "ValidationException", "message": repr(exc)}
            return _answer(document, 400)

    def _get(self, request):
        item = self.items.get(_place(request["TableName"], request["Key"]))
        return {} if item is None else {"Item": item}

    def _put(self, request):
        place, item = self._prepare(request)
        self._require(request, place)
        self.items[place] = item
        return {}

    def _delete(self, request):
        place = _place(request["TableName"], request["Key"])
        self._require(request, place)
        self.items.pop(place, None)
        return {}

    def _transact(self, request):
        puts = [action["Put"] for action in request["TransactItems"]]
        writes = [self._prepare(put) for put in puts]
        if not 0 < len({place for place, _ in writes}) == len(puts) <= MOST_ACTIONS:
            raise Refusal("ValidationException", "places must differ, 1 to 100")
        reasons = [
            {"Code": "None" if check(put, self.items.get(place)) else _FAILED}
            for put, (place, _) in zip(puts, writes)
        ]
        if any(reason["Code"] != "None" for reason in reasons):
            kind = "TransactionCanceledException"
            raise Refusal(kind, "cancelled", CancellationReasons=reasons)
        self.items.update(writes)
        return {}

    def _query(self, request):
        partition, prefix = key_condition(request)
        table = request["TableName"]
        after = request.get("ExclusiveStartKey", {}).get("sk", {}).get("S", "")
        places = sorted(
            place
            for place in self.items
            if place[:2] == (table, partition)
            and place[2].startswith(prefix)
            and place[2] > after
        )
        return self._page(places, request.get("Limit", len(places) + 1))

    def _page(self, places, limit):
        found = []
        size = 0
        for place in places[:limit]:
            found.append(self.items[place])
            size += len(json.dumps(self.items[place]))
            if size > LARGEST_PAGE_BYTES:
                break
        answer = {"Items": found, "Count": len(found)}
        if found and len(found) < len(places):
            last = found[-1]
            answer["LastEvaluatedKey"] = {"pk": last["pk"], "sk": last["sk"]}
        return answer

    def _prepare(self, request):
        item = request["Item"]
        if len(json.dumps(item)) * 3 // 4 > LARGEST_ITEM_BYTES:
            raise Refusal("ValidationException", "Item size has exceeded 400 KB")
        return _place(request["TableName"], item), item

    def _require(self, request, place):
        if not check(request, self.items.get(place)):
            raise Refusal(f"{_FAILED}Exception", "The conditional request failed")


def _place(table, attributes):
    return table, attributes["pk"]["S"], attributes["sk"]["S"]


def _check_signed(request):
    signature = request.headers.get("Authorization", "")
    if not signature.startswith("AWS4-HMAC-SHA256 "):
        raise Refusal("MissingAuthenticationTokenException", "not signed")
    if "/dynamodb/aws4_request" not in signature:
        raise Refusal("IncompleteSignatureException", "scope is not dynamodb")


def _answer(document, status):
    return web.Response(body=json.dumps(document), status=status, content_type=_JSON)


if __name__ == "__main__":
    run(TableStandin, __doc__)
