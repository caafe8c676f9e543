"""Parts of an upload: objects that hold the bytes, items that put them in order."""

from dataclasses import dataclass

from goldcresthoist.access import Backoff
from goldcresthoist.objects import ObjectMissing, ObjectsUnavailable
from goldcresthoist.operations._records import new_nonce
from goldcresthoist.operations.errors import MissingPart
from goldcresthoist.table import Absent, Always, Key, Put

__all__ = ["Part", "PartStore"]

PAGE_PARTS = 100


@dataclass(frozen=True, slots=True)
class Part:
    """One stored part; `name` is its object, unique to the attempt to store it."""

    upload_id: str
    offset: int
    size: int
    name: str

    @property
    def key(self):
        """Key of the item, which sorts by offset."""
        return Key(f"upload#{self.upload_id}", f"{self.offset:020}")

    def put(self):
        """Return the write of the item, made with the new offset in one transaction."""
        return Put(self.key, {"name": self.name, "size": self.size}, Absent())


class PartStore:
    """Writes, reads and deletes parts.

    Parameters
    ----------
    table : TableClient
    objects : ObjectClient
    """

    def __init__(self, table, objects):
        self.table = table
        self.objects = objects

    async def store(self, upload_id, offset, data, deadline):
        """Store the bytes of a part; it counts once its item is written.

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

    async def has_item(self, part):
        """Return whether the item at the part's offset is this part's."""
        item = await self.table.get(part.key)
        return item is not None and item["name"] == part.name

    async def discard(self, part):
        """Delete the bytes of a part that has no item and cannot get one."""
        try:
            await self.objects.delete(part.name)
        except ObjectsUnavailable:
            # `delete_all` finds it by its prefix.
            pass

    async def stream(self, upload_id, length):
        """Iterate over the body in order.

        Raises
        ------
        MissingPart, ObjectsUnavailable, TableUnavailable
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
            raise MissingPart(f"upload {upload_id}: no part at offset {offset}")

    async def delete_all(self, upload_id):
        """Delete all parts, those without an item included.

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
        return await self.table.query(partition, limit=PAGE_PARTS, after=after)

    async def _stream_part(self, item):
        size = 0
        try:
            async for chunk in self.objects.stream(item["name"]):
                size += len(chunk)
                yield chunk
        except ObjectMissing as exc:
            raise MissingPart(f"part {item['name']} is missing") from exc
        if size != item["size"]:
            raise MissingPart(
                f"part {item['name']} has {size} bytes, expected {item['size']}"
            )
