"""HTTP/1.1 client to the upstream beside the daemon."""

__all__ = []
