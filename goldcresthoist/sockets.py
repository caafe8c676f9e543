"""Options of TCP sockets."""

import socket

__all__ = ["detect_silence"]

KEEPALIVE_PROBES = 2


def detect_silence(transport, after_s):
    """Make the kernel end a connection whose peer stays silent for about ``after_s``.

    An instance without power or behind a partition sends no reset, so a connection to
    it would stay open for good.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    step_s = max(1, round(after_s / (KEEPALIVE_PROBES + 1)))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, step_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, step_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, int(after_s * 1000))
    )
