"""What the demo sends and what has to come of it."""

from typing import Any

import httpx

from endivesaddle.stand_ins.demo_clients import (
    ATELIER,
    JOB_SHOP,
    SERVICE_COST,
    CallerClient,
    Got,
    Keys,
    OperatorClient,
)
from endivesaddle.stand_ins.demo_speech import say
from endivesaddle.stand_ins.demo_world import World

_OK = 200
_REFUSED = 429
_BIG_TOKENS = 400
_STEP = '  {at_unix_s:.3f}  attempt {attempt}  {name:<12} {instance:<18} {detail}'


class Story:
    """Requests of two client accounts through two routers, each checked as it goes."""

    def __init__(
        self, world: World, client: httpx.AsyncClient, keys: Keys, operator: OperatorClient
    ) -> None:
        """Send through both routers of ``world``."""
        self._world = world
        self._operator = operator
        self._atelier = CallerClient(client, keys.callers[ATELIER])
        self._job_shop = CallerClient(client, keys.callers[JOB_SHOP])
        self._hasty = CallerClient(client, keys.callers[JOB_SHOP], tries=1)
        self._failed: list[str] = []
        self._billed = {ATELIER: 0, JOB_SHOP: 0}

    async def run(self) -> None:
        """Tell the whole story."""
        first, second = self._world.routers
        await self._whole_answer(first)
        await self._streamed_answer(second)
        await self._service_call(first, second)
        await self._retry(first, second)
        await self._over_budget(second)
        await self._balances()
        await self._what_became_of('retried')

    def report(self) -> int:
        """Say whether all held; return the exit status."""
        say(*(f'DID NOT HOLD: {line}' for line in self._failed))
        say(f'{len(self._failed)} checks failed' if self._failed else 'all held')
        return 1 if self._failed else 0

    async def _whole_answer(self, router: str) -> None:
        got = await self._atelier.chat(router, 'swatches for a lobby', 20, 'whole')
        self._expect('a whole answer', got.status == _OK and got.text.startswith('swatches0 '))
        await self._tell('whole answer', ATELIER, 'whole', got)

    async def _streamed_answer(self, router: str) -> None:
        got = await self._atelier.chat(router, 'board for a hall', 20, 'streamed', stream=True)
        ended = got.body.endswith(b'data: [DONE]\n\n')
        self._expect('a streamed answer', ended and got.text.startswith('board0 board1 '))
        await self._tell('streamed answer', ATELIER, 'streamed', got)

    async def _service_call(self, first: str, second: str) -> None:
        """Take a remnant, and send the same call again through the other router."""
        got = await self._job_shop.call_service(first, '/plates/7', 'remnant')
        again = await self._job_shop.call_service(second, '/plates/7', 'remnant')
        self._expect('a service call', got.status == _OK)
        self._expect('the same answer to a service call sent again', got.body == again.body)
        self._expect('one remnant taken', self._world.service.taken == {'7': 1})
        cost = await self._tell('service call, sent twice', JOB_SHOP, 'remnant', again)
        self._expect('the cost of one service call', cost == SERVICE_COST)

    async def _retry(self, first: str, second: str) -> None:
        got = await self._atelier.chat(first, 'tags for a chair', 30, 'retried', stream=True)
        again = await self._atelier.chat(second, 'tags for a chair', 30, 'retried', stream=True)
        self._expect('the same answer through the other router', got.body == again.body)
        key = f'{ATELIER}/retried'
        self._expect('one run of a retried request', self._world.runs_of(key) == 1)
        await self._tell('retry through the other router', ATELIER, 'retried', again)

    async def _over_budget(self, router: str) -> None:
        """Ask for more than is left, then top up and ask again under another id."""
        got = await self._hasty.chat(router, 'review plan', _BIG_TOKENS, 'over')
        refused = got.status == _REFUSED and got.error['code'] == 'budget_exhausted'
        self._expect('a refusal over the budget', refused)
        self._expect('"not run" on the refusal', got.status != _OK and got.error['not_run'] is True)
        self._expect('no run of what was refused', not self._world.runs_of(f'{JOB_SHOP}/over'))
        say(f'over the budget: {got.status} {got.body.decode()}')
        reply = await self._operator.run(f'top-up {JOB_SHOP} 5000 id:invoice-1')
        say(*(f'top-up: {message}' for message in reply['messages']))
        got = await self._job_shop.chat(router, 'review plan', _BIG_TOKENS, 'paid')
        self._expect('an answer after the top-up', got.status == _OK)
        await self._tell('after the top-up', JOB_SHOP, 'paid', got)

    async def _balances(self) -> None:
        for account, billed_tokens in self._billed.items():
            await self._balance(account, {'what': 'spent', 'tokens': billed_tokens})

    async def _balance(self, account: str, wanted: dict[str, Any]) -> None:
        # Settled tokens go to the store in batches, so the sum comes a little later.
        line = f'account {account}'
        held = await self._operator.wait_for(line, lambda rows: wanted in rows)
        self._expect(f'{account} spent what its requests cost', held)
        rows = (await self._operator.run(line))['rows']
        tokens = ' '.join(f'{row["what"]}={row["tokens"]}' for row in rows)
        say(f'account {account}: {tokens}')

    async def _what_became_of(self, request_id: str) -> None:
        line = f'request id:{request_id} account:{ATELIER}'
        reply = await self._operator.run(line)
        say('', f'> {line}', *reply['messages'])
        say(*(_STEP.format(**row) for row in reply['rows']))
        self._expect('an answer to what became of a request', bool(reply['rows']))

    async def _tell(self, what: str, account: str, request_id: str, got: Got) -> int:
        """Print what happened and what it cost; return the cost."""
        reply = await self._operator.run(f'request id:{request_id} account:{account}')
        record = reply['details'].get('record', {})
        cost: int = record.get('used_tokens', 0)
        self._expect(f'{request_id} billed', cost > 0)
        self._billed[account] += cost
        server = record.get('server')
        first_ms = got.first_byte_s * 1000
        say(f'{what}: {got.status} from {server}, {cost} tokens, first byte {first_ms:.0f} ms')
        return cost

    def _expect(self, what: str, held: bool) -> None:
        if not held:
            self._failed.append(what)
