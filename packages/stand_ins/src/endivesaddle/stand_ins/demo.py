"""Carry real requests through a whole fleet on this machine, and say whether all held.

With ``--serve`` it stays up and prints what ``curl`` or any OpenAI client needs.
"""

import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpx
from loguru import logger

from endivesaddle.daemon.running import run_process
from endivesaddle.daemon.signals import SignalReader
from endivesaddle.stand_ins.demo_clients import Keys, OperatorClient, declarations, new_keys
from endivesaddle.stand_ins.demo_speech import say
from endivesaddle.stand_ins.demo_story import Story
from endivesaddle.stand_ins.demo_world import MODEL, SERVICE, World, open_world

_TIMEOUT_S = 60
_GUIDE = """
the fleet is up; Ctrl-C ends it

routers          {routers}
operator token   {operator}
caller keys      {callers}

curl {router}/v1/chat/completions -H 'Authorization: Bearer {key}' \\
  -H 'Content-Type: application/json' -H 'Idempotency-Key: try-1' \\
  -d '{{"model": "{model}", "messages": [{{"role": "user", "content": "hello"}}], "stream": true}}'
curl -X POST {router}/services/{service}/plates/7 -H 'Authorization: Bearer {key}'
curl {router}/operators/v1/command -H 'Authorization: Bearer {operator}' \\
  -H 'Content-Type: application/json' -d '{{"line": "request id:try-1"}}'
"""


@asynccontextmanager
async def open_client() -> AsyncIterator[httpx.AsyncClient]:
    """Open the HTTP client of all people of the demo."""
    async with httpx.AsyncClient(timeout=_TIMEOUT_S, trust_env=False) as client:
        yield client


async def declare(client: httpx.AsyncClient, world: World, keys: Keys) -> OperatorClient:
    """Bring the declarations into force and wait until all instances serve by them."""
    first = OperatorClient(client, world.routers[0], world.bootstrap_token)
    document = declarations(world, keys)
    planned = await first.run(f'plan file:demo.toml\n{document}')
    revision = planned['details']['revision']
    applied = await first.run(f'apply file:demo.toml base:{revision}\n{document}', 'demo-1')
    say('apply:', *(f'  {message}' for message in applied['messages']))
    for router in world.routers:
        await _wait(OperatorClient(client, router, keys.operator), len(world.servers))
    return OperatorClient(client, world.routers[0], keys.operator)


async def _wait(operator: OperatorClient, servers: int) -> None:
    def all_live(rows: list[dict[str, Any]]) -> bool:
        return len(rows) == servers and all(row['state'] == 'live' for row in rows)

    if not await operator.wait_for('servers', all_live):
        say('not all backend servers are live yet')
    if not await operator.wait_for_budgets():
        say('not all budgets are held yet')


async def tell() -> int:
    """Run the story; return the exit status."""
    keys = new_keys()
    async with open_world() as world, open_client() as client:
        operator = await declare(client, world, keys)
        story = Story(world, client, keys, operator)
        await story.run()
    return story.report()


async def serve() -> int:
    """Stay up until a signal comes."""
    keys = new_keys()
    async with open_world() as world:
        async with open_client() as client:
            await declare(client, world, keys)
        say(
            _GUIDE.format(
                routers=' '.join(world.routers),
                operator=keys.operator,
                callers=' '.join(f'{name}={key}' for name, key in keys.callers.items()),
                router=world.routers[0],
                key=next(iter(keys.callers.values())),
                model=MODEL,
                service=SERVICE,
            )
        )
        reader = SignalReader(dict)
        async with anyio.create_task_group() as group:
            group.start_soon(reader.run)
            await reader.stopping.wait()
            group.cancel_scope.cancel()
    return 0


def main() -> int:
    """Run the demo; 0 only if all held."""
    logger.remove()
    logger.add(sys.stderr, level='ERROR')
    if '--serve' in sys.argv[1:]:
        return run_process(serve)
    return anyio.run(tell)


if __name__ == '__main__':
    sys.exit(main())
