"""Evaluates the DynamoDB expressions that the table client sends."""

import re

__all__ = ["check", "key_condition"]

_ATTRIBUTE_ABSENT = re.compile(r"attribute_not_exists\((?P<name>#\w+)\)$")
_ATTRIBUTE_EQUAL = re.compile(r"(?P<name>#\w+) = (?P<value>:\w+)$")
_BEGINS_WITH = re.compile(r"begins_with\((?P<name>#\w+), (?P<value>:\w+)\)$")


def check(request, item):
    """Return whether the condition of a write holds.

    Parameters
    ----------
    request : dict
        The write; it has no ``ConditionExpression`` if it is unconditional.
    item : dict or None
        The stored item, in the attribute format of DynamoDB.

    Raises
    ------
    ValueError
        If the expression is of a kind that the table client does not send.
    """
    expression = request.get("ConditionExpression")
    if expression is None:
        return True
    return all(_holds(term, request, item) for term in expression.split(" AND "))


def _holds(term, request, item):
    names = request["ExpressionAttributeNames"]
    if match := _ATTRIBUTE_ABSENT.match(term):
        return item is None or names[match["name"]] not in item
    if match := _ATTRIBUTE_EQUAL.match(term):
        expected = request["ExpressionAttributeValues"][match["value"]]
        return item is not None and item.get(names[match["name"]]) == expected
    raise ValueError(f"condition {term!r} is not supported")


def key_condition(request):
    """Return the partition and the prefix of the sort key of a query.

    Raises
    ------
    ValueError
        If the expression is of a kind that the table client does not send.
    """
    names = request["ExpressionAttributeNames"]
    values = request["ExpressionAttributeValues"]
    found = {"pk": None, "sk": ""}
    for term in request["KeyConditionExpression"].split(" AND "):
        match = _ATTRIBUTE_EQUAL.match(term) or _BEGINS_WITH.match(term)
        if match is None:
            raise ValueError(f"key condition {term!r} is not supported")
        found[names[match["name"]]] = values[match["value"]]["S"]
    if found["pk"] is None:
        raise ValueError("key condition does not name a partition")
    return found["pk"], found["sk"]
