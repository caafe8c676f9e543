"""Metrics whose values are read from the components of a daemon."""

from collections import Counter

from goldcresthoist.clock import monotonic

__all__ = ["export_metrics"]


def export_metrics(daemon):
    """Register the metrics whose values the components of a `Daemon` hold."""
    counters = daemon.counters
    exchange = daemon.membership.exchange
    counters.gauge("in_flight", lambda: daemon.server.load_report().in_flight)
    counters.gauge("queued", lambda: daemon.server.load_report().queued)
    counters.gauge("ready", lambda: int(daemon.router.ready))
    counters.gauge(
        "members", lambda: _labelled(daemon.status.status().members, "state")
    )
    counters.gauge("store_up", lambda: _labelled(_stores_up(daemon), "store"))
    counters.gauge(
        "upstreams_ejected",
        lambda: _labelled(_ejected_upstreams(daemon), "service"),
    )
    counters.count_from("datagrams_dropped", lambda: exchange.dropped)
    counters.count_from(
        "gossip_bytes", lambda: _labelled(_gossip_bytes(exchange), "direction")
    )
    daemon.holder.subscribe(lambda _item: counters.add("configuration_versions"))


def _labelled(numbers, label):
    return [({label: name}, number) for name, number in numbers.items()]


def _stores_up(daemon):
    clients = {"table": daemon.table, "objects": daemon.objects}
    return {name: int(not item.http.gate.is_open) for name, item in clients.items()}


def _gossip_bytes(exchange):
    return {"sent": exchange.bytes_sent, "received": exchange.bytes_received}


def _ejected_upstreams(daemon):
    now = monotonic()
    return Counter(
        name
        for name, route in daemon.router.routes.items()
        for view in route.views
        if view.ejected_until > now
    )
