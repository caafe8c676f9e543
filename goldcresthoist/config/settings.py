"""Start-up settings of one daemon, read from a YAML file."""

import ipaddress
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from goldcresthoist.addresses import split_address
from goldcresthoist.config._yaml_documents import convert, load_yaml
from goldcresthoist.config.errors import InvalidSetting

__all__ = ["Settings", "split_address"]

MIN_SHARED_KEY_BYTES = 32

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]
PeerHint = Annotated[str, Meta(pattern=r"^[0-9.]+(/\d{1,2})?:\d{1,5}$")]
Url = Annotated[str, Meta(pattern=r"^https?://[^/]+$")]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
_ADDRESS_KEYS = (
    "caller_address",
    "link_address",
    "gossip_address",
    "control_address",
    "operator_address",
    "upstream_address",
)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Start-up settings of one daemon.

    Addresses have the form ``"ip:port"``. Times are in seconds. ``peer_hints`` are
    gossip addresses, or networks with a port, where other daemons may be reached.
    """

    instance: Name
    failure_domain: Name
    region: Name
    service: Name
    caller_address: Address
    link_address: Address
    gossip_address: Address
    control_address: Address
    operator_address: Address
    upstream_address: Address
    table_url: Url
    objects_url: Url
    shared_key: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]+$")]
    access_key: str
    secret_key: str
    bucket: str = "goldcresthoist"
    table_name: str = "goldcresthoist"
    platform_region: str = "local"
    peer_hints: tuple[PeerHint, ...] = ()
    log_level: Annotated[str, Meta(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    drain_limit_s: Seconds = 3600.0
    policy: Annotated[str, Meta(pattern=r"^[a-z0-9-]+$")] = "default"

    @classmethod
    def from_file(cls, path):
        """Read and validate settings from a YAML file.

        Raises
        ------
        InvalidSetting
            With one line that contains the file, the key, its value and what was
            expected. The values of secret keys are left out.
        """
        try:
            text = Path(path).read_text()
        except OSError as exc:
            raise InvalidSetting(f"{path}: cannot be read: {exc.strerror}") from exc
        except UnicodeDecodeError as exc:
            raise InvalidSetting(f"{path}: not UTF-8 text") from exc
        return cls.from_document(load_yaml(text, str(path), InvalidSetting), str(path))

    @classmethod
    def from_document(cls, document, source):
        """Validate a mapping of plain Python objects and convert it to settings.

        Raises as `from_file` does. ``source`` is the file name for error messages.
        """
        settings = convert(document, cls, source, InvalidSetting)
        for key in _ADDRESS_KEYS:
            _check_address(source, key, getattr(settings, key))
        _check_shared_key(source, settings.shared_key)
        return settings

    def shared_key_bytes(self):
        """Return the key with which daemons authenticate each other's messages."""
        return bytes.fromhex(self.shared_key)


def _check_address(source, key, address):
    host, port = split_address(address)
    try:
        ipaddress.ip_address(host)
    except ValueError as exc:
        raise InvalidSetting(
            f"{source}: key {key} = {address!r}: expected ip:port with an IP address"
        ) from exc
    if not 0 < port < 65536:
        raise InvalidSetting(
            f"{source}: key {key} = {address!r}: expected a port from 1 to 65535"
        )


def _check_shared_key(source, shared_key):
    if len(shared_key) % 2 or len(shared_key) < 2 * MIN_SHARED_KEY_BYTES:
        raise InvalidSetting(
            f"{source}: key shared_key has {len(shared_key)} hex digits: expected an "
            f"even number, at least {2 * MIN_SHARED_KEY_BYTES}"
        )
