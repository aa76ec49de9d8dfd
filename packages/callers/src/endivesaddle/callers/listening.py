"""Listening sockets towards callers, whose connections are bounded in silence."""

import socket

from endivesaddle.callers.settings import CallersSettings

BACKLOG = 1024

_MILLISECONDS = 1000


def listen(address: str, settings: CallersSettings) -> socket.socket:
    """Return a listening socket; its connections inherit the bounds on silence."""
    host, _, port = address.rpartition(':')
    listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    # A connection that something on the way has lost track of would keep its request, and
    # its writer's buffer, for ever: no error ever comes.  The kernel ends it when sent data
    # stays unacknowledged, or a quiet peer no longer answers keep-alive probes.
    unread_ms = int(settings.send_within_s * _MILLISECONDS)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unread_ms)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, settings.probe_after_s)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, settings.probe_after_s)
    return listener
