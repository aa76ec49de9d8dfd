"""The whole path of requests, from declarations to what support engineers are told."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import anyio

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.ledger import Ledger
from endivesaddle.fleet.registry import Registry
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_caller import Got
from endivesaddle.stand_ins.memory_fleet import open_fleet
from subjects.trace_firm import Firm, World, is_whole, key_of, text_of

CHAT = '/v1/chat/completions'
LARGE = 'patel-laser'
SMALL = 'aji-press'
WORDS = 5
TOKENS = 40
SERVICE_COST = 7
SETTLE_S = 30.0
FIRM = Firm(
    data_centres=('aji-hall', 'metoda-hall', 'shapar-hall'),
    routers=2,
    engines=(1, 1, 1),
    services=(1, 0, 0),
    models=('nesting',),
    service='records',
    cost_tokens=SERVICE_COST,
    accounts={LARGE: 100_000, SMALL: 60},
    answer_tokens=TOKENS,
)


class Sent(NamedTuple):
    """A request that has to be answered, and what came back."""

    account: str
    key: str
    service: bool
    got: Got

    @property
    def cost_tokens(self) -> int:
        """What it has to be billed."""
        return SERVICE_COST if self.service else WORDS + TOKENS


class Scene:
    """A fleet under way, and what plays note for the checks."""

    def __init__(self, world: World) -> None:
        """Note nothing yet."""
        self.world = world
        self.sent: list[Sent] = []
        self.last: dict[str, Got] = {}
        self.notes: dict[str, Any] = {}

    async def chat(self, router: str, key: str, account: str = LARGE, **changes: Any) -> Got:
        """Ask for a chat."""
        body = {
            'model': 'nesting',
            'messages': [{'role': 'user', 'content': f'{key}. w w w w'}],
            'max_tokens': TOKENS,
            'stream': True,
            **changes,
        }
        caller = self.world.fleet.caller(router, key_of(account))
        return await caller.post(CHAT, body, {'idempotency-key': key})

    async def bills(self) -> dict[str, int]:
        """Return what the records say was billed, by key."""
        await anyio.sleep(SETTLE_S)
        router = next(name for name in self.world.routers if self.alive(name))
        found = {}
        for sent in self.sent:
            line = f'request id:{sent.key} account:{sent.account}'
            reply = await self.world.fleet.command(router, line)
            found[sent.key] = reply['details']['record']['used_tokens']
        return found

    def alive(self, router: str) -> bool:
        """Tell whether a router was not killed."""
        fleet = self.world.fleet
        return fleet.running[router].address in fleet.net.nodes

    def reserved_tokens(self) -> int:
        """Return what is reserved at all holders."""
        ledgers: list[Ledger] = []
        for name in self.world.routers:
            kept = self.world.fleet.router(name).budgets._shard_manager.held_shards.values()
            for held in filter(None, kept):
                ledgers.extend(held.ledgers.values())
        return sum(ledger.reserved for ledger in ledgers)


Play = Callable[[Scene], Awaitable[None]]
plays: Registry[Play] = Registry('play of the whole path')


@plays.add('three answers')
async def three_answers(scene: Scene) -> None:
    """Ask for a streamed, a whole and a service answer, each in another data centre."""
    one, two, three = scene.world.routers[::2]
    scene.sent.append(Sent(LARGE, 'streamed', False, await scene.chat(one, 'streamed')))
    whole = await scene.chat(two, 'whole', stream=False)
    scene.sent.append(Sent(LARGE, 'whole', False, whole))
    caller = scene.world.fleet.caller(three, key_of(LARGE))
    path = '/services/records/plates/label'
    label = await caller.post(path, {}, {'idempotency-key': 'label'})
    scene.sent.append(Sent(LARGE, 'label', True, label))


@plays.add('lost router')
async def lost_router(scene: Scene) -> None:
    """Kill a router in mid-stream, and ask again elsewhere while the run goes on."""
    first, elsewhere = scene.world.routers[0], scene.world.routers[2]
    async with anyio.create_task_group() as group:
        group.start_soon(scene.chat, first, 'plan-1')
        await anyio.sleep(0.6)
        scene.world.fleet.kill(first)
    scene.sent.append(Sent(LARGE, 'plan-1', False, await scene.chat(elsewhere, 'plan-1')))


@plays.add('other body')
async def other_body(scene: Scene) -> None:
    """Use a key twice."""
    await scene.chat(scene.world.routers[0], 'plan-2')
    scene.last['last'] = await scene.chat(scene.world.routers[2], 'plan-2', max_tokens=8)


@plays.add('over budget')
async def over_budget(scene: Scene) -> None:
    """Ask for more than there is; top up and ask under a new key."""
    scene.last['last'] = await scene.chat(scene.world.routers[0], 'plan-3', SMALL)
    scene.notes['arrivals'] = scene.world.arrivals(f'{SMALL}/plan-3')
    scene.notes['reserved'] = scene.reserved_tokens()
    line = f'top-up {SMALL} 500 id:invoice-7'
    reply = await scene.world.fleet.command(scene.world.routers[3], line)
    assert reply['status'] == 0, reply
    scene.last['topped up'] = await scene.chat(scene.world.routers[4], 'plan-4', SMALL)


@plays.add('router gone')
async def router_gone(scene: Scene) -> None:
    """Have a request answered, kill its router, and ask all others about it."""
    first = scene.world.routers[1]
    scene.sent.append(Sent(LARGE, 'plan-5', False, await scene.chat(first, 'plan-5')))
    await anyio.sleep(SETTLE_S)
    scene.world.fleet.kill(first)
    await anyio.sleep(SETTLE_S)
    others = [name for name in scene.world.routers if scene.alive(name)]
    fleet = scene.world.fleet
    scene.notes['told'] = {name: await fleet.command(name, 'request id:plan-5') for name in others}
    scene.notes['dumps'] = [
        await fleet.command(others[0], f'dump {name}') for name in (others[1], 'aji-hall-llm-1')
    ]


class Seen(NamedTuple):
    """What a play left for the checks."""

    sent: list[Sent]
    last: Mapping[str, Got]
    notes: Mapping[str, Any]
    bills: Mapping[str, int]
    spent: Mapping[str, int]
    arrivals: Mapping[str, int]


class WholePath:
    """Plays one story in a fleet of its own, and checks it afterwards."""

    def __init__(self) -> None:
        """Play nothing yet."""
        self._seen: Seen | None = None
        self._looked_at = 'last'

    def play(self, name: str) -> None:
        """Play a story by its name."""
        self._seen = virtual.run(lambda: _play(plays.find(name)))

    def look_at(self, name: str) -> None:
        """Look at another answer of the same story from now on."""
        self._looked_at = name

    @property
    def seen(self) -> Seen:
        """What was played."""
        assert self._seen is not None
        return self._seen

    @property
    def last(self) -> tuple[int, str]:
        """Status and code of the answer that is looked at."""
        got = self.seen.last[self._looked_at]
        return got.status, got.code

    def check_answers(self) -> None:
        """Compare each answer with its request."""
        assert self.seen.sent
        for sent in self.seen.sent:
            assert is_whole(sent.got), (sent.key, sent.got.status, sent.got.body)
            if sent.service:
                assert sent.got.json()['plate'] == sent.key
            else:
                words = ''.join(f'{sent.key}.{index} ' for index in range(TOKENS))
                assert text_of(sent.got) == words, sent.got.body

    def check_bills(self) -> None:
        """Compare the records' bills and the store with the costs."""
        costs = {sent.key: sent.cost_tokens for sent in self.seen.sent}
        assert self.seen.bills == costs, (self.seen.bills, costs)
        assert self.seen.spent[LARGE] == sum(costs.values()), (self.seen.spent, costs)

    def check_one_run(self) -> None:
        """Count arrivals at engines."""
        assert set(self.seen.arrivals.values()) == {1}, self.seen.arrivals

    def check_nothing_ran(self) -> None:
        """Look at the engines and ledgers right after the refusal."""
        assert self.seen.last['last'].json()['error']['not_run'] is True
        assert self.seen.notes['arrivals'] == 0
        assert self.seen.notes['reserved'] == 0

    def check_told(self) -> None:
        """Every router has to tell the same."""
        assert len(self.seen.notes['told']) == len(FIRM.router_places()) - 1
        for name, reply in self.seen.notes['told'].items():
            record = reply['details']['record']
            told = (record['outcome'], record['used_tokens'], record['attempt'])
            assert told == ('answered', WORDS + TOKENS, 1), (name, reply)
            steps = {step['name'] for step in reply['rows']}
            missing = {'claimed', 'dispatched', 'started', 'ended', 'settled'} - steps
            assert not missing, (name, missing)

    def check_dumps(self) -> None:
        """A router and a sidecar tell the state of their parts."""
        router, sidecar = (reply['details']['state'] for reply in self.seen.notes['dumps'])
        assert {'membership', 'budgets', 'claims', 'routing'} <= router.keys(), router.keys()
        assert {'membership', 'runs', 'orders'} <= sidecar.keys(), sidecar.keys()


async def _play(play: Play) -> Seen:
    async with open_fleet() as fleet:
        world = World(fleet, FIRM)
        await world.open()
        scene = Scene(world)
        await play(scene)
        bills = await scene.bills()
        spent = {name: records.known_spent_tokens(world.budget(name)) for name in FIRM.accounts}
        arrivals = {sent.key: world.arrivals(f'{sent.account}/{sent.key}') for sent in scene.sent}
        return Seen(scene.sent, scene.last, scene.notes, bills, spent, arrivals)
