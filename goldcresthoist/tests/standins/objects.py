"""Stand-in for the object store: the S3 protocol with objects in memory."""

import hashlib
from urllib.parse import unquote
from xml.sax.saxutils import escape

from aiohttp import web

from goldcresthoist.tests.standins._server import FaultyServer, run

__all__ = ["ObjectsStandIn"]

PAGE_SIZE = 1000
_NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"


class ObjectsStandIn(FaultyServer):
    """Server with the objects of all buckets in a mapping by ``bucket/name``."""

    def __init__(self):
        super().__init__()
        self.objects = {}

    def operation_of(self, request):
        """Return the name of the requested operation."""
        if request.method == "GET" and "list-type" in request.query:
            return "List"
        return request.method.capitalize()

    def is_write(self, operation):
        """Return whether an operation changes objects."""
        return operation in ("Put", "Delete")

    def throttled(self):
        """Return the response to a call over the rate limit."""
        return _error(503, "SlowDown")

    def expired(self):
        """Return the response to a call whose signature has expired."""
        return _error(403, "RequestTimeTooSkewed")

    def process(self, operation, request, body):
        """Run one operation atomically."""
        if error := _validate(request, body):
            return error
        name = unquote(request.rel_url.raw_path).removeprefix("/")
        match operation:
            case "Put":
                self.objects[name] = body
                etag = hashlib.md5(body).hexdigest()
                return web.Response(headers={"ETag": f'"{etag}"'})
            case "Get" if name in self.objects:
                return web.Response(
                    body=self.objects[name], content_type="application/octet-stream"
                )
            case "Delete":
                self.objects.pop(name, None)
                return web.Response(status=204)
            case "List":
                return self._list(name, request.query)
        return _error(404, "NoSuchKey")

    def _list(self, bucket, query):
        offset = len(bucket) + 1
        after = query.get("continuation-token", "")
        names = sorted(
            name[offset:]
            for name in self.objects
            if name.startswith(f"{bucket}/{query.get('prefix', '')}")
            and name[offset:] > after
        )
        page = names[:PAGE_SIZE]
        keys = "".join(
            f"<Contents><Key>{escape(name)}</Key></Contents>" for name in page
        )
        token_xml = ""
        if len(names) > len(page):
            token = escape(page[-1])
            token_xml = f"<NextContinuationToken>{token}</NextContinuationToken>"
        text = (
            f'<ListBucketResult xmlns="{_NAMESPACE}">'
            f"{keys}{token_xml}</ListBucketResult>"
        )
        return web.Response(text=text, content_type="application/xml")


def _validate(request, body):
    """Return an error response to a request without a valid signature or digest."""
    if "/s3/aws4_request" not in request.headers.get("Authorization", ""):
        return _error(403, "AccessDenied")
    declared_digest = request.headers.get("X-Amz-Content-SHA256", "UNSIGNED-PAYLOAD")
    if declared_digest not in ("UNSIGNED-PAYLOAD", hashlib.sha256(body).hexdigest()):
        return _error(400, "XAmzContentSHA256Mismatch")
    return None


def _error(status, code):
    return web.Response(
        status=status,
        text=f"<Error><Code>{code}</Code></Error>",
        content_type="application/xml",
    )


if __name__ == "__main__":
    run(ObjectsStandIn, __doc__)
