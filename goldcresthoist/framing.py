"""Limit on the bytes of an HTTP/1.1 message that carry no content.

A parser keeps or skips such bytes without reporting them: chunk extensions, trailers,
blank lines before a message and fields that have not ended. Nothing else bounds them,
so a peer could send them without end.
"""

__all__ = ["CHUNK_FRAMING_BYTES", "FIELD_FRAMING_BYTES", "START_BYTES", "FramingMeter"]

# Framing that belongs to the content: the size of a chunk in at most 16 digits and its
# two line ends; the separator and line end of a field; the protocol version, separators
# and line ends of a start line and of the end of the head.
CHUNK_FRAMING_BYTES = 20
FIELD_FRAMING_BYTES = 4
START_BYTES = 17


class FramingMeter:
    """Counts the received bytes of one message that are no content.

    Bytes are content when the owner of the parser passes them to `add_content`.

    Parameters
    ----------
    limit : int
        Largest number of other bytes in a message.

    Attributes
    ----------
    surplus : int
        Received bytes of the message that are no content. A message that begins in the
        middle of a read is charged with the surplus of the whole read.
    content : int
        Content in the current read.
    """

    __slots__ = ("content", "limit", "surplus")

    def __init__(self, limit):
        self.limit = limit
        self.surplus = 0
        self.content = 0

    def start_message(self):
        """Start the count of another message."""
        self.surplus = 0

    def add_content(self, size):
        """Count bytes of the current read as content."""
        self.content += size

    def end_read(self, size):
        """Return whether the message is within the limit after a read.

        Parameters
        ----------
        size : int
            Bytes that were received.
        """
        # Content can exceed the read, because a field is reported only when it ends.
        self.surplus = max(0, self.surplus + size - self.content)
        self.content = 0
        return self.surplus <= self.limit
