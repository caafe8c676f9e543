"""Memory of the daemon for large responses."""

__all__ = ["CALL_BYTES", "TransferBudget"]

# What the entry daemon holds of one response at most: the flow-control window of its
# call, and what the connections to the serving daemon and to the caller buffer.
CALL_BYTES = 352 * 1024
# Share of the memory of the instance.
MEMORY_SHARE = 0.25


class TransferBudget:
    """Bytes of large responses that the daemon may hold at the same time.

    Parameters
    ----------
    limit : int

    Attributes
    ----------
    used : int
        Bytes that are reserved.
    """

    def __init__(self, limit):
        self.limit = limit
        self.used = 0

    @classmethod
    def from_memory(cls, memory_mb):
        """Return the budget of an instance with this much memory, in 10^6 bytes."""
        return cls(int(MEMORY_SHARE * memory_mb * 1e6))

    def try_take(self, size):
        """Reserve bytes; return whether they are within the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def give_back(self, size):
        """Release reserved bytes."""
        self.used -= size
