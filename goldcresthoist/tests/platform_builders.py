"""Builders of settings and platform clients for tests."""

from goldcresthoist.access import CallGate, GateLimits, SignedHttp
from goldcresthoist.config import Settings
from goldcresthoist.objects import ObjectClient
from goldcresthoist.table import TableClient

__all__ = ["make_object_client", "make_settings", "make_table_client"]


def make_settings(**overrides):
    """Return valid settings of a daemon, with ``overrides`` in place of defaults."""
    address = "127.0.0.1:9"
    document = {
        "instance": "daemon-1",
        "failure_domain": "domain-1",
        "region": "region-1",
        "service": "ledger",
        "caller_address": address,
        "link_address": address,
        "gossip_address": address,
        "control_address": address,
        "operator_address": address,
        "upstream_address": address,
        "table_url": "http://127.0.0.1:9",
        "objects_url": "http://127.0.0.1:9",
        "shared_key": "ab" * 32,
        "access_key": "test",
        "secret_key": "test",
    }
    return Settings.from_document(document | overrides, "test settings")


def make_http(url, service, timeout_s, limits=None, rng=None):
    """Return an HTTP client that signs its requests to a stand-in.

    Parameters
    ----------
    url : str
    service : str
        Name of the service in the scope of the signature.
    timeout_s : float
        Timeout in seconds.
    limits : GateLimits, optional
        Limits of the calls to the service.
    rng : random.Random, optional
        Source of the jitter of the gate's probe delays.
    """
    gate = CallGate(service, limits or GateLimits(), rng)
    return SignedHttp(url, service, "local", "test", "test", gate, timeout_s)


def make_table_client(standin, timeout_s=30.0, **gate_options):
    """Return a client for a table stand-in; for the options see `make_http`."""
    return TableClient(
        make_http(standin.url, "dynamodb", timeout_s, **gate_options), "test"
    )


def make_object_client(standin, timeout_s=30.0, **gate_options):
    """Return a client for an object store stand-in; for the options see `make_http`."""
    return ObjectClient(make_http(standin.url, "s3", timeout_s, **gate_options), "test")
