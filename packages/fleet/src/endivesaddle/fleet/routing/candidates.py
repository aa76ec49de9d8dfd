"""Select the backend servers that may get a forwarded request now."""

from typing import NamedTuple

from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing.backends import Backend, Backends
from endivesaddle.fleet.routing.send_limits import SendLimits

EVACUATED_S = 2.0
"""Retry-After while all data centres are evacuated: returning one to service takes an operator
several seconds."""


class NoServer(NamedTuple):
    """Why no server is available, and the seconds until one may be, 0 if unknown.

    With ``version_gone``, no server is left of the version that began the request's stream.
    """

    reason: str
    wait_s: float = 0.0
    version_gone: bool = False


class Candidates:
    """Candidate servers of one router; ``regions`` has entries "data-centre=region"."""

    def __init__(
        self,
        routing_state: RoutingState,
        backends: Backends,
        limits: SendLimits,
        regions: tuple[str, ...],
    ) -> None:
        """Choose among the servers that ``routing_state`` holds."""
        self._routing_state = routing_state
        self._backends = backends
        self._send_limits = limits
        self._regions = dict(entry.split('=', 1) for entry in regions)

    def open(
        self, request: ForwardRequest, service: str, exclude: frozenset[str], now_unix_s: float
    ) -> list[Backend]:
        """Return the servers that may be used, unreachable ones only if there is no other.

        A server that rejects requests has said so; an unreachable one may be back.
        """
        servers = self._allowed(request, self._routing_state.available_servers(service))
        backends = [self._backends.of(one) for one in servers if one.lifetime not in exclude]
        backends = [backend for backend in backends if backend.accepts_requests(now_unix_s)]
        if request.route.resumable:
            backends = [one for one in backends if one.unproven_until_unix_s <= now_unix_s]
        backends = [
            backend for backend in backends if backend.unreachable_until_unix_s <= now_unix_s
        ] or backends
        return [backend for backend in backends if self._send_limits.allows(backend, now_unix_s)]

    def why_none(self, request: ForwardRequest, service: str, now_unix_s: float) -> NoServer:
        """Return why no server is available, and when the first one may get requests again.

        Load pattern: all servers of a service reject requests for a stated time, are cold, have
        advertised a limit or are in evacuated data centres.  With a shorter Retry-After, callers
        used up their retries.
        """
        evacuated_too = self._routing_state.staying_servers(service)
        if request.origin and not _of_version(request, evacuated_too):
            version = request.origin.version
            reason = f'no server of version {version!r}, at which the stream began, is left'
            return NoServer(reason, version_gone=True)
        if evacuated_too and not self._in_home_regions(request, evacuated_too):
            return NoServer('no server of the service is in a home region')
        servers = self._allowed(request, self._routing_state.available_servers(service))
        if evacuated_too and not servers:
            return NoServer('all servers of the service are in evacuated data centres', EVACUATED_S)
        next_send_unix_s = [
            self._next_send_unix_s(self._backends.of(one), now_unix_s) for one in servers
        ]
        wait_s = min(next_send_unix_s, default=now_unix_s) - now_unix_s
        if wait_s <= 0:
            return NoServer('no server of the service can be reached')
        return NoServer(
            'all servers of the service are cold, limited or turn requests away', wait_s
        )

    def _allowed(
        self, request: ForwardRequest, servers: tuple[RouteServer, ...]
    ) -> tuple[RouteServer, ...]:
        """Return the servers in the request's home regions that may begin or continue its stream.

        A stream begins at a version that is on record: otherwise another router could not know that
        its version is not the only one.
        """
        allowed = _of_version(request, self._in_home_regions(request, servers))
        if request.origin is not None or not request.route.resumable:
            return allowed
        return tuple(filter(self._routing_state.versions.may_begin, allowed))

    def _in_home_regions(
        self, request: ForwardRequest, servers: tuple[RouteServer, ...]
    ) -> tuple[RouteServer, ...]:
        """Return the servers in the request's home regions, all servers if it has none."""
        homes = request.homes
        if homes is None:
            return servers
        return tuple(one for one in servers if self._regions.get(one.data_centre) in homes)

    def _next_send_unix_s(self, backend: Backend, now_unix_s: float) -> float:
        """Return when this router may next send a request to a server, as far as known."""
        return max(
            backend.rejecting_until_unix_s,
            backend.unproven_until_unix_s,
            self._send_limits.next_send_unix_s(backend, now_unix_s),
        )


def _of_version(
    request: ForwardRequest, servers: tuple[RouteServer, ...]
) -> tuple[RouteServer, ...]:
    """Return the servers of the version that began the request's stream, all if it has none.

    What two versions write does not fit together, and servers don't check it.
    """
    origin = request.origin
    if origin is None:
        return servers
    return tuple(one for one in servers if one.version == origin.version)
