"""Items, keys and conditions, and their form in the DynamoDB JSON protocol."""

import base64
from dataclasses import dataclass

from goldcresthoist.table.errors import TableError

__all__ = [
    "Absent",
    "Always",
    "Condition",
    "Equals",
    "Key",
    "Put",
    "condition_fields",
    "decode_item",
    "encode_item",
    "encode_key",
    "encode_value",
]

PARTITION = "pk"
SORT = "sk"


@dataclass(frozen=True, slots=True)
class Key:
    """Primary key of an item."""

    partition: str
    sort: str = "-"


@dataclass(frozen=True, slots=True)
class Always:
    """The write takes effect in any case."""


@dataclass(frozen=True, slots=True)
class Absent:
    """The write takes effect only if there is no item under the key."""


@dataclass(frozen=True, slots=True)
class Equals:
    """The write takes effect only if the attribute of the item has this value."""

    attribute: str
    value: str | int | bytes


Condition = Always | Absent | Equals


@dataclass(frozen=True, slots=True)
class Put:
    """Write of a whole item; `item` holds its attributes without the key."""

    key: Key
    item: dict
    condition: Condition = Always()


def encode_value(value):
    """Return a value as a typed attribute, e.g. ``{"S": "text"}``."""
    match value:
        case str():
            return {"S": value}
        case int():
            return {"N": str(int(value))}
        case bytes() | bytearray():
            return {"B": base64.b64encode(value).decode()}
    raise TableError(f"value of type {type(value).__name__}: expected str, int, bytes")


def decode_value(attribute):
    """Return the value of a typed attribute."""
    [(kind, value)] = attribute.items()
    match kind:
        case "S":
            return value
        case "N":
            return int(value)
        case "B":
            return base64.b64decode(value)
    raise TableError(f"attribute of type {kind!r}: expected S, N or B")


def encode_key(key):
    """Return a key as attributes."""
    return {PARTITION: {"S": key.partition}, SORT: {"S": key.sort}}


def encode_item(put):
    """Return the item of a write, key included, as attributes."""
    fields = {name: encode_value(value) for name, value in put.item.items()}
    return fields | encode_key(put.key)


def decode_item(attributes):
    """Return an item as a mapping of plain values, key included."""
    return {name: decode_value(value) for name, value in attributes.items()}


def condition_fields(condition):
    """Return the request fields that state a condition."""
    match condition:
        case Always():
            return {}
        case Absent():
            return {
                "ConditionExpression": "attribute_not_exists(#a)",
                "ExpressionAttributeNames": {"#a": PARTITION},
            }
        case Equals(attribute, value):
            return {
                "ConditionExpression": "#a = :v",
                "ExpressionAttributeNames": {"#a": attribute},
                "ExpressionAttributeValues": {":v": encode_value(value)},
            }
    raise TableError(f"unknown condition {condition!r}")
