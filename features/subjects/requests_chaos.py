"""Subject: seeded faults at random times during one request and its retries."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.configuration import shard_of
from endivesaddle.fleet.sentinels import NOT_RUN
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_peers import Fault
from endivesaddle.wire import holders_pb2, rpcs
from subjects.requests_fakes import TOKENS
from subjects.requests_fleet import DATA_CENTRES, Fleet, fleet
from subjects.requests_plays import KEY
from subjects.requests_plays_links import lose_first_reply, repeat_each

ROUTERS = ('router-a1', 'router-a2', 'router-b1', 'router-b2')
SIDECARS = ('sidecar-A', 'sidecar-B')
LOSABLE = (rpcs.CLAIM, rpcs.ASK, rpcs.NOTE, rpcs.SETTLE, rpcs.COPY)
REST_S = 110.0
SETTLE_UNTIL_S = 40.0
DEADLINE_S = 40.0


class Broken(NamedTuple):
    """A promise that was broken with a seed."""

    seed: int
    promise: str
    detail: str


class Chaos:
    """One seed: a request, its retries, and a few faults during them."""

    def __init__(self, seed: int, most_faults: int = 3) -> None:
        """Draw the kind of request from the seed."""
        self.most_faults = most_faults
        self.seed = seed
        self.random = random.Random(seed)
        self.may_repeat = self.random.choice((True, False))
        self.stream = self.random.choice((True, False))
        self.faults: list[str] = []
        self.broken: list[Broken] = []
        self.outcomes: list[str] = []

    async def play(self) -> None:
        """Play the seed and check the promises."""
        async with fleet(settle_until_s=SETTLE_UNTIL_S) as running:
            async with anyio.create_task_group() as group:
                group.start_soon(self._callers, running)
                for _ in range(self.random.randint(1, self.most_faults)):
                    group.start_soon(self._fault, running)
            running.net.heal()
            running.net.paused.clear()
            await anyio.sleep(REST_S)
            self._check(running)

    async def _callers(self, running: Fleet) -> None:
        calls = self.random.randint(1, 3)
        began_s = [0.0, *sorted(self.random.uniform(0.1, 9) for _ in range(calls - 1))]
        async with anyio.create_task_group() as group:
            for number, wait_s in enumerate(began_s):
                router = self.random.choice(ROUTERS)
                group.start_soon(self._call, running, number, wait_s, router)

    async def _call(self, running: Fleet, number: int, wait_s: float, router: str) -> None:
        await anyio.sleep(wait_s)
        if running.routers[router].dead.is_set():
            return
        fields = {
            'first_attempt': not number,
            'may_repeat': self.may_repeat,
            'stream': self.stream,
            'deadline_unix_s': running.clock.now_s() + DEADLINE_S,
        }
        timeout_s = self.random.choice((DEADLINE_S, DEADLINE_S, self.random.uniform(0, 8)))
        with anyio.move_on_after(timeout_s):
            await running.call(f'call {number}', router, **fields)

    async def _fault(self, running: Fleet) -> None:
        fault = self.random.choice(FAULTS)
        wait_s = self.random.uniform(0, 6)
        self.faults.append(f'{fault.__name__} at {wait_s:.2f}')
        draw = random.Random(self.random.random())
        await anyio.sleep(wait_s)
        await fault(running, draw)

    def _check(self, running: Fleet) -> None:
        received = list(running.received.values())
        runs = running.seen[KEY]
        bills = [tokens for _, key, tokens in running.ledger.bills if key == KEY]
        whole = [one for one in received if one.whole and one.refusal is None]
        if not self.may_repeat and runs > 1:
            self._break('runs at most once', f'{runs} runs')
        if len(bills) > 1:
            self._break('billed once', str(bills))
        # Runs under the epoch of a replaced holder are counted by the budgets from the
        # reports collected when the epoch is sealed, which the fake ledger does not do.
        replaced = running.ledger.epochs.total()
        if whole and not bills and not replaced:
            self._break('an answer is billed', str(running.ledger.reserved))
        if running.ledger.reserved and not replaced:
            self._break('nothing stays reserved', str(running.ledger.reserved))
        refusals = [one.refusal for one in received if one.refusal is not None]
        if runs and len(refusals) == len(received):
            if any(refusal.not_run == NOT_RUN for refusal in refusals):
                self._break('not run is the truth', str(refusals))
        for one in whole:
            self._check_whole(one.body.decode())
        self.outcomes = ['whole' for _ in whole]
        self.outcomes += [refusal.code for refusal in refusals]

    def _check_whole(self, answer: str) -> None:
        expected = [
            ''.join(f'{server}{index} ' for index in range(TOKENS)) for server in ('A', 'B')
        ]
        if answer.removesuffix('data: [DONE]\n\n') not in expected:
            self._break('whole answer of one run', answer)

    def _break(self, promise: str, detail: str) -> None:
        self.broken.append(Broken(self.seed, promise, f'{detail}; {"; ".join(self.faults)}'))


FaultOf = Callable[[Fleet, random.Random], Awaitable[None]]


async def router_dies(running: Fleet, draw: random.Random) -> None:
    """Kill a router that is not a holder."""
    name = draw.choice(('router-a2', 'router-b2'))
    if name not in running.ledger.holders.values():
        running.kill_router(name)


async def holder_dies(running: Fleet, draw: random.Random) -> None:
    """Kill a holder; after a while its successor seals the epoch and recovers the claims."""
    data_centre = draw.choice(DATA_CENTRES)
    successor = f'router-{data_centre[-1]}2'
    if running.routers[successor].dead.is_set() or running.ledger.epochs[data_centre]:
        return
    running.take_over(data_centre, successor, recovered=False)
    await anyio.sleep(draw.uniform(0.5, 4))
    await recover(running, data_centre, successor)


async def recover(running: Fleet, data_centre: str, successor: str) -> None:
    """Seal the previous epoch and have the successor merge the records of its runs."""
    message = holders_pb2.SealRequest(
        shard=shard_of('azulejo'), data_centre=data_centre, below_epoch=2
    )
    records: list[holders_pb2.Record] = []
    live = [router for router in running.routers.values() if not router.dead.is_set()]
    for router in live:
        records.extend(await router.claims.seal(message))
    for sidecar in running.sidecars.values():
        records.extend(await sidecar.runs.seal(message))
    complete = not running.notes.get('sidecars lost')
    running.routers[successor].claims.adopt(shard_of('azulejo'), records, complete)
    if complete:
        running.ledger.unrecovered.discard(successor)


async def sidecar_dies(running: Fleet, draw: random.Random) -> None:
    """Kill a sidecar; it may restart at the same address soon after."""
    server = draw.choice(('A', 'B'))
    running.notes['sidecars lost'] = 1
    running.kill_sidecar(server)
    await anyio.sleep(draw.uniform(0.1, 5))
    if draw.choice((True, True, False)):
        again = running.sidecars[server].identity.incarnation + 1
        running.add_sidecar(server, f'porto-{server.lower()}', incarnation=again)


async def engine_breaks(running: Fleet, draw: random.Random) -> None:
    """Have an engine break off during its answer."""
    running.sidecars[draw.choice(('A', 'B'))].engine.lose_after = draw.randrange(TOKENS)


async def partition(running: Fleet, draw: random.Random) -> None:
    """Partition the data centres for a while."""
    one = {'router-a1', 'router-a2', 'sidecar-A'}
    other = {'router-b1', 'router-b2', 'sidecar-B'}
    running.net.part(one, other, draw.choice((Fault.SILENT, Fault.CUT)))
    await anyio.sleep(draw.uniform(1, 30))
    running.net.heal()


async def link_silent(running: Fleet, draw: random.Random) -> None:
    """Put a fault on one connection, in one direction or both."""
    left, right = draw.sample((*ROUTERS, *SIDECARS), 2)
    kind = draw.choice(list(Fault))
    running.net.faults[left, right] = kind
    if draw.choice((True, False)):
        running.net.faults[right, left] = kind
    await anyio.sleep(draw.uniform(1, 30))
    running.net.heal()


async def pauses(running: Fleet, draw: random.Random) -> None:
    """Make an instance unresponsive for a while."""
    address = draw.choice((*ROUTERS, *SIDECARS))
    running.net.paused.add(address)
    await anyio.sleep(draw.uniform(0.5, 10))
    running.net.paused.discard(address)


async def reply_lost(running: Fleet, draw: random.Random) -> None:
    """Lose the next reply to one kind of call."""
    address = draw.choice(ROUTERS)
    if address in running.net.nodes:
        lose_first_reply(running, address, draw.choice(LOSABLE))


async def start_reply_lost(running: Fleet, draw: random.Random) -> None:
    """Lose the reply to the next START."""
    address = draw.choice(SIDECARS)
    if address in running.net.nodes:
        lose_first_reply(running, address, rpcs.START)


async def comes_twice(running: Fleet, draw: random.Random) -> None:
    """Deliver every call to one instance twice."""
    address = draw.choice((*ROUTERS, *SIDECARS))
    if address in running.net.nodes:
        repeat_each(running, address)


FAULTS: tuple[FaultOf, ...] = (
    router_dies,
    holder_dies,
    sidecar_dies,
    engine_breaks,
    partition,
    link_silent,
    pauses,
    reply_lost,
    start_reply_lost,
    comes_twice,
)


def play(seeds: range) -> list[Chaos]:
    """Play the seeds, each on its own fleet."""
    played = []
    for seed in seeds:
        chaos = Chaos(seed)
        virtual.run(chaos.play)
        played.append(chaos)
    return played
