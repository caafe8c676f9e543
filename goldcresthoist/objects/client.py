"""Client of the object store by the S3 protocol, path style."""

import asyncio
from urllib.parse import quote
from xml.etree import ElementTree

import aiohttp

from goldcresthoist.access import CallFailed, CallGate, CallNotSent, SignedHttp
from goldcresthoist.objects.errors import (
    ObjectMissing,
    ObjectsError,
    ObjectsUnavailable,
)

__all__ = ["ObjectClient"]

CALL_TIMEOUT_S = 10.0
STREAM_CHUNK_BYTES = 64 * 1024
_NAMESPACE = "{http://s3.amazonaws.com/doc/2006-03-01/}"


class ObjectClient:
    """Reads and writes objects of one bucket.

    Parameters
    ----------
    http : SignedHttp
    bucket : str
    """

    def __init__(self, http, bucket):
        self.http = http
        self.bucket = bucket

    @classmethod
    def from_settings(cls, settings):
        """Make a client from a daemon's settings."""
        http = SignedHttp.from_settings(
            settings, settings.objects_url, "s3", CallGate("objects"), CALL_TIMEOUT_S
        )
        return cls(http, settings.bucket)

    async def close(self):
        """Close all connections."""
        await self.http.close()

    async def put(self, name, data):
        """Store an object. Repeating it with the same data does no harm."""
        headers = {"Content-Type": "application/octet-stream"}
        self._check(name, await self._call("PUT", self._path(name), headers, data))

    async def get(self, name):
        """Return the content of an object."""
        return self._check(name, await self._call("GET", self._path(name))).body

    async def stream(self, name):
        """Iterate over the content of an object, at most 64 KiB at a time."""
        try:
            async with self.http.open_stream("GET", self._path(name)) as response:
                self._check(name, response)
                async for chunk in self._chunks(response):
                    yield chunk
        except (CallFailed, CallNotSent, aiohttp.ClientError, TimeoutError) as exc:
            raise ObjectsUnavailable(f"{name}: {exc!r}") from exc

    async def delete(self, name):
        """Delete an object; it is no error if it is missing."""
        answer = await self._call("DELETE", self._path(name))
        if answer.status != 404:
            self._check(name, answer)

    async def list(self, prefix):
        """Return the names of all objects that begin with the prefix, sorted."""
        names = []
        token = ""
        while True:
            query = f"list-type=2&prefix={quote(prefix, safe='')}"
            if token:
                query = f"continuation-token={quote(token, safe='')}&{query}"
            answer = await self._call("GET", f"/{self.bucket}?{query}")
            page, token = _parse_list(self._check(prefix, answer).body)
            names += page
            if not token:
                return names

    async def _chunks(self, response):
        content = response.content
        while True:
            async with asyncio.timeout(self.http.timeout_s):
                chunk = await content.readany()
            if not chunk:
                return
            for start in range(0, len(chunk), STREAM_CHUNK_BYTES):
                yield chunk[start : start + STREAM_CHUNK_BYTES]

    def _path(self, name):
        return f"/{self.bucket}/{quote(name, safe='/-_.~')}"

    async def _call(self, method, path, headers=None, body=b""):
        try:
            return await self.http.request(method, path, headers, body)
        except (CallFailed, CallNotSent) as exc:
            raise ObjectsUnavailable(str(exc)) from exc

    def _check(self, name, answer):
        if answer.status in (200, 204):
            return answer
        if answer.status == 404:
            raise ObjectMissing(f"no object {name!r} in bucket {self.bucket!r}")
        if answer.status == 429:
            self.http.gate.throttled()
            raise ObjectsUnavailable(f"{name}: throttled")
        if answer.status == 403:
            # The clock has jumped, or the credentials are being replaced.
            raise ObjectsUnavailable(f"{name}: not admitted")
        raise ObjectsError(f"{name}: status {answer.status}")


def _parse_list(body):
    try:
        root = ElementTree.fromstring(body)
    except ElementTree.ParseError as exc:
        raise ObjectsUnavailable(f"list answer cannot be parsed: {exc}") from exc
    names = [key.text for key in root.iter(f"{_NAMESPACE}Key")]
    return names, root.findtext(f"{_NAMESPACE}NextContinuationToken") or ""
