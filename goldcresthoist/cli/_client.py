"""HTTP client for the operator interface of a daemon."""

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
    """Sends requests to the operator address of one daemon.

    ``key`` authenticates requests that make changes; None if it is not known.
    """

    def __init__(self, address, key):
        self.address = address
        self.key = key

    @classmethod
    def from_flags(cls, settings, address):
        """Create a client from the values of ``--settings`` and ``--address``.

        The shared key is read from the settings file, and so is the address unless
        ``--address`` gives another one.
        """
        path = settings or os.environ.get(SETTINGS_VARIABLE)
        if path:
            loaded = Settings.from_file(path)
            key = operator_key(loaded.shared_key_bytes())
            return cls(_validated_address(address or loaded.operator_address), key)
        if address:
            return cls(_validated_address(address), None)
        raise UsageError(
            f"no daemon specified: give --settings FILE, set {SETTINGS_VARIABLE}, or "
            "give --address IP:PORT"
        )

    def get(self, target):
        """Send a GET request and return the body of the response as bytes."""
        return self._request("GET", target, b"", {})

    def get_json(self, target, type_=dict):
        """Send a GET request and return the decoded JSON of the response."""
        return self._decode(self.get(target), type_)

    def post(self, target, document, type_=dict):
        """Send a POST request that makes no change, without a MAC."""
        body = msgspec.json.encode(document)
        return self._decode(self._request("POST", target, body, {}), type_)

    def change(self, target, document, type_=dict):
        """Send a POST request that makes a change, authenticated with a MAC."""
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
        except NoResponse as exc:
            hint = "the change may have taken effect; check this before a retry"
            raise NoResponse(str(exc), [hint]) from exc

    def _request(self, method, target, body, headers):
        host, port = split_address(self.address)
        connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
        try:
            connection.request(method, target, body or None, headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as exc:
            raise NoResponse(
                f"{self.address}: no response from the daemon: "
                f"{type(exc).__name__} {exc}"
            ) from exc
        finally:
            connection.close()
        if response.status >= http.client.BAD_REQUEST:
            raise _remote_error(self.address, response.status, data)
        return data

    def _decode(self, data, type_):
        try:
            return msgspec.json.decode(data, type=type_)
        except msgspec.MsgspecError as exc:
            message = f"{self.address}: invalid response: {exc}"
            raise CommandFailed(message) from exc


class NoResponse(CommandFailed):
    """The daemon could not be reached or did not respond."""


class RemoteError(CommandFailed):
    """The daemon responded with an error; ``code`` is its error code."""

    def __init__(self, code, message, details=()):
        super().__init__(message, details)
        self.code = code


def _remote_error(address, status, data):
    try:
        error = msgspec.json.decode(data)
        code = error["code"]
        return RemoteError(code, f"{code}: {error['message']}", error["details"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return RemoteError("unknown", f"{address}: responded with HTTP status {status}")


def _validated_address(address):
    try:
        host, port = split_address(address)
        if not host or not 0 < port < 65536:
            raise ValueError(address)
    except ValueError as exc:
        raise InvalidSetting(f"address {address!r}: expected ip:port") from exc
    return address
