"""What the entry daemon reads from the head of a caller's request."""

import hashlib
import re

from goldcresthoist.callers import BadRequest
from goldcresthoist.config.model import Read, Upload
from goldcresthoist.daemon.work_kinds import UPLOAD_METHODS

__all__ = ["find_rule", "fingerprint", "split_target"]

FINGERPRINT_BYTES = 16

_CLIMBING = re.compile(r"/(?:\.|%2e){2}(?:/|$)", re.IGNORECASE)


def split_target(target):
    """Return the service and the target at its upstream."""
    end = target.find("/", 1)
    query = target.find("?", 1)
    if query != -1 and (end == -1 or query < end):
        return target[1:query], "/" + target[query:]
    if end == -1:
        return target[1:], "/"
    return target[1:end], target[end:]


def find_rule(configuration, method, target):
    """Return the rule for a request, or None.

    Raises
    ------
    BadRequest
        When the path climbs, and so may mean other work than its prefix says.
    """
    path = target.partition("?")[0]
    if (".." in path or "%" in path) and _CLIMBING.search(path):
        raise BadRequest("the path must not contain a '..' segment")
    rule = configuration.rule_for(method, path)
    if rule is None and method in UPLOAD_METHODS:
        rule = _find_upload(configuration, path)
    if rule is None and method == "HEAD":
        rule = configuration.rule_for("GET", path)
        if rule is not None and not isinstance(rule.kind, Read):
            rule = None
    return rule


def _find_upload(configuration, path):
    for method in ("POST", "PUT"):
        rule = configuration.rule_for(method, path)
        if rule is not None and isinstance(rule.kind, Upload):
            return rule
    return None


def fingerprint(service, method, target, length, body):
    """Return the digest that names a request when it crashes an upstream."""
    named = f"{service}\n{method}\n{target}\n{length}\n".encode() + body
    return hashlib.blake2b(named, digest_size=FINGERPRINT_BYTES).digest()
