"""HTTP client of the pages for operators."""

import http.client
import os

import msgspec

from goldcresthoist.cli.errors import CommandFailed, UsageError
from goldcresthoist.config import InvalidSetting, Settings, split_address
from goldcresthoist.operators.authentication import (
    CHALLENGE_HEADER,
    MAC_HEADER,
    operator_key,
    request_mac,
)

SETTINGS_VARIABLE = "GOLDCRESTHOIST_SETTINGS"
TIMEOUT_S = 60


class OperatorClient:
    """Calls the operator address of one daemon."""

    def __init__(self, address, key):
        self.address = address
        self.key = key

    @classmethod
    def from_flags(cls, settings, address):
        """Make a client from ``--settings`` and ``--address``.

        The settings file gives the shared key, and the address unless ``--address``
        names another daemon.
        """
        path = settings or os.environ.get(SETTINGS_VARIABLE)
        if path:
            loaded = Settings.from_file(path)
            key = operator_key(loaded.shared_key_bytes())
            return cls(_checked(address or loaded.operator_address), key)
        if address:
            return cls(_checked(address), None)
        raise UsageError(
            f"no daemon named: give --settings FILE, set {SETTINGS_VARIABLE}, or give "
            "--address IP:PORT"
        )

    def get(self, target):
        """Return the body of a page as bytes."""
        return self._request("GET", target, b"", {})

    def get_json(self, target, type_=dict):
        """Return the decoded JSON of a page."""
        return self._decode(self.get(target), type_)

    def post(self, target, document, type_=dict):
        """Send a request that changes nothing."""
        body = msgspec.json.encode(document)
        return self._decode(self._request("POST", target, body, {}), type_)

    def change(self, target, document, type_=dict):
        """Send a request that changes something, with its MAC."""
        if self.key is None:
            raise UsageError(
                "this command needs the shared key: give --settings FILE or set "
                f"{SETTINGS_VARIABLE}"
            )
        body = msgspec.json.encode(document)
        challenge = self.get_json("/challenge")["challenge"]
        mac = request_mac(self.key, "POST", target, challenge, body)
        headers = {CHALLENGE_HEADER: challenge, MAC_HEADER: mac}
        try:
            return self._decode(self._request("POST", target, body, headers), type_)
        except NoAnswer as exc:
            hint = "the change may have taken effect; look before you repeat it"
            raise NoAnswer(str(exc), [hint]) from exc

    def _request(self, method, target, body, headers):
        host, port = split_address(self.address)
        connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
        try:
            connection.request(method, target, body or None, headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as exc:
            raise NoAnswer(
                f"{self.address}: no answer from the daemon: {type(exc).__name__} {exc}"
            ) from exc
        finally:
            connection.close()
        if response.status >= http.client.BAD_REQUEST:
            raise _failure(self.address, response.status, data)
        return data

    def _decode(self, data, type_):
        try:
            return msgspec.json.decode(data, type=type_)
        except msgspec.MsgspecError as exc:
            message = f"{self.address}: answer not understood: {exc}"
            raise CommandFailed(message) from exc


class NoAnswer(CommandFailed):
    """The daemon could not be reached or did not answer."""


class RemoteFailure(CommandFailed):
    """The daemon answered with an error. ``code`` names it."""

    def __init__(self, code, message, details=()):
        super().__init__(message, details)
        self.code = code


def _failure(address, status, data):
    try:
        error = msgspec.json.decode(data)
        code = error["code"]
        return RemoteFailure(code, f"{code}: {error['message']}", error["details"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return RemoteFailure("unknown", f"{address}: answered with status {status}")


def _checked(address):
    try:
        host, port = split_address(address)
        if not host or not 0 < port < 65536:
            raise ValueError(address)
    except ValueError as exc:
        raise InvalidSetting(f"address {address!r}: expected ip:port") from exc
    return address
