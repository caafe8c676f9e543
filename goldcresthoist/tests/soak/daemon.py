"""Daemon of the soak test: connections to other daemons lead through fault proxies.

Besides its settings file it has the environment variable ``GOLDCRESTHOIST_SOAK``, which
is JSON with these fields:

``proxies``
    Address of the proxy, ``[ip, port]``, by the ``"ip:port"`` of another daemon.
``clock``
    File with the seconds by which the time of day is wrong.
``disabled``
    Name of a mechanism in `DISABLED_MECHANISMS` that the daemon does without, or "".
"""

import json
import os
import time
from pathlib import Path

from goldcresthoist.fleet import ConfigurationWatch, Directory, FleetChannel
from goldcresthoist.fleet.registration import Registration
from goldcresthoist.links import pool
from goldcresthoist.node.call_execution import CallExecution
from goldcresthoist.node.local_upstream import AnnouncementResult, LocalUpstream
from goldcresthoist.pauses import PauseDetector
from goldcresthoist.platform import StoreClient
from goldcresthoist.upstreams import UpstreamBroken

__all__ = ["DISABLED_MECHANISMS", "SETTINGS_VARIABLE", "prepare"]

SETTINGS_VARIABLE = "GOLDCRESTHOIST_SOAK"


class _ProxiedTransport:
    """Sends datagrams to the proxy of their destination."""

    def __init__(self, transport, proxies):
        self.transport = transport
        self.proxies = proxies

    def sendto(self, data, address):
        proxy = self.proxies.get(f"{address[0]}:{address[1]}", address)
        self.transport.sendto(data, tuple(proxy))

    def __getattr__(self, name):
        return getattr(self.transport, name)


def _use_proxies(proxies):
    open_link = pool.open_link

    async def open_proxied_link(host, port, *args):
        return await open_link(*proxies.get(f"{host}:{port}", (host, port)), *args)

    def connection_made(self, transport):
        self.transport = _ProxiedTransport(transport, proxies)

    pool.open_link = open_proxied_link
    FleetChannel.connection_made = connection_made


def _use_clock(path):
    read_clock = time.time

    def read_wrong_clock():
        try:
            return read_clock() + float(path.read_text())
        except (OSError, ValueError):
            return read_clock()

    time.time = read_wrong_clock


def _disable_departure_memory():
    async def record_departure(self, departed):
        pass

    Registration.record_departure = record_departure
    Directory.depart = lambda self, departed: None


def _disable_refusal_of_new_work():
    apply = LocalUpstream.apply_announcement

    def apply_announcement(self, announcement, now):
        result = apply(self, announcement, now)
        self.leaving = False
        self.departed.clear()
        if result is AnnouncementResult.DEPARTED:
            return AnnouncementResult.DRAINING
        return result

    LocalUpstream.apply_announcement = apply_announcement
    LocalUpstream.mark_departed = lambda self, *_: (0, 0)


def _disable_whole_responses():
    relay = CallExecution._relay_body

    async def relay_body(self, answer, is_success, limit):
        parts = []
        try:
            while data := await answer.body.read():
                parts.append(data)
        except UpstreamBroken:
            pass
        body = b"".join(parts)
        if not is_success:
            return await relay(self, answer, is_success, limit)
        headers = [item for item in answer.headers if item[0] != b"content-length"]
        headers.append((b"content-length", b"%d" % len(body)))
        load = self.server.load_report()
        if not self.call.done:
            self.call.reply(answer.status, tuple(headers), load, body, True)
        return True

    CallExecution._relay_body = relay_body


def _disable_order_of_versions():
    apply = ConfigurationWatch._apply

    def apply_any(self, *args):
        self.version = -1
        return apply(self, *args)

    ConfigurationWatch._apply = apply_any


def _disable_store_eras():
    StoreClient._read_era = lambda self, headers: self.era


def _disable_pause_detection():
    PauseDetector.input_age_s = lambda self: 0.0


DISABLED_MECHANISMS = {
    "departure-memory": _disable_departure_memory,
    "refusal-of-new-work": _disable_refusal_of_new_work,
    "whole-responses": _disable_whole_responses,
    "order-of-versions": _disable_order_of_versions,
    "store-eras": _disable_store_eras,
    "pause-detection": _disable_pause_detection,
}


def prepare():
    """Apply the settings in the environment to the modules of the daemon."""
    settings = json.loads(os.environ[SETTINGS_VARIABLE])
    _use_proxies(settings["proxies"])
    _use_clock(Path(settings["clock"]))
    if settings["disabled"]:
        DISABLED_MECHANISMS[settings["disabled"]]()
