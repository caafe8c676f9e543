"""Choice of upstream, admission, retries and limits."""

__all__ = []
