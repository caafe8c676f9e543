"""Addresses in the form ``"ip:port"``."""

__all__ = ["split_address"]


def split_address(address):
    """Split ``"ip:port"`` into an ``(ip, port)`` pair.

    The brackets around an IPv6 address are removed.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
