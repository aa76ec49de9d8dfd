"""Prove which incarnation of a server a connection leads to, by the server's own report.

A server may start again under its id and address, with another software version.  Its entry in the
store is that of its former incarnation until it has written a new one.  A connection ends with the
process that accepted it, so that a report proves the incarnation for as long as it is open.
"""

import asyncio
from typing import Protocol

import anyio

from endivesaddle.backend_servers.server_connection import ServerConnection
from endivesaddle.fleet.decoding import UnreadableValue
from endivesaddle.fleet.interfaces import NeverSent, ReportLost, ServerLost, ServerReplaced
from endivesaddle.fleet.routes.declared import RouteServer

REPORT_S = 1.0
"""Time-out of a report, as of a connection: it needs no slot of the server."""
MAX_REPORT_BYTES = 1 << 18
PROOF_VALID_S = 0.5
"""For so long, data that comes over a proven connection proves new connections too.

Longer would be wrong for a machine that was lost and closed nothing."""
NO_REPORT_RETRY_S = 10.0
"""A server that does not report when it was born is asked again after this."""
SUSPECT_S = 5.0
"""A process that ended has lost its entry by then: after three heartbeats, and a read of it."""
MAX_KEPT = 1024
OK = 200


class ServerReports(Protocol):
    """How servers report when they were born."""

    path: str

    def born_unix_ms(self, document: bytes) -> int:
        """Return it from a report, 0 if it does not say; raises ``UnreadableValue``."""


class IncarnationProofs:
    """What one router knows about the incarnations behind its connections.

    A server without reports counts as the incarnation of its entry, unless a connection to it was
    refused or broke in the last ``SUSPECT_S``.
    """

    def __init__(self, reports: ServerReports | None = None, request_id_header: str = '') -> None:
        """Initialize without proofs; without ``reports`` no server is asked.

        A response that names a request in ``request_id_header`` is none to a report.
        """
        self.asked_count = 0
        self._reports = reports
        self._request_id_header = request_id_header.encode('latin-1')
        self._proven: dict[str, list[ServerConnection]] = {}
        self._asked_again_s: dict[str, float] = {}
        self._suspect_until_s: dict[str, float] = {}

    def mark_suspect(self, server: RouteServer) -> None:
        """Record that a connection to a server was refused or broke."""
        _keep(self._suspect_until_s, server.incarnation, _now_s() + SUSPECT_S)

    async def prove(self, connection: ServerConnection, server: RouteServer) -> None:
        """Prove that a connection without a request leads to an incarnation of a server.

        Raises ``ServerReplaced`` if it leads to another one or may do so, ``ReportLost`` if this
        connection brings no report, and ``NeverSent`` if the server does not answer in time.
        """
        incarnation = server.incarnation
        if connection.incarnation == incarnation:
            return
        if not self._recently_proven(incarnation):
            born_unix_ms = await self._born_unix_ms(connection, server)
            if born_unix_ms == 0:
                self._check_suspect(incarnation)
                return
            if born_unix_ms != server.born_unix_ms:
                raise ServerReplaced(f'the server was born at {born_unix_ms}')
        connection.incarnation = incarnation
        self._proven.setdefault(incarnation, []).append(connection)

    def _recently_proven(self, incarnation: str) -> bool:
        """Return whether the process behind a proven connection was there a moment ago."""
        proven = [one for one in self._proven.pop(incarnation, []) if one.open]
        if proven:
            self._proven[incarnation] = proven
        elif len(self._proven) > MAX_KEPT:
            self._proven = {
                name: members
                for name, members in self._proven.items()
                if any(one.open for one in members)
            }
        return any(one.received_s > _now_s() - PROOF_VALID_S for one in proven)

    def _check_suspect(self, incarnation: str) -> None:
        if self._suspect_until_s.get(incarnation, 0) > _now_s():
            raise ServerReplaced('the server may have started again, and reports nothing')

    async def _born_unix_ms(self, connection: ServerConnection, server: RouteServer) -> int:
        """Ask a server; return 0 if it does not say when it was born."""
        if self._reports is None or not server.born_unix_ms:
            return 0
        if self._asked_again_s.get(server.incarnation, 0) > _now_s():
            return 0
        self.asked_count += 1
        born_unix_ms = 0
        try:
            with anyio.fail_after(REPORT_S):
                born_unix_ms = await self._read(connection, server, self._reports)
        except ServerLost as error:
            raise ReportLost(f'no report before the request: {error}') from error
        except TimeoutError as error:
            self.mark_suspect(server)
            raise NeverSent('no report in time') from error
        except UnreadableValue:
            # Handled like a report that does not say it.
            born_unix_ms = 0
        if not born_unix_ms:
            _keep(self._asked_again_s, server.incarnation, _now_s() + NO_REPORT_RETRY_S)
        return born_unix_ms

    async def _read(
        self, connection: ServerConnection, server: RouteServer, reports: ServerReports
    ) -> int:
        lines = (f'GET {reports.path} HTTP/1.1', f'host: {server.address}', '', '')
        response = connection.send('\r\n'.join(lines).encode('latin-1'), bodiless=False)
        await response.head()
        if any(name.lower() == self._request_id_header and text for name, text in response.headers):
            raise ServerLost('a response to an earlier request came first')
        document = bytearray()
        async for chunk in response.chunks():
            document += chunk
            if len(document) > MAX_REPORT_BYTES:
                return 0
        return reports.born_unix_ms(bytes(document)) if response.status == OK else 0


def _keep(until_s: dict[str, float], incarnation: str, end_s: float) -> None:
    """Set the time of an incarnation; the oldest one is dropped if there are many."""
    until_s.pop(incarnation, None)
    until_s[incarnation] = end_s
    if len(until_s) > MAX_KEPT:
        del until_s[next(iter(until_s))]


def _now_s() -> float:
    return asyncio.get_running_loop().time()
