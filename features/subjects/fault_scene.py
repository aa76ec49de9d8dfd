"""One scene of the fault matrix: a fleet, a caller that retries, and injected faults."""

from collections import Counter
from typing import Any, NamedTuple

import anyio

from endivesaddle.fleet.configuration import shard_of
from endivesaddle.fleet.requests import RequestSettings
from endivesaddle.operators.access import token_digest
from endivesaddle.stand_ins.engine_state import EngineState
from endivesaddle.stand_ins.memory_caller import Got
from endivesaddle.stand_ins.memory_fleet import MemoryFleet, Place
from endivesaddle.stand_ins.memory_peers import Fault, Moment
from endivesaddle.wire import rpcs
from subjects.fault_tables import Injection, Step

KEY = 'key-of-atelier'
ACCOUNT = 'atelier'
BUDGET_TOKENS = 400
REQUEST = 'board-7'
REQUEST_KEY = f'{ACCOUNT}/{REQUEST}'
CHAT = '/v1/chat/completions'
REQUEST_TIMEOUT_S = 15.0
CALLER_TIMEOUT_S = 20.0
HEAL_AFTER_S = 30.0
HEAL_POLL_S = 0.1
TRIES = 7
SLOW_TOKEN_S = 1.5
UNREPEATABLE_TRIES = 4
SETTLE_S = 75.0
BILL_WITHIN_S = 20.0
"""Shorter than the default, so that a scene becomes idle soon."""
DECLARATIONS = f"""
[data_centres]
porto-a = "porto"
porto-b = "porto"

[accounts.{ACCOUNT}]
key_digests = ["{token_digest(KEY)}"]
budget_tokens = {BUDGET_TOKENS}

[models.board]
max_output_tokens = 64

[models.once]
max_output_tokens = 64

[[repeat_rules]]
model = "once"
repeat = "never"
"""
SERVER = """
[servers.{name}]
data_centre = "{data_centre}"
url = "http://127.0.0.1:1"
kind = "engine"
models = ["board", "once"]
"""
ROUTERS = (
    Place('r1', 'porto-a'),
    Place('r2', 'porto-a'),
    Place('r3', 'porto-b'),
    Place('r4', 'porto-b'),
)
SIDECARS = (
    Place('s1', 'porto-a', 'llm-1'),
    Place('s2', 'porto-a', 'llm-2'),
    Place('s3', 'porto-b', 'llm-3'),
)


class Try(NamedTuple):
    """One call of the caller: the response, and how often engines had the request before."""

    router: str
    got: Got
    seen_before: int
    began_unix_s: float
    ended_unix_s: float

    @property
    def whole(self) -> bool:
        """Tell whether the caller got a complete answer without an error."""
        return self.got.complete and self.got.status == 200 and b'"error"' not in self.got.body


class Expected(NamedTuple):
    """Which promises apply under the faults of a scene.

    ``single``: there is only one fault; two may use up a request's deadline.
    ``graceful``: the fault is a stop that must cut no request. ``paused``: the router can't
    answer in time.
    """

    single: bool = True
    graceful: bool = False
    paused: bool = False


class Scene:
    """A fleet of two data centres, with faults injected at steps of a request."""

    def __init__(self, fleet: MemoryFleet, unrepeatable: bool, stream: bool) -> None:
        """Initialize; ``unrepeatable`` is set if the request may not be repeated."""
        self.fleet = fleet
        fleet.shards = {shard_of(ACCOUNT)}
        fleet.requests = RequestSettings(settle_until_s=BILL_WITHIN_S)
        self.unrepeatable = unrepeatable
        self.stream = stream
        self.near = 'porto-a'
        self.far = 'porto-b'
        self.entry = ''
        self.holder = ''
        self.sidecar = 's1'
        self.engines: dict[str, EngineState] = {}
        self.tries: list[Try] = []
        self.injected_unix_s = 0.0
        self.reverted: list[str] = []
        self.expected = Expected()
        self._pending: list[tuple[Step, Injection]] = []
        self._passed: Counter[tuple[str, str]] = Counter()
        self._retry_now = anyio.Event()
        self._revisions: dict[str, int] = {}

    @property
    def injected_all(self) -> bool:
        """Tell whether every fault was injected."""
        return not self._pending

    async def open(self) -> None:
        """Start the fleet and apply the declarations."""
        self.fleet.add_routers(*ROUTERS)
        for place in SIDECARS:
            engine = self.fleet.add_sidecar(place)
            engine.switches.token_s = 0.05
            self.engines[place.name] = engine
        await anyio.sleep(4)
        servers = [SERVER.format(name=p.server, data_centre=p.data_centre) for p in SIDECARS]
        text = DECLARATIONS + ''.join(servers)
        reply = await self.fleet.command('r1', f'apply file:azulejo.toml base:0\n{text}')
        assert reply['status'] == 0, reply
        await anyio.sleep(4)
        self._find_places()

    def inject_at(self, step: Step, inject: Injection) -> None:
        """Inject a fault when its step is reached; each of several waits for its own step."""
        self._pending.append((step, inject))
        self.fleet.net.observers = [self._observe]

    async def play(self) -> None:
        """Have the caller send the request and retry it until it has a whole answer."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_revisions)
            group.start_soon(self._heal_later)
            group.start_soon(self._retry_on_signal)
            for number in range(UNREPEATABLE_TRIES if self.unrepeatable else TRIES):
                done = await self._send(self._router_of(number), number)
                if done.whole:
                    break
                await anyio.sleep(4 * (number + 1))
            await anyio.sleep(SETTLE_S)
            group.cancel_scope.cancel()

    def arrivals(self) -> int:
        """Return how often engines received the request."""
        seen = [key for engine in self.engines.values() for key in engine.seen]
        return seen.count(REQUEST_KEY)

    def partition(self, one: str, other: str) -> None:
        """Partition two instances."""
        running = self.fleet.running
        self.fleet.net.part({running[one].address}, {running[other].address})

    def one_way(self, sender: str, receiver: str, fault: Fault) -> None:
        """Put a fault on the messages from one instance to another."""
        running = self.fleet.running
        pair = (running[sender].address, running[receiver].address)
        self.fleet.net.faults[pair] = fault

    def from_router(self, fault: Fault) -> None:
        """Put a fault on all messages of the entry router."""
        for name in self.fleet.running:
            if name != self.entry:
                self.one_way(self.entry, name, fault)

    def retry_concurrently(self) -> None:
        """Have the caller retry at a router of the other data centre now."""
        self._retry_now.set()

    def stop(self, name: str) -> None:
        """Stop an instance gracefully, and kill it once it has drained.

        The engines are slow from then on, so that the answer lasts longer than the
        notice before the stop.
        """
        for engine in self.engines.values():
            engine.switches.token_s = SLOW_TOKEN_S
        group = self.fleet.net.group
        assert group is not None
        group.start_soon(self._stop, name)

    def routers(self) -> list[str]:
        """Return the names of the running routers."""
        return [
            name
            for name, running in self.fleet.running.items()
            if running.engine is None and running.address in self.fleet.net.nodes
        ]

    async def _stop(self, name: str) -> None:
        node = self.fleet.running[name].node
        await node.leave()
        await anyio.sleep(3)
        with anyio.move_on_after(60):
            await node.drain()
        self.fleet.kill(name)

    def _find_places(self) -> None:
        names = {running.address: name for name, running in self.fleet.running.items()}
        budgets = self.fleet.router('r1').budgets
        self.holder = names[budgets.holder_address(ACCOUNT, self.near)]
        self.entry = 'r2' if self.holder == 'r1' else 'r1'

    def _router_of(self, number: int) -> str:
        """Return the entry router for the first try, then other running routers in turn.

        The order starts in the other data centre, as a load balancer may choose.
        """
        if number == 0:
            return self.entry
        order = ['r3', self.holder, 'r4', self.entry]
        alive = [
            name
            for name in order
            if self.fleet.running[name].address in self.fleet.net.nodes
            and self.fleet.running[name].address not in self.fleet.net.paused
        ]
        return alive[(number - 1) % len(alive)]

    async def _send(self, router: str, number: int) -> Try:
        caller = self.fleet.caller(router, KEY)
        caller.timeout_s = CALLER_TIMEOUT_S
        body = {
            'model': 'once' if self.unrepeatable else 'board',
            'messages': [{'role': 'user', 'content': 'hello there'}],
            'max_tokens': 20,
            'stream': self.stream,
        }
        headers = {
            'idempotency-key': REQUEST,
            'x-stainless-retry-count': str(number),
            'x-timeout-s': str(REQUEST_TIMEOUT_S),
        }
        seen = self.arrivals()
        began_unix_s = self.fleet.clock.now_s()
        got = await caller.post(CHAT, body, headers)
        done = Try(router, got, seen, began_unix_s, self.fleet.clock.now_s())
        self.tries.append(done)
        return done

    async def _retry_on_signal(self) -> None:
        await self._retry_now.wait()
        await self._send('r3', 1)

    async def _observe(self, moment: Moment) -> None:
        self._passed[moment.phase, moment.path] += 1
        for step, inject in list(self._pending):
            wanted = (step.phase, step.path)
            if wanted == (moment.phase, moment.path) and self._passed[wanted] >= step.nth:
                self._pending.remove((step, inject))
                self._inject(moment, inject)

    def _inject(self, moment: Moment, inject: Injection) -> None:
        if moment.path in {rpcs.START.path, rpcs.FOLLOW.path}:
            self._name_sidecar(moment.receiver)
        self.injected_unix_s = self.fleet.clock.now_s()
        inject(self)

    def _name_sidecar(self, address: str) -> None:
        for name, running in self.fleet.running.items():
            if running.address == address:
                self.sidecar = name

    async def _heal_later(self) -> None:
        """Repair each fault a while after its injection."""
        healed_unix_s = 0.0
        while True:
            await anyio.sleep(HEAL_POLL_S)
            due_unix_s = self.injected_unix_s + HEAL_AFTER_S
            if healed_unix_s < self.injected_unix_s and due_unix_s <= self.fleet.clock.now_s():
                healed_unix_s = self.fleet.clock.now_s()
                self._heal()

    def _heal(self) -> None:
        self.fleet.net.heal()
        self.fleet.net.paused.clear()
        self.fleet.store.lose_answers = 0
        self.fleet.store.fail(down=False)
        for engine in self.engines.values():
            engine.switches.unreachable = False
            engine.switches.die_after_tokens = -1
        for name, running in list(self.fleet.running.items()):
            if running.address not in self.fleet.net.nodes:
                self.fleet.restart(name)

    async def _watch_revisions(self) -> None:
        """Note every instance that returns to an older revision within one incarnation."""
        while True:
            for name, running in self.fleet.running.items():
                node: Any = running.node
                incarnation = f'{name}/{node.state.identity.incarnation}'
                revision = node.distribution.revision
                if revision < self._revisions.get(incarnation, 0):
                    self.reverted.append(incarnation)
                self._revisions[incarnation] = revision
            await anyio.sleep(0.5)
