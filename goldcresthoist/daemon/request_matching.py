"""Matching of requests to services and rules, and request fingerprints."""

import hashlib
import re

from goldcresthoist.callers import BadRequest
from goldcresthoist.config.model import Read, Upload
from goldcresthoist.daemon.kinds import UPLOAD_METHODS

__all__ = ["find_rule", "fingerprint", "split_target"]

FINGERPRINT_BYTES = 16

_PARENT_SEGMENT = re.compile(r"/(?:\.|%2e){2}(?:/|$)", re.IGNORECASE)


def split_target(target):
    """Split a request target into the service and the target at its upstream.

    For example, ``/lookup/items?a=b`` is split into ``lookup`` and ``/items?a=b``.
    """
    end = target.find("/", 1)
    query = target.find("?", 1)
    if query != -1 and (end == -1 or query < end):
        return target[1:query], "/" + target[query:]
    if end == -1:
        return target[1:], "/"
    return target[1:end], target[end:]


def find_rule(configuration, method, target):
    """Return the rule that matches a request, or None.

    PATCH and HEAD requests also match the rule of an upload, and HEAD requests the GET
    rule of a read.

    Raises
    ------
    BadRequest
        When the path contains a ``..`` segment. The upstream could resolve such a path
        to work of another rule than the one that matches the prefix.
    """
    path = target.partition("?")[0]
    if (".." in path or "%" in path) and _PARENT_SEGMENT.search(path):
        raise BadRequest("the path must not contain a '..' segment")
    rule = configuration.rule_for(method, path)
    if rule is None and method in UPLOAD_METHODS:
        rule = _find_upload_rule(configuration, path)
    if rule is None and method == "HEAD":
        rule = configuration.rule_for("GET", path)
        if rule is not None and not isinstance(rule.kind, Read):
            rule = None
    return rule


def _find_upload_rule(configuration, path):
    for method in ("POST", "PUT"):
        rule = configuration.rule_for(method, path)
        if rule is not None and isinstance(rule.kind, Upload):
            return rule
    return None


def fingerprint(service, method, target, length, body):
    """Return the digest that identifies a request, as `FINGERPRINT_BYTES` bytes.

    It identifies crash suspects and detects that an idempotency key is used again for
    another request.

    Parameters
    ----------
    service, method, target : str
    length : int or None
        Length of the body in bytes, if it is known before the body is received.
    body : bytes
        The body or its first part; for an upload, its SHA-256 in hex. Requests that
        differ only beyond the given bytes have the same fingerprint.
    """
    identity = f"{service}\n{method}\n{target}\n{length}\n".encode() + body
    return hashlib.blake2b(identity, digest_size=FINGERPRINT_BYTES).digest()
