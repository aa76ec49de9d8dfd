"""Subject: what ``request id:`` tells of requests that were refused."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from endivesaddle.fleet.configuration import shard_of
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_caller import Got
from endivesaddle.stand_ins.memory_fleet import MemoryFleet, open_fleet
from endivesaddle.wire import holders_pb2
from subjects import fault_scene

REQUEST = 'board-7'
REQUEST_KEY = f'{fault_scene.ACCOUNT}/{REQUEST}'
SERVER = fault_scene.SIDECARS[0]
SETTLED_S = 12.0
SUPPORT_S = 60.0
LOST_S = 30.0


class Refusals:
    """One caller, one support engineer, and what each was told."""

    def __init__(self, budget_tokens: int) -> None:
        """Give the account a budget."""
        self.budget_tokens = budget_tokens
        self.got: list[Got] = []
        self.told: list[str] = []
        self.record: dict[str, Any] = {}
        self.remembered = 0
        self.newest = ''
        self._plots: list[Callable[[MemoryFleet], Awaitable[None]]] = []

    def play(self, *plots: Callable[[MemoryFleet], Awaitable[None]]) -> None:
        """Play plots in a new fleet, the ones before them first."""
        self._plots.extend(plots)
        self.got.clear()
        virtual.run(self._play)

    async def ask(self, fleet: MemoryFleet, text: str = 'which board?') -> None:
        """Have the caller ask."""
        caller = fleet.caller('r2', fault_scene.KEY)
        message = {'role': 'user', 'content': text}
        body = {'model': 'board', 'max_tokens': 8, 'messages': [message]}
        headers = {'idempotency-key': REQUEST, 'x-timeout-s': '5'}
        self.got.append(await caller.post(fault_scene.CHAT, body, headers))

    async def top_up(self, fleet: MemoryFleet) -> None:
        """Top the budget up, as support does it: a while later."""
        await anyio.sleep(SUPPORT_S)
        line = f'top-up {fault_scene.ACCOUNT} 500 id:invoice-7'
        reply = await fleet.command('r1', line)
        assert reply['status'] == 0, reply
        await anyio.sleep(SETTLED_S)

    async def lose_server(self, fleet: MemoryFleet) -> None:
        """Lose the only sidecar for good."""
        fleet.kill(SERVER.name)
        await anyio.sleep(LOST_S)

    async def ask_something_else(self, fleet: MemoryFleet) -> None:
        """Have the caller use its key again."""
        await self.ask(fleet, 'which bill?')

    async def claim_late(self, fleet: MemoryFleet) -> None:
        """Claim at the holder after the deadline."""
        reply = await self._claim(fleet, REQUEST_KEY)
        assert reply.verdict == 'refused', reply

    async def flood(self, fleet: MemoryFleet) -> None:
        """Have thousands of claims refused at the holder."""
        for number in range(6000):
            self.newest = f'{fault_scene.ACCOUNT}/flood-{number}'
            await self._claim(fleet, self.newest)
        claims = self._holder(fleet).claims
        self.remembered = int(claims.counters()['refused_records'])
        message = holders_pb2.FindRequest(request_key=self.newest)
        assert (await claims.find(message)).records, self.newest

    async def _play(self) -> None:
        async with open_fleet() as fleet:
            fleet.shards = {shard_of(fault_scene.ACCOUNT)}
            fleet.add_routers(*fault_scene.ROUTERS)
            fleet.add_sidecar(SERVER)
            await anyio.sleep(4)
            declared = fault_scene.DECLARATIONS.replace(
                f'budget_tokens = {fault_scene.BUDGET_TOKENS}',
                f'budget_tokens = {self.budget_tokens}',
            )
            server = fault_scene.SERVER.format(name='llm-1', data_centre='porto-a')
            reply = await fleet.command('r1', f'apply file:azulejo.toml base:0\n{declared}{server}')
            assert reply['status'] == 0, reply
            await anyio.sleep(SETTLED_S)
            for plot in self._plots:
                await plot(fleet)
            await anyio.sleep(SETTLED_S)
            found = await fleet.command('r3', f'request id:{REQUEST}')
            self.told = found['messages']
            self.record = found['details']['record'] if 'details' in found else {}

    async def _claim(self, fleet: MemoryFleet, key: str) -> holders_pb2.ClaimReply:
        message = holders_pb2.ClaimRequest(
            request_key=key,
            account=fault_scene.ACCOUNT,
            digest='d',
            bound_tokens=8,
            may_repeat=True,
            first_attempt=True,
            deadline_unix_s=fleet.clock.now_s() - 1,
            target='board',
            router='10.0.0.2:7000',
            call_id=key,
        )
        return await self._holder(fleet).claims.claim(message)

    def _holder(self, fleet: MemoryFleet) -> Any:
        budgets = fleet.router('r1').budgets
        address = budgets.holder_address(fault_scene.ACCOUNT, 'porto-a')
        names = {running.address: name for name, running in fleet.running.items()}
        return fleet.router(names[address])
