"""Play a recorded trace against the real routers and sidecars, in virtual time."""

import collections
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

import anyio
import msgspec

from endivesaddle.fleet.budgets import records
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_caller import Got
from endivesaddle.stand_ins.memory_fleet import MemoryFleet, open_fleet
from subjects.trace_faults import faults
from subjects.trace_firm import Firm, World, is_whole, key_of
from subjects.trace_lines import ChangeLine, FaultLine, FleetLine, RequestLine, TopUpLine, Trace

CHAT = '/v1/chat/completions'
PATIENCE_S = 45.0
GRACE_S = 5.0
PAUSES_S = (1.0, 2.0, 4.0, 8.0, 8.0, 8.0)
SETTLE_S = 40.0
SETTLE_WITHIN_S = 60.0
WRITE_S = 20.0
NO_RETRY = frozenset((400, 401, 404, 409, 410))


class Try(NamedTuple):
    """One attempt of a caller: when, where and what came back."""

    router: str
    began_s: float
    ended_s: float
    got: Got
    seen_before: int

    @property
    def outcome(self) -> str:
        """Name what the caller got, as outcome lines do."""
        if is_whole(self.got):
            return 'answered'
        if not self.got.complete:
            return 'broken'
        if b'"not_run":"unknown"' in self.got.body:
            return 'unknown'
        return f'refused {_code(self.got)}'


class Asked(NamedTuple):
    """A request with all its tries."""

    line: RequestLine
    tries: list[Try]

    @property
    def request_key(self) -> str:
        """The key under which claims and backend servers know it."""
        return f'{self.line["account"]}/{self.line["key"]}'

    @property
    def outcome(self) -> str:
        """What the request came to in the end."""
        return self.tries[-1].outcome


class Paid(NamedTuple):
    """A top-up: when it was asked for and when the operator heard "accepted"."""

    account: str
    tokens: int
    asked_s: float
    accepted_s: float


class Played(NamedTuple):
    """A trace that was played to its end; ``bills`` are used tokens by request key."""

    trace: Trace
    firm: Firm
    asked: list[Asked]
    paid: list[Paid]
    not_accepted: list[str]
    bills: dict[str, int]
    states: dict[str, str]
    runs: dict[str, int]
    spent: dict[str, int]
    free: dict[str, int]
    stranded: dict[str, int]
    reserved: dict[str, int]
    reverted: list[str]
    settled_after_s: float
    cpu_s: float


def play(name: str) -> Played:
    """Play a trace by its name."""
    return virtual.run(lambda: _play(Trace(name)))


async def _play(trace: Trace) -> Played:
    began_s = time.process_time()
    async with open_fleet() as fleet:
        return await _Player(fleet, trace).play(began_s)


class _Player:
    def __init__(self, fleet: MemoryFleet, trace: Trace) -> None:
        self._trace = trace
        self._firm = _firm(trace.of('fleet')[0])
        self._world = World(fleet, self._firm)
        self._fleet = fleet
        self._begin_unix_s = 0.0
        self._asked: list[Asked] = []
        self._paid: list[Paid] = []
        self._not_accepted: list[str] = []
        self._reserved: dict[str, int] = {}

    async def play(self, began_s: float) -> Played:
        """Play all lines at their time, let things settle and take stock."""
        await self._world.open()
        await anyio.sleep(self._trace.of('fleet')[0]['aged_s'])
        self._begin_unix_s = self._fleet.clock.now_s()
        async with anyio.create_task_group() as watching:
            watching.start_soon(self._world.watch_revisions)
            async with anyio.create_task_group() as group:
                for line in self._trace.lines:
                    await self._wait(line['at_s'])
                    self._start(group, line)
            ended_s = self._now_s()
            await self._settle()
            bills, states = await self._records()
            watching.cancel_scope.cancel()
        return self._stock(began_s, ended_s, bills, states)

    def _start(self, group: Any, line: Any) -> None:
        players = {'request': self._request, 'top_up': self._top_up, 'change': self._change}
        player = players.get(line['event'])
        if player is not None:
            group.start_soon(player, line)
        elif line['event'] == 'fault':
            self._strike(line)

    def _strike(self, line: FaultLine) -> None:
        faults.find(line['fault'])(self._world, line['names'])

    async def _request(self, line: RequestLine) -> None:
        asked = Asked(line, [])
        self._asked.append(asked)
        for number, router in enumerate(line['routers']):
            done = await self._try(asked, number, router)
            asked.tries.append(done)
            if done.outcome == 'answered' or done.got.status in NO_RETRY:
                return
            await anyio.sleep(max(PAUSES_S[number], _retry_after_s(done.got)))

    async def _try(self, asked: Asked, number: int, router: str) -> Try:
        line = asked.line
        caller = self._fleet.caller(router, key_of(line['account']))
        headers = {'idempotency-key': line['key'], 'x-stainless-retry-count': str(number)}
        if line['once'] and 'method' not in line:
            headers['x-may-repeat'] = 'false'
        seen = self._world.arrivals(asked.request_key)
        began_s = self._now_s()
        got = Got()
        caller.timeout_s = PATIENCE_S
        with anyio.move_on_after(PATIENCE_S + GRACE_S):
            if self._reachable(router):
                got = await caller.ask(*_call(line, self._firm.service), headers=headers)
        return Try(router, began_s, self._now_s(), got, seen)

    async def _top_up(self, line: TopUpLine) -> None:
        text = f'top-up {line["account"]} {line["tokens"]} id:{line["id"]}'
        asked_s = self._now_s()
        if await self._accepted(line['router'], text):
            paid = Paid(line['account'], line['tokens'], asked_s, self._now_s())
            self._paid.append(paid)

    async def _change(self, line: ChangeLine) -> None:
        await self._accepted(line['router'], line['line'])

    async def _accepted(self, router: str, text: str) -> bool:
        """Send a command until it is accepted; note it where it never is."""
        reply: Mapping[str, Any] = {}
        for pause_s in PAUSES_S:
            reply = await self._fleet.command(router, text)
            if reply.get('status') == 0:
                return True
            await anyio.sleep(pause_s)
        self._not_accepted.append(f'{text}: {reply.get("messages")}')
        return False

    async def _settle(self) -> None:
        """Wait until all is settled; a provisional bill may wait longer for a lost holder."""
        deadline_s = self._now_s() + SETTLE_WITHIN_S
        await anyio.sleep(SETTLE_S)
        while self._reserved_tokens() and self._now_s() < deadline_s:
            await anyio.sleep(SETTLE_S)
        self._reserved = self._reserved_tokens()
        await anyio.sleep(WRITE_S)

    def _reserved_tokens(self) -> dict[str, int]:
        """Return what is still reserved, by account."""
        found: collections.Counter[str] = collections.Counter()
        for name in filter(self._reachable, self._world.routers):
            for held in self._fleet.router(name).budgets._shard_manager.held_shards.values():
                for account, ledger in held.ledgers.items() if held else ():
                    found[account] += sum(one.bound_tokens for one in ledger.open.values())
        return dict(+found)

    async def _records(self) -> tuple[dict[str, int], dict[str, str]]:
        bills: dict[str, int] = {}
        states: dict[str, str] = {}
        router = self._alive_router()
        for asked in self._asked:
            line = f'request id:{asked.line["key"]} account:{asked.line["account"]}'
            reply = await self._fleet.command(router, line)
            record = reply.get('details', {}).get('record')
            if record:
                bills[asked.request_key] = record['used_tokens']
                states[asked.request_key] = record['state']
        return bills, states

    def _stock(
        self, began_s: float, ended_s: float, bills: dict[str, int], states: dict[str, str]
    ) -> Played:
        budgets = {name: self._world.budget(name) for name in self._firm.accounts}
        return Played(
            self._trace,
            self._firm,
            self._asked,
            self._paid,
            self._not_accepted,
            bills,
            states,
            {one.request_key: self._world.arrivals(one.request_key) for one in self._asked},
            {name: records.known_spent_tokens(budget) for name, budget in budgets.items()},
            {name: records.free_tokens(budget) for name, budget in budgets.items()},
            {name: _stranded(budget) for name, budget in budgets.items()},
            self._reserved,
            self._world.reverted,
            round(self._now_s() - ended_s),
            time.process_time() - began_s,
        )

    async def _wait(self, at_s: float) -> None:
        await anyio.sleep(max(0, at_s - self._now_s()))

    def _now_s(self) -> float:
        return self._fleet.clock.now_s() - self._begin_unix_s

    def _reachable(self, router: str) -> bool:
        return self._fleet.running[router].address in self._fleet.net.nodes

    def _alive_router(self) -> str:
        return next(name for name in self._world.routers if self._reachable(name))


def _stranded(budget: records.Budget) -> int:
    return sum(entry.ceiling - entry.settled for entry in budget['stranded'])


def _firm(line: FleetLine) -> Firm:
    return Firm(
        tuple(line['data_centres']),
        line['routers'],
        tuple(line['engines']),
        tuple(line['services']),
        tuple(line['models']),
        line['service'],
        line['cost_tokens'],
        line['accounts'],
        line['answer_tokens'],
    )


def _call(line: RequestLine, service: str) -> tuple[str, str, bytes]:
    """Return method, path and body; the first word of a prompt tells whose answer it is."""
    method = line.get('method')
    if method:
        return method, f'/services/{service}/plates/{line["key"]}', b'{}'
    fillers = ' w' * (line['words'] - 1)
    words = f'{line["key"]}.{fillers}'
    body = {
        'model': line['model'],
        'messages': [{'role': 'user', 'content': words}],
        'max_tokens': line['max_tokens'],
        'stream': line['stream'],
    }
    return 'POST', CHAT, msgspec.json.encode(body)


def _code(got: Got) -> str:
    """Return the code of an error, also of one at the end of a stream."""
    if b'"code":"' not in got.body:
        return str(got.status)
    return got.body.rpartition(b'"code":"')[2].partition(b'"')[0].decode()


def _retry_after_s(got: Got) -> float:
    return float(got.headers.get('retry-after', 0))
