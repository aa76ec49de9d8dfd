"""drain and undrain: take a backend server out of service, and back in."""

import functools

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.operators import arguments
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.editing import edited
from endivesaddle.operators.names import known
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.results import not_accepted, reply_to
from endivesaddle.operators.words import Words

_SERVER = arguments.field('server', 'the backend server', arguments.named)


@command(
    'drain',
    'Give a backend server no new work; what runs there is left to end.',
    'drain server:porto-b/llm-3',
    arguments=(_SERVER,),
    changes=True,
)
async def drain(desk: Desk, words: Words) -> Reply:
    """Mark the server as leaving in the configuration."""
    return await _mark(desk, words, leaving=True)


@command(
    'undrain',
    'Give a drained backend server work again.',
    'undrain server:porto-b/llm-3',
    arguments=(_SERVER,),
    changes=True,
)
async def undrain(desk: Desk, words: Words) -> Reply:
    """Mark the server as no longer leaving."""
    return await _mark(desk, words, leaving=False)


async def _mark(desk: Desk, words: Words, leaving: bool) -> Reply:
    name = known(desk, words, 'server', 'servers', 'backend server')
    try:
        outcome = await edited(desk, words, functools.partial(_marked, name, leaving))
    except KeyError:
        return not_accepted(f'{name} is no longer declared')
    return reply_to(outcome, words.given.change_id)


def _marked(name: str, leaving: bool, configuration: Configuration) -> Configuration:
    server = configuration.servers[name]._replace(leaving=leaving)
    return configuration._replace(servers={**configuration.servers, name: server})
