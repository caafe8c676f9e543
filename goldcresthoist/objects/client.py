"""Client for the object store, which speaks the S3 protocol with path-style URLs."""

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
_XML_NAMESPACE = "{http://s3.amazonaws.com/doc/2006-03-01/}"


class ObjectClient:
    """Reads and writes the objects of one bucket.

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
        """Create a client from the settings of a daemon."""
        http = SignedHttp.from_settings(
            settings, settings.objects_url, "s3", CallGate("objects"), CALL_TIMEOUT_S
        )
        return cls(http, settings.bucket)

    async def close(self):
        """Close all connections."""
        await self.http.close()

    async def put(self, name, data):
        """Store an object.

        The call is idempotent: after `ObjectsUnavailable` it can be repeated with the
        same data.

        Raises
        ------
        ObjectsUnavailable
        """
        headers = {"Content-Type": "application/octet-stream"}
        self._check_status(
            name, await self._call("PUT", self._path(name), headers, data)
        )

    async def get(self, name):
        """Return the content of an object.

        Raises
        ------
        ObjectMissing, ObjectsUnavailable
        """
        return self._check_status(name, await self._call("GET", self._path(name))).body

    async def stream(self, name):
        """Iterate over the content of an object in chunks of at most 64 KiB.

        Raises
        ------
        ObjectMissing, ObjectsUnavailable
            Raised during the iteration.
        """
        try:
            async with self.http.open_stream("GET", self._path(name)) as response:
                self._check_status(name, response)
                async for chunk in self._read_chunks(response):
                    yield chunk
        except (CallFailed, CallNotSent, aiohttp.ClientError, TimeoutError) as exc:
            raise ObjectsUnavailable(f"{name}: {exc!r}") from exc

    async def delete(self, name):
        """Delete an object, if it exists.

        Raises
        ------
        ObjectsUnavailable
        """
        answer = await self._call("DELETE", self._path(name))
        if answer.status != 404:
            self._check_status(name, answer)

    async def list(self, prefix):
        """Return the sorted names of all objects whose name begins with a prefix.

        Raises
        ------
        ObjectsUnavailable
        """
        names = []
        token = ""
        while True:
            query = f"list-type=2&prefix={quote(prefix, safe='')}"
            if token:
                query = f"continuation-token={quote(token, safe='')}&{query}"
            answer = await self._call("GET", f"/{self.bucket}?{query}")
            page, token = _parse_list(self._check_status(prefix, answer).body)
            names += page
            if not token:
                return names

    async def _read_chunks(self, response):
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

    def _check_status(self, name, answer):
        if answer.status in (200, 204):
            return answer
        if answer.status == 404:
            raise ObjectMissing(f"no object {name!r} in bucket {self.bucket!r}")
        if answer.status == 429:
            self.http.gate.reduce_concurrency()
            raise ObjectsUnavailable(f"{name}: request throttled by the object store")
        if answer.status == 403:
            # This is treated as an outage, because it occurs when the clock of this
            # instance has jumped or while the credentials are being rotated.
            raise ObjectsUnavailable(f"{name}: access denied by the object store")
        raise ObjectsError(f"{name}: unexpected status {answer.status}")


def _parse_list(body):
    try:
        root = ElementTree.fromstring(body)
    except ElementTree.ParseError as exc:
        raise ObjectsUnavailable(f"list response is not valid XML: {exc}") from exc
    names = [key.text for key in root.iter(f"{_XML_NAMESPACE}Key")]
    return names, root.findtext(f"{_XML_NAMESPACE}NextContinuationToken") or ""
