"""Local commands declare themselves beside the function that runs them."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.operators.client import Router
from endivesaddle.operators.reply import Reply


class Invocation(NamedTuple):
    """One call of the command line; ``words`` are as the shell gave them, name included.

    ``logs`` are the files that were given by ``--log``.
    """

    words: Sequence[str]
    router: Router
    change_id: str
    logs: Sequence[str] = ()


LocalRun = Callable[[Invocation], Reply]


class LocalCommand(NamedTuple):
    """One local command."""

    name: str
    summary: str
    example: str
    run: LocalRun


LOCAL: Registry[LocalCommand] = Registry('local command')


def local_command(name: str, summary: str, example: str) -> Callable[[LocalRun], LocalRun]:
    """Return a decorator that enters a function as a local command."""

    def decorator(run: LocalRun) -> LocalRun:
        LOCAL.add(name)(LocalCommand(name, summary, example, run))
        return run

    return decorator
