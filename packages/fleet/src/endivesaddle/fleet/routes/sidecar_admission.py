"""Ask the sidecars beside engines for places, and tell them what is under way there."""

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
"""A sidecar answers in some 3 ms; without an answer a prompt goes where it seemed best."""
AVOID_S = 2.0
LONGEST_AVOID_S = 8.0
"""A sidecar that did not answer is not asked for so long, at first and at most."""
GATHER_S = 0.01
"""Changes within this are told in one word."""
REFRESH_S = 3.0
"""All else is told so often, so that a sidecar may forget routers that are gone."""


class SidecarAdmission:
    """One router's words to the sidecars beside engines; one task tells what changed."""

    def __init__(
        self,
        backends: Backends,
        directory: InstanceDirectory,
        peers: Peers,
        clock: Clock,
        lifetime: str,
    ) -> None:
        """Speak as ``lifetime``; a sidecar stands beside the servers of its host."""
        self._backends = backends
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._lifetime = lifetime
        self._numbers = count(1)
        self._avoided = AddressBackoff(clock, AVOID_S, LONGEST_AVOID_S)
        self._by_host: dict[str, str] = {}
        self._by_host_of: Collection[str] = ()
        self._changed: dict[str, Backend] = {}
        self._soon: dict[str, Backend] = {}
        self._any_soon = anyio.Event()

    async def admit(self, backend: Backend, tokens: int, most_tokens: int) -> bool:
        """Ask for a place for a prompt; True where it may go there, or nobody could be asked."""
        address = self._beside(backend)
        if not address:
            return True
        word = self._word(backend)
        word.asked_tokens = tokens
        word.most_tokens = most_tokens
        backend.pending_requests += 1
        backend.pending_tokens += tokens
        try:
            reply = await self._enter(address, backend, word)
        finally:
            backend.pending_requests -= 1
            backend.pending_tokens -= tokens
        return reply is None or reply.taken_up

    def load_changed(self, backend: Backend, soon: bool) -> None:
        """Tell what is under way at an engine now, ``soon`` or with the next word."""
        self._changed[backend.server.lifetime] = backend
        if soon:
            self._soon[backend.server.lifetime] = backend
            self._any_soon.set()

    async def run(self) -> None:
        """Tell what changed, and what goes on, until cancelled."""
        refresh_unix_s = 0.0
        async with anyio.create_task_group() as group:
            while True:
                with anyio.move_on_after(REFRESH_S):
                    await self._any_soon.wait()
                await anyio.sleep(GATHER_S)
                self._any_soon = anyio.Event()
                if self._clock.now_s() >= refresh_unix_s:
                    refresh_unix_s = self._clock.now_s() + REFRESH_S
                    self._refresh()
                for backend in self._soon.values():
                    group.start_soon(self._tell, backend)
                self._soon = {}

    def _refresh(self) -> None:
        self._soon.update(self._changed)
        self._changed = {}
        for backend in self._backends.all():
            if backend.own_in_flight:
                self._soon[backend.server.lifetime] = backend

    async def _tell(self, backend: Backend) -> None:
        address = self._beside(backend)
        if address:
            await self._enter(address, backend, self._word(backend))

    async def _enter(self, address: str, backend: Backend, word: EnterRequest) -> EnterReply | None:
        try:
            reply = await self._peers.call(address, rpcs.ENTER, word, self._clock.now_s() + ASK_S)
        except (FleetError, TimeoutError) as error:
            sidecar_events.DESK_SILENT.log(sidecar=address, reason=str(error))
            self._avoided.record_failure(address)
            return None
        self._avoided.record_success(address)
        backend.apply_sidecar_report(reply.in_flight, reply.reading_tokens, self._clock.now_s())
        return reply

    def _word(self, backend: Backend) -> EnterRequest:
        self._changed.pop(backend.server.lifetime, None)
        return EnterRequest(
            lifetime=self._lifetime,
            number=next(self._numbers),
            reading_tokens=backend.own_prefilling_tokens + backend.pending_tokens,
            in_flight=backend.own_in_flight + backend.pending_requests,
        )

    def _beside(self, backend: Backend) -> str:
        """Return the address of the sidecar beside an engine, '' where none can be asked."""
        if self._by_host_of is not self._directory.sidecars:
            self._by_host_of = self._directory.sidecars
            self._by_host = {_host(address): address for address in self._by_host_of}
        address = self._by_host.get(_host(backend.server.address), '')
        return address if self._avoided.usable(address) else ''


def _host(address: str) -> str:
    return address.rpartition(':')[0]


def serve_admission(handlers: Handlers, admission: EngineAdmission, clock: Clock) -> None:
    """Answer routers for the engine beside this instance."""

    async def enter(asked: EnterRequest) -> EnterReply:  # noqa: WPS430 (bound to the admission)
        now_unix_s = clock.now_s()
        word = LoadReport(asked.lifetime, asked.number, Load(asked.reading_tokens, asked.in_flight))
        taken_up = False
        if asked.asked_tokens:
            taken_up = admission.admit(word, asked.asked_tokens, asked.most_tokens, now_unix_s)
        else:
            admission.report(word, now_unix_s)
        others = admission.others(asked.lifetime, now_unix_s)
        return EnterReply(
            taken_up=taken_up, reading_tokens=others.prefilling_tokens, in_flight=others.in_flight
        )

    handlers.answer(rpcs.ENTER, enter)
