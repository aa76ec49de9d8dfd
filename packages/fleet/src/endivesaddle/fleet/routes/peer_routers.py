"""Exchange reports with the other routers: loads, and copies of the store during an outage.

One task calls each peer.  What a peer reports of the store's contents is applied only while the
store is unavailable to this router, and only if its store version is newer than this router's.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.overload.reports import OverloadReports
from endivesaddle.fleet.ports import Handlers, Peers
from endivesaddle.fleet.routes import sidecar_events
from endivesaddle.fleet.routes.address_backoff import AddressBackoff
from endivesaddle.fleet.routes.declarations import DeclarationsFetch
from endivesaddle.fleet.routes.instance_directory import InstanceDirectory
from endivesaddle.fleet.routes.leaving_servers import ANSWER
from endivesaddle.fleet.routes.peer_updates import PeerUpdates, UpdateCursor, UpdateSources
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.store_snapshot import StoreSnapshot
from endivesaddle.fleet.routes.store_watch import Decoder
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.sent_parts import SentPart
from endivesaddle.wire import routers_pb2, rpcs

EXCHANGE_S = 0.25
"""Interval between exchanges with one peer, and so the most by which loads are out of date."""
EXCHANGES_PER_S = 20.0
"""Exchanges that one router begins in all: with many routers, it calls each less often."""
MIN_PAUSE_S = 0.02
"""Least interval between exchanges with one peer, however many large prompts are sent."""
MAX_FAST_PEERS = 8
"""With more peers than this, large prompts are not reported at once: that would take more calls
than a router may spend on control."""
AGGREGATOR_POLL_S = 0.5
"""Time that a poll of the aggregator waits for updates."""
COALESCE_S = 0.05
"""Updates that this router learns within this are sent together."""
AGGREGATOR_POLLS_PER_S = 40.0
"""Polls per second, of all routers together, that one aggregator serves."""
AVOID_S = 2.0
LONGEST_AVOID_S = 8.0
"""Least and greatest time for which an aggregator that did not answer is skipped."""
REPLY_S = 0.4
OVERLOADED_REPLY_S = 1.5
"""Time limit of an exchange while this router is overloaded: its own link delays the answer, and
another aggregator would not answer earlier."""
OVERLOADED_EXCHANGE_S = 0.3
"""Interval of exchanges with the aggregator while an overloaded router waits for the others'
reports; a report that was sent at the begin of one has arrived everywhere by the next."""
RETRY_S = 1.0
"""Pause after a failed exchange, so that a lost peer costs one attempt a second."""
STALE_S = 1.2
"""The loads that a peer reported expire after this."""


class PeerRouterParts(NamedTuple):
    """The state that a router reports to its peers, and updates from their reports."""

    routing_state: RoutingState
    store_status: StoreStatus
    dispatcher: Dispatcher
    directory: InstanceDirectory
    decoder: Decoder
    seeds: tuple[str, ...]


class PeerRouters:
    """This router's exchanges with all other routers."""

    def __init__(
        self, parts: PeerRouterParts, peers: Peers, clock: Clock, lifetime: str, address: str
    ) -> None:
        """Report as ``lifetime``, which peers reach at ``address``."""
        self._parts = parts
        self._peers = peers
        self._clock = clock
        self._lifetime = lifetime
        self._address = address
        self.leaving = False
        self.overload_reports: OverloadReports | None = None
        self._avoided_aggregators = AddressBackoff(clock, AVOID_S, LONGEST_AVOID_S)
        self._seen_report = 0
        self._reported_parts = parts.dispatcher.sent_parts.count
        self._seen_aggregator = ''
        self._updates = PeerUpdates(
            UpdateSources(
                parts.dispatcher.crashes,
                parts.routing_state.leaving_servers,
                parts.routing_state.limits,
            ),
            clock,
        )
        self._seen_updates = routers_pb2.NewsMark()
        self._aggregator_cursor = UpdateCursor()
        self._own_updates = anyio.Event()
        parts.directory.view_listeners.append(parts.dispatcher.retry_shares.slack.observe)
        parts.dispatcher.crashes.listeners.append(self._note_update)
        parts.routing_state.leaving_servers.listeners.append(self._note_update)
        parts.routing_state.limits.listeners.append(self._note_update)
        self._leaving: set[str] = set()
        self._store_snapshot = StoreSnapshot(
            parts.routing_state, parts.store_status, parts.directory, clock
        )
        self._declarations = DeclarationsFetch(
            parts.routing_state, parts.store_status, parts.decoder
        )
        self._large_prompt = anyio.Event()
        parts.dispatcher.large_prompt_listeners.append(self._notify_large_prompt)
        self._exchanges: dict[str, anyio.CancelScope] = {}
        self._peer_loads: dict[str, tuple[float, tuple[routers_pb2.LaneWord, ...]]] = {}

    def register(self, handlers: Handlers) -> None:
        """Answer the other routers' calls."""
        handlers.answer(rpcs.WORD, self._answer)
        self._declarations.register(handlers)

    async def run(self) -> None:
        """Exchange reports with each known router until cancelled."""
        self._exchanges.clear()
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll_aggregator)
            group.start_soon(self._notify_aggregator)
            while True:
                addresses = self._addresses()
                for address in addresses - self._exchanges.keys():
                    self._exchanges[address] = anyio.CancelScope()
                    group.start_soon(self._exchange_with, address)
                for address in self._exchanges.keys() - addresses:
                    self._exchanges.pop(address).cancel()
                self._count_routers()
                self._apply_peer_loads()
                await anyio.sleep(EXCHANGE_S)

    def others_stay(self) -> bool:
        """Tell whether another router reported recently and is not stopping."""
        return bool(self._peer_loads.keys() - self._leaving)

    def report_now(self) -> None:
        """Send this router's report at once, as its overload changed."""
        self._own_updates.set()
        self._notify_large_prompt()

    def _addresses(self) -> set[str]:
        outage = (
            self._parts.store_status.unavailable or self._parts.routing_state.declarations is None
        )
        if self._aggregator_address() and not outage:
            return set()
        addresses = set(self._parts.directory.others.values())
        if not addresses or self._parts.routing_state.declarations is None:
            addresses |= set(self._parts.seeds)
        return addresses - {self._address}

    def _count_routers(self) -> None:
        directory, dispatcher = self._parts.directory, self._parts.dispatcher
        dispatcher.crashes.trials.set_routers(self._address, directory.others.values())
        dispatcher.send_limits.set_routers(
            self._address, directory.others.values(), directory.settled
        )

    async def _poll_aggregator(self) -> None:
        """With many routers, exchange reports through an aggregator instead of calling each."""
        poll_unix_s = 0.0
        while True:
            now_unix_s = self._clock.now_s()
            if poll_unix_s <= now_unix_s:
                routers = len(self._parts.directory.others) + 1
                poll_s = max(AGGREGATOR_POLL_S, routers / AGGREGATOR_POLLS_PER_S)
                poll_unix_s = now_unix_s + poll_s
                if self.overload_reports is not None:
                    self.overload_reports.interval_s = poll_s
            wait_s = poll_unix_s - now_unix_s
            address = self._aggregator_address()
            if not address or not await self._exchange_reports(address, wait_s):
                await anyio.sleep(AGGREGATOR_POLL_S)

    async def _notify_aggregator(self) -> None:
        """Send this router's own updates at once, so that others act on them within a second."""
        while True:
            await self._own_updates.wait()
            await anyio.sleep(COALESCE_S)
            self._own_updates = anyio.Event()
            address = self._aggregator_address()
            if address:
                await self._exchange_reports(address, 0)
            await self._fetch_awaited_reports()

    async def _fetch_awaited_reports(self) -> None:
        """Fetch the others' reports without waiting while this router wants to leave the rotation.

        Its link is filling up: a second later it may hear nobody any more.
        """
        while self.overload_reports is not None and self.overload_reports.awaited:
            await anyio.sleep(OVERLOADED_EXCHANGE_S)
            address = self._aggregator_address()
            if address:
                await self._exchange_reports(address, 0, news_only=False)

    def _note_update(self, _: str, source: str = ANSWER) -> None:
        if source == ANSWER:
            self._own_updates.set()

    def _aggregator_address(self) -> str:
        return next(
            (
                one
                for one in self._parts.directory.aggregators
                if self._avoided_aggregators.usable(one)
            ),
            '',
        )

    async def _exchange_reports(
        self, address: str, wait_s: float, *, news_only: bool | None = None
    ) -> bool:
        """Exchange reports through the aggregator; return False if it does not answer.

        The call waits up to ``wait_s`` for updates.  With ``news_only``, the default without a
        wait, the others' reports are not returned.
        """
        reported_parts = self._parts.dispatcher.sent_parts.count
        request = self._aggregator_request(wait_s)
        request.news_only = not wait_s if news_only is None else news_only
        deadline_unix_s = self._clock.now_s() + wait_s + self._reply_s()
        try:
            reply = await self._peers.call(address, rpcs.BOARD, request, deadline_unix_s)
        except (FleetError, TimeoutError) as error:
            sidecar_events.BOARD_LOST.log(sidecar=address, reason=str(error))
            self._avoided_aggregators.record_failure(address)
            return False
        self._avoided_aggregators.record_success(address)
        self._reported_parts = max(self._reported_parts, reported_parts)
        self._aggregator_cursor.record_received(reply.lifetime, request.word.news.mark)
        self._updates.merge(reply.news, address)
        self._seen_updates = reply.news.mark
        for report in reply.words:
            self._merge_report(report)
        self._apply_peer_loads()
        self._seen_report = reply.number
        self._seen_aggregator = reply.lifetime
        return True

    def _aggregator_request(self, wait_s: float) -> routers_pb2.BoardRequest:
        report = self._report()
        sent_parts = self._parts.dispatcher.sent_parts
        report.parts.extend(_parts_messages(sent_parts.since(self._reported_parts)))
        report.news.CopyFrom(self._updates.since(self._aggregator_cursor.mark))
        return routers_pb2.BoardRequest(
            word=report,
            seen=self._seen_report,
            board=self._seen_aggregator,
            news_seen=self._seen_updates,
            wait_s=wait_s,
        )

    def _reply_s(self) -> float:
        reports = self.overload_reports
        return OVERLOADED_REPLY_S if reports is not None and reports.awaited else REPLY_S

    async def _exchange_with(self, address: str) -> None:
        sent_parts = self._parts.dispatcher.sent_parts
        reported_parts = sent_parts.count
        cursor = UpdateCursor()
        with self._exchanges[address]:
            while True:
                report = self._report()
                report.parts.extend(_parts_messages(sent_parts.since(reported_parts)))
                reported_parts = sent_parts.count
                report.news.CopyFrom(self._updates.since(cursor.mark))
                try:
                    reply = await self._peers.call(
                        address, rpcs.WORD, report, self._clock.now_s() + REPLY_S
                    )
                except (FleetError, TimeoutError):
                    # A lost peer leaves the directory when its lease expires; until then
                    # logging each failure would add nothing.
                    await anyio.sleep(RETRY_S)
                    continue
                cursor.record_received(reply.word.lifetime, report.news.mark)
                self._merge_report(reply.word)
                self._apply_peer_loads()
                self._store_snapshot.merge(reply, address)
                await self._declarations.fetch(
                    address, reply.word.version, self._peers, self._clock
                )
                await self._pause()

    async def _pause(self) -> None:
        """Wait until the next exchange; a large prompt sent by this router ends the wait."""
        if len(self._exchanges) > MAX_FAST_PEERS:
            await anyio.sleep(max(EXCHANGE_S, len(self._exchanges) / EXCHANGES_PER_S))
            return
        await anyio.sleep(MIN_PAUSE_S)
        with anyio.move_on_after(EXCHANGE_S - MIN_PAUSE_S):
            await self._large_prompt.wait()

    def _notify_large_prompt(self) -> None:
        self._large_prompt.set()
        self._large_prompt = anyio.Event()

    def _report(self) -> routers_pb2.Word:
        parts = self._parts
        report = routers_pb2.Word(
            lifetime=self._lifetime,
            address=self._address,
            version=parts.routing_state.declarations.version
            if parts.routing_state.declarations
            else 0,
            store_age_s=parts.store_status.age_s,
            lanes=_load_messages(parts.dispatcher),
            wants_facts=self._store_snapshot.wanted,
            leaving=self.leaving,
        )
        if self.overload_reports is not None:
            self.overload_reports.add_to(report)
        return report

    async def _answer(self, report: routers_pb2.Word) -> routers_pb2.WordReply:
        self._merge_report(report)
        self._apply_peer_loads()
        reply = routers_pb2.WordReply(word=self._report())
        if report.wants_facts:
            self._store_snapshot.add_to(reply)
        return reply

    def _merge_report(self, report: routers_pb2.Word) -> None:
        self._parts.directory.note_call(report.lifetime, report.address)
        if report.leaving:
            self._leaving.add(report.lifetime)
        self._peer_loads[report.lifetime] = (self._clock.now_s(), tuple(report.lanes))
        if self.overload_reports is not None:
            self.overload_reports.note(report, self._clock.now_s())
        self._updates.merge(report.news, report.address)
        for sent in report.parts:
            backend = self._parts.dispatcher.backends.find(sent.server)
            if backend is not None and self._parts.dispatcher.prefix_fetch.applies(
                backend, sent.born_unix_ms
            ):
                backend.add_parts(sent.parts, self._clock.now_s())

    def _apply_peer_loads(self) -> None:
        """Sum up the requests and tokens that the peers have in flight at each server."""
        oldest_unix_s = self._clock.now_s() - STALE_S
        self._peer_loads = {
            name: loads for name, loads in self._peer_loads.items() if loads[0] >= oldest_unix_s
        }
        requests: Counter[str] = Counter()
        tokens: Counter[str] = Counter()
        for _, loads in self._peer_loads.values():
            for load in loads:
                requests[load.server] += load.in_flight
                tokens[load.server] += load.reading_tokens
        self._parts.dispatcher.backends.apply_reports(
            {server: (count, tokens[server]) for server, count in requests.items()},
            self._clock.now_s(),
        )
        others = self._parts.directory.others.keys()
        unheard = len(others - self._peer_loads.keys())
        self._parts.dispatcher.waiting.reports_applied(len(others) + 1, unheard)


def _load_messages(dispatcher: Dispatcher) -> Iterable[routers_pb2.LaneWord]:
    for backend in dispatcher.backends.all():
        if backend.own_in_flight:
            yield routers_pb2.LaneWord(
                server=backend.server.lifetime,
                in_flight=backend.own_in_flight,
                reading_tokens=backend.own_prefilling_tokens,
            )


def _parts_messages(sent: Iterable[SentPart]) -> Iterable[routers_pb2.PartsWord]:
    by_server: dict[tuple[str, int], list[str]] = {}
    for one in sent:
        by_server.setdefault((one.server, one.born_unix_ms), []).append(one.part)
    for (server, born_unix_ms), parts in by_server.items():
        yield routers_pb2.PartsWord(
            server=server, parts=dict.fromkeys(parts), born_unix_ms=born_unix_ms
        )
