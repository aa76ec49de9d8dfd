"""Listening sockets for callers, whose dead connections are detected by the kernel."""

import socket

from endivesaddle.callers.settings import CallersSettings

BACKLOG = 1024

_MILLISECONDS = 1000


def listen(address: str, settings: CallersSettings) -> socket.socket:
    """Return a listening socket; its connections inherit the keep-alive timeouts."""
    host, _, port = address.rpartition(':')
    listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    # A connection dropped without notice by a device on the path would keep its request and
    # its write buffer forever, as no error is ever reported. The kernel closes it when sent
    # data stays unacknowledged, or when an idle peer no longer answers keep-alive probes.
    unread_ms = int(settings.send_within_s * _MILLISECONDS)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unread_ms)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, settings.probe_after_s)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, settings.probe_after_s)
    return listener
