"""TCP socket options."""

import socket

__all__ = ["detect_dead_peer"]

KEEPALIVE_PROBES = 2


def detect_dead_peer(transport, after_s):
    """Make the kernel close a connection whose peer sends nothing for ``after_s``.

    An instance that lost power, or that a network partition cuts off, sends neither
    FIN nor RST, so a connection to it would stay open forever. TCP keepalive covers
    idle connections, TCP_USER_TIMEOUT those with unacknowledged data. The time is
    approximate, because the keepalive interval is rounded to whole seconds.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    interval_s = max(1, round(after_s / (KEEPALIVE_PROBES + 1)))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, int(after_s * 1000))
    )
