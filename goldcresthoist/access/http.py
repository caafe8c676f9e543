"""HTTP client that signs requests with SigV4 and limits them with a `CallGate`."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import yarl
from botocore.auth import S3SigV4Auth, SigV4Auth
from botocore.awsrequest import AWSRequest
from botocore.credentials import Credentials

from goldcresthoist.access.errors import CallFailed, CallNotSent

__all__ = ["HttpResponse", "SignedHttp"]

CONNECT_TIMEOUT_S = 1.0
# The signature covers a hash of the body. Larger bodies are hashed in a thread so that
# they do not block the event loop.
MAX_INLINE_BODY_BYTES = 256 * 1024
# Limit on the body of a response that is returned whole. Pages of rows have at most
# 1 MB, and larger objects are read as streams.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_SIGNERS = {"s3": S3SigV4Auth}
# Errors that aiohttp raises before any byte of the request is sent.
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
# Errors after which the service may have received the request.
_EXCHANGE_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete HTTP response with its body."""

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
        Time limit of one call in seconds, including its wait in the gate.
    """

    @classmethod
    def from_settings(cls, settings, url, service, gate, timeout_s):
        """Create a client for one service of the platform.

        Parameters
        ----------
        settings : Settings
            Region and access keys of a daemon.
        url, service : str
            Base URL of the service, and its name in the scope of signatures.
        gate : CallGate
        timeout_s : float
            Time limit of one call, in seconds.
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
        """Send one request and return the complete `HttpResponse`.

        Raises
        ------
        CallNotSent
            If the service has certainly not received the request.
        CallFailed
            If the service may have received it: the connection was reset, the time
            limit passed, or the status is 500 or above.
        """
        deadline = asyncio.get_running_loop().time() + self.timeout_s
        async with self.gate.admit(deadline):
            with _translate_errors(method, path):
                async with asyncio.timeout_at(deadline):
                    return await self._exchange(method, path, headers, body)

    @asynccontextmanager
    async def open_stream(self, method, path, headers=None):
        """Send one request and yield the `aiohttp.ClientResponse` with its body unread.

        The time limit and the gate cover the request up to the response headers, not
        the reading of the body. Raises the same errors as `request`.
        """
        deadline = asyncio.get_running_loop().time() + self.timeout_s
        async with self.gate.admit(deadline):
            with _translate_errors(method, path):
                async with asyncio.timeout_at(deadline):
                    response = await self._send(method, path, headers, b"")
        async with response:
            yield response

    async def _exchange(self, method, path, headers, body):
        response = await self._send(method, path, headers, body)
        async with response:
            parts = []
            size = 0
            async for data in response.content.iter_any():
                parts.append(data)
                size += len(data)
                if size > MAX_RESPONSE_BYTES:
                    response.close()
                    limit = MAX_RESPONSE_BYTES
                    raise CallFailed(f"{method} {path}: more than {limit} bytes")
            return HttpResponse(
                response.status, dict(response.headers), b"".join(parts)
            )

    async def _send(self, method, path, headers, body):
        request = AWSRequest(method, self.url + path, headers, body or None)
        if len(body) > MAX_INLINE_BODY_BYTES:
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


class _translate_errors:
    """Context manager that converts aiohttp errors to those of this package."""

    def __init__(self, method, path):
        self.request_line = f"{method} {path}"

    def __enter__(self):
        return self

    def __exit__(self, kind, exc, traceback):
        if isinstance(exc, _CONNECT_ERRORS):
            raise CallNotSent(f"{self.request_line}: cannot connect: {exc}") from exc
        if isinstance(exc, _EXCHANGE_ERRORS):
            raise CallFailed(f"{self.request_line}: {kind.__name__}: {exc}") from exc
        return False
