"""HTTP calls signed with SigV4 through a gate."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import yarl
from botocore.auth import S3SigV4Auth, SigV4Auth
from botocore.awsrequest import AWSRequest
from botocore.credentials import Credentials

from goldcresthoist.access.errors import CallFailed, CallNotSent

__all__ = ["HttpAnswer", "SignedHttp"]

CONNECT_TIMEOUT_S = 1.0
# Hashing a larger body for the signature would hold up the event loop.
LONGEST_INLINE_BODY_BYTES = 256 * 1024
_SIGNERS = {"s3": S3SigV4Auth}
# Raised by aiohttp before any byte of the request is sent.
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_FAILED = (aiohttp.ClientError, TimeoutError, OSError)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer of a service."""

    status: int
    headers: dict
    body: bytes


class SignedHttp:
    """Sends signed requests to one service.

    Parameters
    ----------
    url : str
        Scheme and authority, e.g. ``"http://10.0.0.1:8000"``.
    service, region : str
        Scope of the signature, e.g. ``"dynamodb"`` and ``"local"``.
    access_key, secret_key : str
    gate : CallGate
    timeout_s : float
        Longest time of one call, in seconds.
    """

    @classmethod
    def from_settings(cls, settings, url, service, gate, timeout_s):
        """Make the connection to one service of the platform.

        Parameters
        ----------
        settings : Settings
            Region and access keys of a daemon.
        url, service : str
            Where the service is, and its name in signatures.
        gate : CallGate
        timeout_s : float
            Time for one call, in seconds.
        """
        return cls(
            url=url,
            service=service,
            region=settings.platform_region,
            access_key=settings.access_key,
            secret_key=settings.secret_key,
            gate=gate,
            timeout_s=timeout_s,
        )

    def __init__(self, url, service, region, access_key, secret_key, gate, timeout_s):
        self.url = url.rstrip("/")
        self.gate = gate
        self.timeout_s = timeout_s
        credentials = Credentials(access_key, secret_key)
        signer = _SIGNERS.get(service, SigV4Auth)
        self.signer = signer(credentials, service, region)
        self.session = None

    async def close(self):
        """Close all connections."""
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def request(self, method, path, headers=None, body=b""):
        """Send one request and read its complete answer.

        Raises
        ------
        CallNotSent
            If the service certainly did not see the request.
        CallFailed
            If it may have seen it: reset, timeout or a status of 500 and above.
        """
        deadline = asyncio.get_running_loop().time() + self.timeout_s
        async with self.gate.admit(deadline):
            with _translated(method, path):
                async with asyncio.timeout_at(deadline):
                    return await self._exchange(method, path, headers, body)

    @asynccontextmanager
    async def open_stream(self, method, path, headers=None):
        """Send one request and yield the aiohttp response, body unread."""
        deadline = asyncio.get_running_loop().time() + self.timeout_s
        async with self.gate.admit(deadline):
            with _translated(method, path):
                async with asyncio.timeout_at(deadline):
                    response = await self._send(method, path, headers, b"")
        async with response:
            yield response

    async def _exchange(self, method, path, headers, body):
        response = await self._send(method, path, headers, body)
        async with response:
            content = await response.read()
            return HttpAnswer(response.status, dict(response.headers), content)

    async def _send(self, method, path, headers, body):
        request = AWSRequest(method, self.url + path, headers, body or None)
        if len(body) > LONGEST_INLINE_BODY_BYTES:
            await asyncio.to_thread(self.signer.add_auth, request)
        else:
            self.signer.add_auth(request)
        response = await self._session().request(
            method,
            yarl.URL(request.url, encoded=True),
            headers=dict(request.headers.items()),
            data=body or None,
        )
        if response.status >= 500:
            status = response.status
            response.release()
            raise CallFailed(f"{method} {path}: status {status}")
        return response

    def _session(self):
        if self.session is None:
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
            connector = aiohttp.TCPConnector(limit=0)
            self.session = aiohttp.ClientSession(
                timeout=timeout,
                connector=connector,
                auto_decompress=False,
                skip_auto_headers=("Accept-Encoding",),
            )
        return self.session


class _translated:
    """Translates errors of aiohttp to the errors of this package."""

    def __init__(self, method, path):
        self.what = f"{method} {path}"

    def __enter__(self):
        return self

    def __exit__(self, kind, exc, traceback):
        if isinstance(exc, _NOT_SENT):
            raise CallNotSent(f"{self.what}: no connection: {exc}") from exc
        if isinstance(exc, _FAILED):
            raise CallFailed(f"{self.what}: {kind.__name__}: {exc}") from exc
        return False
