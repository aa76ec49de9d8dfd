"""Talk with the other routers: loads, and facts while the store is away.

One task for each neighbour.  What a neighbour says of the store's contents is
taken only while the store does not answer here, and only where it is newer, by
the store's own version, than what is known here.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.ports import Handlers, Peers
from endivesaddle.fleet.routes import sidecar_events
from endivesaddle.fleet.routes.address_backoff import AddressBackoff
from endivesaddle.fleet.routes.declarations import DeclarationsFetch
from endivesaddle.fleet.routes.facts import Facts
from endivesaddle.fleet.routes.instance_directory import InstanceDirectory
from endivesaddle.fleet.routes.leaving_servers import ANSWER
from endivesaddle.fleet.routes.peer_updates import PeerUpdates, UpdateCursor, UpdateSources
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.store_watch import Decoder
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.sent_parts import SentPart
from endivesaddle.wire import routers_pb2, rpcs

TALK_S = 0.25
"""Between two talks with one neighbour; loads are at most so much older than a reply."""
TALKS_PER_S = 20.0
"""Talks of one router in all: with many routers each neighbour is asked less often."""
LEAST_PAUSE_S = 0.02
"""Between two talks with one neighbour, however many large prompts are sent."""
FEW_ROUTERS = 8
"""With more neighbours than this, large prompts are not told at once: it would cost more talks
than a router may spend on control."""
AGGREGATOR_POLL_S = 0.5
"""A look at the board waits so long for news."""
GATHER_S = 0.05
"""What this router meets within this is told together."""
AGGREGATOR_POLLS_PER_S = 40.0
"""Looks of all routers in a second that one sidecar is asked for."""
AVOID_S = 2.0
LONGEST_AVOID_S = 8.0
"""A sidecar whose board did not answer is passed over for so long, at first and at most."""
REPLY_S = 0.4
QUIET_S = 1.0
"""After a talk that failed; a neighbour that is gone costs one try a second."""
STALE_S = 1.2
"""A neighbour's loads are forgotten after this."""


class PeerRouterParts(NamedTuple):
    """What a router has to tell and to learn."""

    routing_state: RoutingState
    store_status: StoreStatus
    dispatcher: Dispatcher
    directory: InstanceDirectory
    decoder: Decoder
    seeds: tuple[str, ...]


class PeerRouters:
    """This router's talks with all others."""

    def __init__(
        self, parts: PeerRouterParts, peers: Peers, clock: Clock, lifetime: str, address: str
    ) -> None:
        """Talk as ``lifetime``, reached at ``address``."""
        self._parts = parts
        self._peers = peers
        self._clock = clock
        self._lifetime = lifetime
        self._address = address
        self.leaving = False
        self._avoided_aggregators = AddressBackoff(clock, AVOID_S, LONGEST_AVOID_S)
        self._seen = 0
        self._parts_told = parts.dispatcher.sent_parts.count
        self._seen_aggregator = ''
        self._updates = PeerUpdates(
            UpdateSources(
                parts.dispatcher.crashes,
                parts.routing_state.leaving_servers,
                parts.routing_state.limits,
            ),
            clock,
        )
        self._news_seen = routers_pb2.NewsMark()
        self._aggregator_cursor = UpdateCursor()
        self._own_news = anyio.Event()
        parts.dispatcher.crashes.listeners.append(self._met)
        parts.routing_state.leaving_servers.listeners.append(self._met)
        parts.routing_state.limits.listeners.append(self._met)
        self._leaving: set[str] = set()
        self._facts = Facts(parts.routing_state, parts.store_status, parts.directory, clock)
        self._declarations = DeclarationsFetch(
            parts.routing_state, parts.store_status, parts.decoder
        )
        self._large = anyio.Event()
        parts.dispatcher.large_prompt_listeners.append(self._sent_large)
        self._talking: dict[str, anyio.CancelScope] = {}
        self._lanes: dict[str, tuple[float, tuple[routers_pb2.LaneWord, ...]]] = {}

    def register(self, handlers: Handlers) -> None:
        """Answer the other routers' calls."""
        handlers.answer(rpcs.WORD, self._answer)
        self._declarations.register(handlers)

    async def run(self) -> None:
        """Talk with each router that is known, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll_aggregator)
            group.start_soon(self._notify_aggregator)
            while True:
                addresses = self._addresses()
                for address in addresses - self._talking.keys():
                    self._talking[address] = anyio.CancelScope()
                    group.start_soon(self._talk, address)
                for address in self._talking.keys() - addresses:
                    self._talking.pop(address).cancel()
                self._count_routers()
                self._sum_up()
                await anyio.sleep(TALK_S)

    def others_stay(self) -> bool:
        """Tell whether another router was heard just now, and does not stop."""
        return bool(self._lanes.keys() - self._leaving)

    def _addresses(self) -> set[str]:
        away = (
            self._parts.store_status.unavailable or self._parts.routing_state.declarations is None
        )
        if self._aggregator_address() and not away:
            return set()
        addresses = set(self._parts.directory.others.values())
        if not addresses or self._parts.routing_state.declarations is None:
            addresses |= set(self._parts.seeds)
        return addresses - {self._address}

    def _count_routers(self) -> None:
        directory, dispatcher = self._parts.directory, self._parts.dispatcher
        dispatcher.router_count = len(directory.others) + 1
        dispatcher.send_limits.set_routers(
            self._address, directory.others.values(), directory.settled
        )

    async def _poll_aggregator(self) -> None:
        """With many routers, leave words on a sidecar's board instead of talking with each."""
        look_unix_s = 0.0
        while True:
            now_unix_s = self._clock.now_s()
            if look_unix_s <= now_unix_s:
                routers = len(self._parts.directory.others) + 1
                look_unix_s = now_unix_s + max(AGGREGATOR_POLL_S, routers / AGGREGATOR_POLLS_PER_S)
            wait_s = look_unix_s - now_unix_s
            address = self._aggregator_address()
            if not address or not await self._exchange(address, wait_s):
                await anyio.sleep(AGGREGATOR_POLL_S)

    async def _notify_aggregator(self) -> None:
        """Tell at once what this router met itself: others act on it within a second."""
        while True:
            await self._own_news.wait()
            await anyio.sleep(GATHER_S)
            self._own_news = anyio.Event()
            address = self._aggregator_address()
            if address:
                await self._exchange(address, 0)

    def _met(self, _: str, source: str = ANSWER) -> None:
        if source == ANSWER:
            self._own_news.set()

    def _aggregator_address(self) -> str:
        return next(
            (
                one
                for one in self._parts.directory.aggregators
                if self._avoided_aggregators.usable(one)
            ),
            '',
        )

    async def _exchange(self, address: str, wait_s: float) -> bool:
        """Leave a word, and take those of others, waiting for news; False without an answer."""
        told = self._parts.dispatcher.sent_parts.count
        request = self._aggregator_request(wait_s)
        deadline_unix_s = self._clock.now_s() + wait_s + REPLY_S
        try:
            reply = await self._peers.call(address, rpcs.BOARD, request, deadline_unix_s)
        except (FleetError, TimeoutError) as error:
            sidecar_events.BOARD_LOST.log(sidecar=address, reason=str(error))
            self._avoided_aggregators.record_failure(address)
            return False
        self._avoided_aggregators.record_success(address)
        self._parts_told = max(self._parts_told, told)
        self._aggregator_cursor.took(reply.lifetime, request.word.news.mark)
        self._updates.merge(reply.news, address)
        self._news_seen = reply.news.mark
        for heard in reply.words:
            self._hear(heard)
        self._sum_up()
        self._seen = reply.number
        self._seen_aggregator = reply.lifetime
        return True

    def _aggregator_request(self, wait_s: float) -> routers_pb2.BoardRequest:
        word = self._word()
        sent_parts = self._parts.dispatcher.sent_parts
        word.parts.extend(_parts_words(sent_parts.since(self._parts_told)))
        word.news.CopyFrom(self._updates.since(self._aggregator_cursor.mark))
        return routers_pb2.BoardRequest(
            word=word,
            seen=self._seen,
            board=self._seen_aggregator,
            news_seen=self._news_seen,
            wait_s=wait_s,
            news_only=not wait_s,
        )

    async def _talk(self, address: str) -> None:
        sent_parts = self._parts.dispatcher.sent_parts
        told = sent_parts.count
        reader = UpdateCursor()
        with self._talking[address]:
            while True:
                word = self._word()
                word.parts.extend(_parts_words(sent_parts.since(told)))
                told = sent_parts.count
                word.news.CopyFrom(self._updates.since(reader.mark))
                try:
                    reply = await self._peers.call(
                        address, rpcs.WORD, word, self._clock.now_s() + REPLY_S
                    )
                except (FleetError, TimeoutError):
                    # A neighbour that is gone leaves the roster by its lease; until then
                    # each failure says no more than the one before.
                    await anyio.sleep(QUIET_S)
                    continue
                reader.took(reply.word.lifetime, word.news.mark)
                self._hear(reply.word)
                self._sum_up()
                self._facts.learn(reply, address)
                await self._declarations.fetch(
                    address, reply.word.version, self._peers, self._clock
                )
                await self._pause()

    async def _pause(self) -> None:
        """Wait for the next talk; a large prompt that is sent here ends the wait."""
        if len(self._talking) > FEW_ROUTERS:
            await anyio.sleep(max(TALK_S, len(self._talking) / TALKS_PER_S))
            return
        await anyio.sleep(LEAST_PAUSE_S)
        with anyio.move_on_after(TALK_S - LEAST_PAUSE_S):
            await self._large.wait()

    def _sent_large(self) -> None:
        self._large.set()
        self._large = anyio.Event()

    def _word(self) -> routers_pb2.Word:
        parts = self._parts
        return routers_pb2.Word(
            lifetime=self._lifetime,
            address=self._address,
            version=parts.routing_state.declarations.version
            if parts.routing_state.declarations
            else 0,
            store_age_s=parts.store_status.age_s,
            lanes=_lane_words(parts.dispatcher),
            wants_facts=self._facts.wanted,
            leaving=self.leaving,
        )

    async def _answer(self, asked: routers_pb2.Word) -> routers_pb2.WordReply:
        self._hear(asked)
        self._sum_up()
        reply = routers_pb2.WordReply(word=self._word())
        if asked.wants_facts:
            self._facts.tell(reply)
        return reply

    def _hear(self, word: routers_pb2.Word) -> None:
        self._parts.directory.note_call(word.lifetime, word.address)
        if word.leaving:
            self._leaving.add(word.lifetime)
        self._lanes[word.lifetime] = (self._clock.now_s(), tuple(word.lanes))
        self._updates.merge(word.news, word.address)
        for sent in word.parts:
            backend = self._parts.dispatcher.backends.find(sent.server)
            if backend is not None:
                backend.add_parts(sent.parts, self._clock.now_s())

    def _sum_up(self) -> None:
        """Add up what the neighbours have under way at each server."""
        oldest_unix_s = self._clock.now_s() - STALE_S
        self._lanes = {name: told for name, told in self._lanes.items() if told[0] >= oldest_unix_s}
        requests: Counter[str] = Counter()
        tokens: Counter[str] = Counter()
        for _, lanes in self._lanes.values():
            for word in lanes:
                requests[word.server] += word.in_flight
                tokens[word.server] += word.reading_tokens
        self._parts.dispatcher.backends.apply_reports(
            {server: (count, tokens[server]) for server, count in requests.items()},
            self._clock.now_s(),
        )


def _lane_words(dispatcher: Dispatcher) -> Iterable[routers_pb2.LaneWord]:
    for backend in dispatcher.backends.all():
        if backend.own_in_flight:
            yield routers_pb2.LaneWord(
                server=backend.server.lifetime,
                in_flight=backend.own_in_flight,
                reading_tokens=backend.own_prefilling_tokens,
            )


def _parts_words(sent: Iterable[SentPart]) -> Iterable[routers_pb2.PartsWord]:
    by_server: dict[str, list[str]] = {}
    for one in sent:
        by_server.setdefault(one.server, []).append(one.part)
    for server, parts in by_server.items():
        yield routers_pb2.PartsWord(server=server, parts=dict.fromkeys(parts))
