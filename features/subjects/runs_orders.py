"""Subject: keepers of orders beside one engine, one of them perhaps paused."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.runs import OrderKeeper, RunSettings
from endivesaddle.operators.fences import Fences
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.engine_memory import MemoryEngine
from endivesaddle.stand_ins.engine_state import EngineState
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire import runs_pb2

SERVER = 'porto-a/llm-1'


class PausableEngine(MemoryEngine):
    """An engine's client whose process can be paused right before an order leaves."""

    def __init__(self, state: EngineState) -> None:
        """Start awake."""
        super().__init__(state)
        self.awake = anyio.Event()
        self.awake.set()
        self.pauses_at_order = False

    async def order(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        """Give the order once awake: it leaves before the process looks at its deadlines."""
        if self.pauses_at_order:
            self.awake = anyio.Event()
        with anyio.CancelScope(shield=self.pauses_at_order):
            await self.awake.wait()
            return await super().order(message)


Called = Callable[[str, tuple[Any, ...]], None]


class PausableStore:
    """A store as a process sees it that can be paused: its calls wait too."""

    def __init__(self, store: MemoryStore, engine: PausableEngine, called: Called) -> None:
        """Pause with ``engine``."""
        self._store = store
        self._engine = engine
        self._called = called

    def __getattr__(self, name: str) -> Any:
        """Return a call of the store that is made once awake."""
        call = getattr(self._store, name)

        async def paused(*arguments: Any) -> Any:
            await self._engine.awake.wait()
            reply = await call(*arguments)
            self._called(name, arguments)
            return reply

        return paused


class Orders:
    """Keepers of orders one after another, their engine and their store.

    Steps queue actions with ``later``; ``played`` runs them in order, once.
    """

    def __init__(self, checks_orders: bool = True) -> None:
        """Build it; nothing runs before it is played."""
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.state = EngineState(checks_orders=checks_orders)
        self.replies: list[runs_pb2.OrderReply] = []
        self.took_s = 0.0
        self.dump: dict[str, Any] = {}
        self.numbers: list[tuple[str, int]] = []
        self.falls_after_key = ''
        self._server = BackendServer(
            SERVER, 'porto-a', 'http://engine', 'engine', checks_orders=checks_orders
        )
        self._script: list[Action] = []
        self._engines: list[PausableEngine] = []
        self._keepers: list[OrderKeeper] = []
        self._tasks: anyio.abc.TaskGroup | None = None

    def later(self, action: Action) -> None:
        """Queue an action."""
        self._script.append(action)

    def played(self) -> Orders:
        """Run what was queued, in virtual time."""
        if self._script:
            virtual.run(self._play)
            self._script = []
        return self

    async def order(self, text: str, fence: int, order_id: str) -> None:
        """Order the newest keeper and keep the reply."""
        began_s = self.clock.now_s()
        self.replies.append(await self._order(self._keepers[-1], text, fence, order_id))
        self.took_s = self.clock.now_s() - began_s

    async def take_number(self, order_id: str) -> None:
        """Take a fencing number as the command of operators does."""
        fences = Fences(self.store, self.clock, 0.1)
        fence = await fences.of(SERVER, order_id, self.clock.now_s() + 5)
        self.numbers.append((order_id, fence.number))

    async def order_paused(self, text: str, fence: int) -> None:
        """Order the newest keeper, which is paused when the order is about to leave."""
        self._engines[-1].pauses_at_order = True
        self.tasks.start_soon(self._order, self._keepers[-1], text, fence, 'o-paused')
        await anyio.sleep(1)

    async def wake(self) -> None:
        """Let the paused keeper go on."""
        self._engines[0].pauses_at_order = False
        self._engines[0].awake.set()

    async def succeed(self) -> None:
        """Start another sidecar beside the engine; the one before goes on."""
        number = len(self._keepers) + 1
        engine = PausableEngine(self.state)
        identity = Identity(
            f'porto-a/sidecar-{number}', 'sidecar', 'porto-a', 'west', '', number, SERVER
        )
        keeper = OrderKeeper(
            RunSettings(),
            PausableStore(self.store, engine, self._called),
            engine,
            self._server,
            identity,
            self.clock,
        )
        self._engines.append(engine)
        self._keepers.append(keeper)
        self.tasks.start_soon(keeper.run)

    async def fail_store(self, down: bool, after_s: float = 0) -> None:
        """Take the store down or bring it back, at once or beside what comes next."""
        if after_s:
            self.tasks.start_soon(self._fail_later, down, after_s)
        else:
            self.store.fail(down)

    @property
    def tasks(self) -> anyio.abc.TaskGroup:
        """The tasks of the scene."""
        assert self._tasks is not None
        return self._tasks

    def _called(self, name: str, arguments: tuple[Any, ...]) -> None:
        key = arguments[0]
        falls = self.falls_after_key
        if name == 'swap' and falls and key.startswith(falls):
            self.falls_after_key = ''
            self.store.fail(True)

    async def _fail_later(self, down: bool, after_s: float) -> None:
        await anyio.sleep(after_s)
        self.store.fail(down)

    async def _order(
        self, keeper: OrderKeeper, text: str, fence: int, order_id: str
    ) -> runs_pb2.OrderReply:
        kind, _, argument = text.partition(' ')
        message = runs_pb2.OrderRequest(
            order_id=order_id, fence=fence, kind=kind, argument=argument,
            deadline_unix_s=self.clock.now_s() + 60,
        )  # fmt: skip
        return await keeper.order(message)

    async def _play(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self.succeed()
            for action in self._script:
                await action(self)
            self.dump = self._keepers[-1].dump()
            for engine in self._engines:
                engine.awake.set()
            tasks.cancel_scope.cancel()


Action = Callable[[Orders], Awaitable[None]]
