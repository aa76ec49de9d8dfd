"""Ask the sidecars beside engines to admit prompts, and report this router's load to them."""

from collections.abc import Collection
from itertools import count

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.ports import Handlers, Peers
from endivesaddle.fleet.routes import sidecar_events
from endivesaddle.fleet.routes.address_backoff import AddressBackoff
from endivesaddle.fleet.routes.instance_directory import InstanceDirectory
from endivesaddle.fleet.routing.backends import Backend, Backends
from endivesaddle.fleet.routing.engine_admission import EngineAdmission, Load, LoadReport
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import EnterReply, EnterRequest

ASK_S = 0.06
"""Time-out of a question.  A sidecar answers in about 3 ms; without an answer the prompt goes to
the engine that was selected."""
AVOID_S = 2.0
LONGEST_AVOID_S = 8.0
"""Least and greatest time for which a sidecar that did not answer is skipped."""
COALESCE_S = 0.01
"""Changes within this are sent in one report."""
REFRESH_S = 3.0
"""Interval of reports without a change, so that sidecars can expire routers that are gone."""


class SidecarAdmission:
    """Sends one router's prompts and load reports to the sidecars beside engines."""

    def __init__(
        self,
        backends: Backends,
        directory: InstanceDirectory,
        peers: Peers,
        clock: Clock,
        lifetime: str,
    ) -> None:
        """Report as ``lifetime``; a sidecar admits prompts for the servers of its host."""
        self._backends = backends
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._lifetime = lifetime
        self._numbers = count(1)
        self._avoided = AddressBackoff(clock, AVOID_S, LONGEST_AVOID_S)
        self._sidecars_by_host: dict[str, str] = {}
        self._indexed_sidecars: Collection[str] = ()
        self._changed: dict[str, Backend] = {}
        self._urgent: dict[str, Backend] = {}
        self._any_urgent = anyio.Event()

    async def admit(self, backend: Backend, tokens: int, most_tokens: int) -> bool:
        """Ask for the admission of a prompt; return True also if no sidecar can be asked."""
        address = self._sidecar_of(backend)
        if not address:
            return True
        report = self._report(backend)
        report.asked_tokens = tokens
        report.most_tokens = most_tokens
        backend.pending_requests += 1
        backend.pending_tokens += tokens
        try:
            reply = await self._enter(address, backend, report)
        finally:
            backend.pending_requests -= 1
            backend.pending_tokens -= tokens
        return reply is None or reply.taken_up

    def load_changed(self, backend: Backend, soon: bool) -> None:
        """Report the load at an engine, at once if ``soon`` or with the next report."""
        self._changed[backend.server.lifetime] = backend
        if soon:
            self._urgent[backend.server.lifetime] = backend
            self._any_urgent.set()

    async def run(self) -> None:
        """Send changes, and regularly all loads, until cancelled."""
        refresh_unix_s = 0.0
        async with anyio.create_task_group() as group:
            while True:
                with anyio.move_on_after(REFRESH_S):
                    await self._any_urgent.wait()
                await anyio.sleep(COALESCE_S)
                self._any_urgent = anyio.Event()
                if self._clock.now_s() >= refresh_unix_s:
                    refresh_unix_s = self._clock.now_s() + REFRESH_S
                    self._refresh()
                for backend in self._urgent.values():
                    group.start_soon(self._send_report, backend)
                self._urgent = {}

    def _refresh(self) -> None:
        self._urgent.update(self._changed)
        self._changed = {}
        for backend in self._backends.all():
            if backend.own_in_flight:
                self._urgent[backend.server.lifetime] = backend

    async def _send_report(self, backend: Backend) -> None:
        address = self._sidecar_of(backend)
        if address:
            await self._enter(address, backend, self._report(backend))

    async def _enter(
        self, address: str, backend: Backend, report: EnterRequest
    ) -> EnterReply | None:
        try:
            reply = await self._peers.call(address, rpcs.ENTER, report, self._clock.now_s() + ASK_S)
        except (FleetError, TimeoutError) as error:
            sidecar_events.DESK_SILENT.log(sidecar=address, reason=str(error))
            self._avoided.record_failure(address)
            return None
        self._avoided.record_success(address)
        backend.apply_sidecar_report(reply.in_flight, reply.reading_tokens, self._clock.now_s())
        return reply

    def _report(self, backend: Backend) -> EnterRequest:
        self._changed.pop(backend.server.lifetime, None)
        return EnterRequest(
            lifetime=self._lifetime,
            number=next(self._numbers),
            reading_tokens=backend.own_prefilling_tokens + backend.pending_tokens,
            in_flight=backend.own_in_flight + backend.pending_requests,
        )

    def _sidecar_of(self, backend: Backend) -> str:
        """Return the address of the sidecar beside an engine, '' if none can be asked."""
        if self._indexed_sidecars is not self._directory.sidecars:
            self._indexed_sidecars = self._directory.sidecars
            self._sidecars_by_host = {_host(address): address for address in self._indexed_sidecars}
        address = self._sidecars_by_host.get(_host(backend.server.address), '')
        return address if self._avoided.usable(address) else ''


def _host(address: str) -> str:
    return address.rpartition(':')[0]


def serve_admission(handlers: Handlers, admission: EngineAdmission, clock: Clock) -> None:
    """Answer the routers' questions about the engine beside this instance."""

    async def enter(request: EnterRequest) -> EnterReply:  # noqa: WPS430 (bound to the admission)
        now_unix_s = clock.now_s()
        report = LoadReport(
            request.lifetime, request.number, Load(request.reading_tokens, request.in_flight)
        )
        taken_up = False
        if request.asked_tokens:
            taken_up = admission.admit(
                report, request.asked_tokens, request.most_tokens, now_unix_s
            )
        else:
            admission.report(report, now_unix_s)
        others = admission.others(request.lifetime, now_unix_s)
        return EnterReply(
            taken_up=taken_up, reading_tokens=others.prefilling_tokens, in_flight=others.in_flight
        )

    handlers.answer(rpcs.ENTER, enter)
