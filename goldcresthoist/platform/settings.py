"""The settings file that the platform writes for a process."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path

from goldcresthoist.platform.errors import InvalidNodeSettings

__all__ = ["SETTINGS_VARIABLE", "Bounds", "NodeSettings", "settings_path"]

SETTINGS_VARIABLE = "GOLDCRESTHOIST_NODE_FILE"


def settings_path():
    """Return the path that the environment names, or an empty text."""
    return os.environ.get(SETTINGS_VARIABLE, "")


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the platform judges by. Times are in seconds."""

    contact_s: float = 3.0
    drain_s: float = 2.0
    stop_grace_s: float = 6.0
    configuration_s: float = 2.0
    # Retries that all daemons together may make of one service in ``retry_window_s``:
    # this share of its requests, and a fixed number besides.
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_reserve: float = 50.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What one daemon is told when it starts. Addresses are ``"ip:port"``."""

    instance: str
    # The address that the daemons of other instances reach.
    ip: str
    failure_domain: str
    region: str
    # The service of the upstream beside this daemon.
    service: str
    upstream_address: str
    # The platform calls it "outbound": callers and the own upstream send requests here.
    caller_address: str
    readiness_address: str
    # The platform calls it "control": the own upstream announces itself here.
    announce_address: str
    # Ports between daemons; the platform calls the range "inner_port_range".
    link_port: int
    gossip_port: int
    store_address: str
    link_mbit_s: float
    bounds: Bounds

    @classmethod
    def from_environment(cls):
        """Read the file that the environment names.

        Raises
        ------
        InvalidNodeSettings
            When the variable is not set or the file is not valid.
        """
        path = settings_path()
        if not path:
            raise InvalidNodeSettings(f"{SETTINGS_VARIABLE} is not set")
        return cls.from_file(path)

    @classmethod
    def from_file(cls, path):
        """Read a settings file.

        Raises
        ------
        InvalidNodeSettings
            Names the file, the key, the value and what is expected.
        """
        try:
            content = Path(path).read_bytes().decode()
        except (OSError, UnicodeDecodeError) as exc:
            raise InvalidNodeSettings(f"{path}: cannot be read: {exc}") from exc
        return cls.from_text(content, path)

    @classmethod
    def from_text(cls, content, path="settings"):
        """Read the text of a settings file."""
        try:
            tables = tomllib.loads(content)
        except tomllib.TOMLDecodeError as exc:
            raise InvalidNodeSettings(f"{path}: not TOML: {exc}") from exc
        read = _Reader(path, tables)
        first, last = read.ports("network.inner_port_range")
        if last <= first:
            raise read.error("network.inner_port_range", [first, last], "two ports")
        bounds = _bounds(read)
        return cls(
            instance=read.text("self.node_name"),
            ip=read.text("self.ip"),
            failure_domain=read.text("self.zone"),
            region=read.text("self.region"),
            service=read.text("self.service"),
            upstream_address=read.address("self.app_addr"),
            caller_address=read.address("network.listen.outbound"),
            readiness_address=read.address("network.listen.readiness_addr"),
            announce_address=read.address("network.listen.control"),
            link_port=first,
            gossip_port=first + 1,
            store_address=read.address("platform.platform.address"),
            link_mbit_s=read.number("self.limits.link_mbps", 1000.0),
            bounds=bounds,
        )


def _bounds(read):
    plain = Bounds()
    name = "terms.bounds."
    return Bounds(
        contact_s=read.number(name + "contact_s", plain.contact_s),
        drain_s=read.number(name + "drain_s", plain.drain_s),
        stop_grace_s=read.number(name + "grace_s", plain.stop_grace_s),
        configuration_s=read.number(name + "config_apply_s", plain.configuration_s),
        retry_share=read.number(name + "retry_budget_ratio", plain.retry_share),
        retry_window_s=read.number(name + "budget_window_s", plain.retry_window_s),
        retry_reserve=read.number(name + "budget_slack", plain.retry_reserve),
    )


class _Reader:
    """Checked access to nested tables by dotted names."""

    def __init__(self, path, tables):
        self.path = path
        self.tables = tables

    def error(self, name, value, expected):
        return InvalidNodeSettings(
            f"{self.path}: {name} is {value!r}, expected {expected}"
        )

    def value(self, name):
        value = self.tables
        for key in name.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        return value

    def text(self, name):
        value = self.value(name)
        if not isinstance(value, str) or not value:
            raise self.error(name, value, "a text")
        return value

    def address(self, name):
        value = self.text(name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise self.error(name, value, "ip:port")
        return value

    def number(self, name, default):
        value = self.value(name)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise self.error(name, value, "a number of 0 or more")
        return float(value)

    def ports(self, name):
        value = self.value(name)
        numbers = isinstance(value, list) and len(value) == 2
        if not numbers or not all(
            isinstance(port, int) and 0 < port < 65536 for port in value
        ):
            raise self.error(name, value, "a first and a last port")
        return value
