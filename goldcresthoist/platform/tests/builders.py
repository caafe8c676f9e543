"""Builders of the operator's configuration."""

import copy

import msgspec

__all__ = ["encode_changed", "make_document"]


def make_document():
    """Return a configuration of version 3 without findings."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "view",
                "host": "Bank.example",
                "prefix": "/view/",
                "kind": "idempotent",
                "timeout_s": 1.5,
                "aim_s": 0.4,
                "weighted_services": [
                    {"service": "accounts", "weight": 9},
                    {"service": "records", "weight": 1},
                ],
            },
            {
                "name": "profile",
                "host": "bank.example",
                "prefix": "/profile/",
                "kind": "non_idempotent",
                "timeout_s": 0.4,
                "service": "records",
                "public": True,
            },
        ],
        "services": [
            {"name": "accounts", "health_path": "/health"},
            {"name": "records", "cold_start_s": 3.0, "cold_per_s": 7.5},
        ],
        "limits": {"max_body_bytes": 1000},
        "tenants": [
            {"name": "a", "api_keys": ["secret-1"], "rate_per_s": 5, "burst": 5},
            {"name": "b", "api_keys": ["secret-2", "secret-3"]},
        ],
    }


def encode_changed(*changes):
    """Return `make_document` as JSON with changes.

    Each one is the path of a value, as keys and indexes, followed by the new value.
    ``...`` as the new value removes the old one.
    """
    document = make_document()
    for *path, name, value in copy.deepcopy(changes):
        item = document
        for step in path:
            item = item[step]
        if value is ...:
            del item[name]
        else:
            item[name] = value
    return msgspec.json.encode(document)
