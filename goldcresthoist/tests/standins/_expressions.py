"""Evaluation of the expressions that the table client sends."""

import re

__all__ = ["check", "key_condition"]

_ABSENT = re.compile(r"attribute_not_exists\((?P<name>#\w+)\)$")
_EQUAL = re.compile(r"(?P<name>#\w+) = (?P<value>:\w+)$")
_BEGINS = re.compile(r"begins_with\((?P<name>#\w+), (?P<value>:\w+)\)$")


def check(request, item):
    """Return whether the condition of a write holds for the present item."""
    expression = request.get("ConditionExpression")
    if expression is None:
        return True
    return all(_holds(term, request, item) for term in expression.split(" AND "))


def _holds(term, request, item):
    names = request["ExpressionAttributeNames"]
    if match := _ABSENT.match(term):
        return item is None or names[match["name"]] not in item
    if match := _EQUAL.match(term):
        expected = request["ExpressionAttributeValues"][match["value"]]
        return item is not None and item.get(names[match["name"]]) == expected
    raise ValueError(f"condition {term!r} is not supported")


def key_condition(request):
    """Return the partition and the prefix of the sort key that a query names."""
    names = request["ExpressionAttributeNames"]
    values = request["ExpressionAttributeValues"]
    found = {"pk": None, "sk": ""}
    for term in request["KeyConditionExpression"].split(" AND "):
        match = _EQUAL.match(term) or _BEGINS.match(term)
        if match is None:
            raise ValueError(f"key condition {term!r} is not supported")
        found[names[match["name"]]] = values[match["value"]]["S"]
    if found["pk"] is None:
        raise ValueError("key condition names no partition")
    return found["pk"], found["sk"]
