"""gRPC control services between daemons."""

__all__ = []
