"""The settings file that the platform writes for each daemon."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path

from goldcresthoist.platform.errors import InvalidNodeSettings

__all__ = ["SETTINGS_VARIABLE", "Bounds", "NodeSettings", "settings_path"]

SETTINGS_VARIABLE = "GOLDCRESTHOIST_NODE_FILE"


def settings_path():
    """Return the path of the settings file from the environment, or an empty string."""
    return os.environ.get(SETTINGS_VARIABLE, "")


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits by which the platform assesses the daemons. Times are in seconds."""

    contact_s: float = 3.0
    drain_s: float = 2.0
    # Time from the signal to stop until the daemon has ended.
    stop_grace_s: float = 6.0
    # Time until a changed configuration is in force.
    configuration_s: float = 2.0
    # In each window of ``retry_window_s``, all daemons together may retry requests to
    # one service up to this share of its requests plus the fixed ``retry_reserve``.
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_reserve: float = 50.0
    # In each window, the requests of a workspace that run may exceed those of its quota
    # by this share plus the fixed reserve.
    quota_window_s: float = 5.0
    quota_share: float = 0.1
    quota_reserve: float = 20.0
    # In each second, an upstream that warms up may get up to this multiple of the
    # requests that it bears, plus the fixed reserve.
    warm_up_share: float = 1.5
    warm_up_reserve: float = 8.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one daemon.

    The names that end in ``address`` have the form ``"ip:port"``.
    """

    instance: str
    # IP address at which the daemons of other instances reach this one.
    ip: str
    failure_domain: str
    region: str
    # Service of the local upstream, which runs on the same instance.
    service: str
    upstream_address: str
    # Listener for requests from callers and from the local upstream; the platform's
    # name for it is "outbound".
    caller_address: str
    readiness_address: str
    # Listener for the announcements of the local upstream; the platform's name for it
    # is "control".
    announce_address: str
    # Ports for traffic between daemons: the first two of the platform's
    # "inner_port_range".
    link_port: int
    gossip_port: int
    store_address: str
    link_mbit_s: float
    memory_mb: float
    bounds: Bounds
    bootstrap: bool = False

    @classmethod
    def from_environment(cls):
        """Read the settings file that the environment variable names.

        Raises
        ------
        InvalidNodeSettings
            When the variable is not set, or the file cannot be read or is not valid.
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
            When the file cannot be read or is not valid. The error for an invalid value
            names the file, the key, the value and what is expected.
        """
        try:
            content = Path(path).read_bytes().decode()
        except (OSError, UnicodeDecodeError) as exc:
            raise InvalidNodeSettings(f"{path}: cannot be read: {exc}") from exc
        return cls.from_text(content, path)

    @classmethod
    def from_text(cls, content, path="settings"):
        """Parse the text of a settings file; ``path`` is used in error messages.

        Raises
        ------
        InvalidNodeSettings
            When the text is not valid.
        """
        try:
            tables = tomllib.loads(content)
        except tomllib.TOMLDecodeError as exc:
            raise InvalidNodeSettings(f"{path}: not TOML: {exc}") from exc
        read = _SettingsReader(path, tables)
        first, last = read.ports("network.inner_port_range")
        if last <= first:
            raise read.error(
                "network.inner_port_range",
                [first, last],
                "a range of at least two ports",
            )
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
            memory_mb=read.number("self.limits.memory_mb", 200.0),
            bounds=bounds,
            bootstrap=read.value("self.bootstrap") is True,
        )


def _bounds(read):
    defaults = Bounds()
    name = "terms.bounds."
    return Bounds(
        contact_s=read.number(name + "contact_s", defaults.contact_s),
        drain_s=read.number(name + "drain_s", defaults.drain_s),
        stop_grace_s=read.number(name + "grace_s", defaults.stop_grace_s),
        configuration_s=read.number(name + "config_apply_s", defaults.configuration_s),
        retry_share=read.number(name + "retry_budget_ratio", defaults.retry_share),
        retry_window_s=read.number(name + "budget_window_s", defaults.retry_window_s),
        retry_reserve=read.number(name + "budget_slack", defaults.retry_reserve),
        quota_window_s=read.number(name + "quota_window_s", defaults.quota_window_s),
        quota_share=read.number(name + "quota_overage", defaults.quota_share),
        quota_reserve=read.number(name + "quota_slack", defaults.quota_reserve),
        warm_up_share=read.number(name + "cold_overage", defaults.warm_up_share),
        warm_up_reserve=read.number(name + "cold_slack", defaults.warm_up_reserve),
    )


class _SettingsReader:
    """Access to the values of nested tables by dotted name, with validation.

    `text`, `address` and `ports` raise `InvalidNodeSettings` when the value is missing
    or invalid. `number` returns its default when the value is missing.
    """

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
            raise self.error(name, value, "a non-empty string")
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
            raise self.error(name, value, "the first and the last port of a range")
        return value
