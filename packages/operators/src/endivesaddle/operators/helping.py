"""Help on the commands, as lines."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType

from endivesaddle.operators.command import COMMANDS, Command

_LANGUAGE = (
    'TERM is field:value, field:~part or field:low..high (either end may be left out).',
    'A minus before a term excludes; all terms have to hold; " , " parts alternatives.',
    'Numbers: 500, 1.5k, 2M.  Times (UTC): 2h (ago), 2026-12-02, 2026-12-02T14:30.',
)


def help_lines(name: str = '', more: Mapping[str, str] = MappingProxyType({})) -> list[str]:
    """Return the help on one command, or the list of all, with ``more`` of them."""
    return list(_one(COMMANDS.find(name))) if name else list(_all(more))


def _all(more: Mapping[str, str]) -> Iterator[str]:
    summaries = {name: COMMANDS.find(name).summary for name in COMMANDS}
    summaries.update(more)
    width = max(len(name) for name in summaries)
    for name in sorted(summaries):
        yield f'{name.ljust(width)}  {summaries[name]}'
    yield ''
    yield 'help COMMAND tells more of one, with an example'


def _one(entry: Command) -> Iterator[str]:
    yield entry.summary
    yield f'usage: {entry.usage}'
    for argument in entry.arguments:
        yield f'  {argument.usage}: {argument.meaning}'
    if entry.changes:
        yield 'changes something: takes --change-id ID, and may be sent again with the same one'
    if entry.fields is not None:
        yield from _fields(entry)
    yield f'example: {entry.example}'


def _fields(entry: Command) -> Iterator[str]:
    yield from _LANGUAGE
    for name, field in sorted((entry.fields or {}).items()):
        yield f'  {name}: ({field.kind.name}) {field.meaning}'
