"""Commands declare what they take beside the function that runs them, at a router."""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.operators.arguments import Argument
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.fields import Fields
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Words

Run = Callable[[Desk, Words], Awaitable[Reply]]


class Command(NamedTuple):
    """One command; ``fields`` are what its query may ask for, None without query."""

    name: str
    summary: str
    example: str
    run: Run
    arguments: Sequence[Argument] = ()
    fields: Fields | None = None
    changes: bool = False

    @property
    def usage(self) -> str:
        """Return the line that shows how it is written."""
        words = [self.name, *(argument.usage for argument in self.arguments)]
        return ' '.join(words if self.fields is None else [*words, '[TERM ...]'])


COMMANDS: Registry[Command] = Registry('command')


def command(
    name: str,
    summary: str,
    example: str,
    arguments: Sequence[Argument] = (),
    fields: Fields | None = None,
    changes: bool = False,
) -> Callable[[Run], Run]:
    """Return a decorator that enters a function as a command.

    ``changes`` tells that it needs the role operator and carries a change id.
    """

    def decorator(run: Run) -> Run:
        COMMANDS.add(name)(Command(name, summary, example, run, arguments, fields, changes))
        return run

    return decorator
