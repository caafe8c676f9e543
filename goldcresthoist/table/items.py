"""Items, keys and conditions, and their encoding in the DynamoDB JSON protocol."""

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

PARTITION_ATTRIBUTE = "pk"
SORT_ATTRIBUTE = "sk"


@dataclass(frozen=True, slots=True)
class Key:
    """Primary key of an item."""

    partition: str
    sort: str = "-"


@dataclass(frozen=True, slots=True)
class Always:
    """The write is unconditional."""


@dataclass(frozen=True, slots=True)
class Absent:
    """The write takes effect only if no item with the key exists."""


@dataclass(frozen=True, slots=True)
class Equals:
    """The write takes effect only if the stored item has this attribute value."""

    attribute: str
    value: str | int | bytes


Condition = Always | Absent | Equals


@dataclass(frozen=True, slots=True)
class Put:
    """Creates or replaces a whole item.

    `item` maps attribute names to values and does not contain the key attributes.
    """

    key: Key
    item: dict
    condition: Condition = Always()


def encode_value(value):
    """Encode a value as a typed attribute, e.g. ``{"S": "text"}``."""
    match value:
        case str():
            return {"S": value}
        case int():
            return {"N": str(int(value))}
        case bytes() | bytearray():
            return {"B": base64.b64encode(value).decode()}
    raise TableError(f"value of type {type(value).__name__}: expected str, int, bytes")


def decode_value(attribute):
    """Decode a typed attribute."""
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
    """Encode a key as typed attributes."""
    return {PARTITION_ATTRIBUTE: {"S": key.partition}, SORT_ATTRIBUTE: {"S": key.sort}}


def encode_item(put):
    """Encode the item of a `Put`, including its key, as typed attributes."""
    fields = {name: encode_value(value) for name, value in put.item.items()}
    return fields | encode_key(put.key)


def decode_item(attributes):
    """Decode the typed attributes of an item, including its key."""
    return {name: decode_value(value) for name, value in attributes.items()}


def condition_fields(condition):
    """Return the request fields that express a condition."""
    match condition:
        case Always():
            return {}
        case Absent():
            return {
                "ConditionExpression": "attribute_not_exists(#a)",
                "ExpressionAttributeNames": {"#a": PARTITION_ATTRIBUTE},
            }
        case Equals(attribute, value):
            return {
                "ConditionExpression": "#a = :v",
                "ExpressionAttributeNames": {"#a": attribute},
                "ExpressionAttributeValues": {":v": encode_value(value)},
            }
    raise TableError(f"unknown condition {condition!r}")
