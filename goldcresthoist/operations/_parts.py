"""Storage of upload parts: an object with the bytes and a table item for each part."""

from dataclasses import dataclass

from goldcresthoist.access import Backoff
from goldcresthoist.objects import ObjectMissing, ObjectsUnavailable
from goldcresthoist.operations._records import new_nonce
from goldcresthoist.operations.errors import MissingPart
from goldcresthoist.table import Absent, Always, Key, Put

__all__ = ["Part", "PartStore"]

PARTS_PER_PAGE = 100


@dataclass(frozen=True, slots=True)
class Part:
    """One stored part of an upload.

    `name` is the name of its object. Each attempt to store a part uses another name.
    """

    upload_id: str
    offset: int
    size: int
    name: str

    @property
    def key(self):
        """Key of the table item; the items of an upload sort by offset."""
        return Key(f"upload#{self.upload_id}", f"{self.offset:020}")

    def to_put(self):
        """Return the `Put` of the table item.

        It must be written in the transaction that updates the offset of the upload.
        """
        return Put(self.key, {"name": self.name, "size": self.size}, Absent())


class PartStore:
    """Writes, reads and deletes the parts of uploads.

    Parameters
    ----------
    table : TableClient
    objects : ObjectClient
    """

    def __init__(self, table, objects):
        self.table = table
        self.objects = objects

    async def store(self, upload_id, offset, data, deadline):
        """Store the bytes of a part as an object.

        The part belongs to the upload only once its table item has been written.

        Raises
        ------
        ObjectsUnavailable
        """
        name = f"uploads/{upload_id}/{offset:020}-{new_nonce()}"
        backoff = Backoff(deadline)
        while True:
            try:
                await self.objects.put(name, data)
                return Part(upload_id, offset, len(data), name)
            except ObjectsUnavailable:
                if not await backoff.pause():
                    raise

    async def is_committed(self, part):
        """Return whether the table item at the part's offset refers to this part.

        Raises
        ------
        TableUnavailable
        """
        item = await self.table.get(part.key)
        return item is not None and item["name"] == part.name

    async def discard(self, part):
        """Delete the object of a part that can no longer be committed."""
        try:
            await self.objects.delete(part.name)
        except ObjectsUnavailable:
            # `delete_all` deletes the object later, as it lists objects by prefix.
            pass

    async def stream(self, upload_id, length):
        """Iterate over the bytes of an upload in order.

        Raises
        ------
        MissingPart, ObjectsUnavailable, TableUnavailable
            Raised during the iteration.
        """
        offset = 0
        after = ""
        while offset < length:
            items = await self._page(upload_id, after)
            for item in items:
                if int(item["sk"]) != offset:
                    break
                async for chunk in self._stream_part(item):
                    yield chunk
                offset += item["size"]
                after = item["sk"]
            else:
                if items:
                    continue
            raise MissingPart(f"upload {upload_id} has no part at offset {offset}")

    async def delete_all(self, upload_id):
        """Delete all parts of an upload, including objects without a table item.

        Raises
        ------
        ObjectsUnavailable, TableError
        """
        for name in await self.objects.list(f"uploads/{upload_id}/"):
            await self.objects.delete(name)
        while items := await self._page(upload_id, ""):
            for item in items:
                await self.table.delete(Key(item["pk"], item["sk"]), Always())

    async def _page(self, upload_id, after):
        partition = f"upload#{upload_id}"
        return await self.table.query(partition, limit=PARTS_PER_PAGE, after=after)

    async def _stream_part(self, item):
        size = 0
        try:
            async for chunk in self.objects.stream(item["name"]):
                size += len(chunk)
                yield chunk
        except ObjectMissing as exc:
            raise MissingPart(f"object {item['name']} of a part is missing") from exc
        if size != item["size"]:
            raise MissingPart(
                f"object {item['name']} of a part has {size} bytes, expected "
                f"{item['size']}"
            )
