"""dump: the state of one process, by its HTTP address or by its name through the router."""

import re

from endivesaddle.operators import client
from endivesaddle.operators.lines import line_of
from endivesaddle.operators.local_command import Invocation, local_command
from endivesaddle.operators.reply import Reply

_ADDRESS = re.compile(r'.+:\d+')


@local_command(
    'dump',
    'Show the state of a process: of a router by ip:port, of any instance by its name.',
    'dump 10.1.0.3:8080',
)
def dump(invocation: Invocation) -> Reply:
    """Fetch the state."""
    words = invocation.words
    if len(words) == 2 and _ADDRESS.fullmatch(words[1]):
        return client.fetch_dump(invocation.router, words[1])
    return client.send(invocation.router, line_of(words), invocation.change_id, changes=False)
