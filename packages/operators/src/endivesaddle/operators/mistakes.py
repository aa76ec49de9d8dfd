"""Say what is wrong with a line: the line, a caret under the word, what is possible."""

from collections.abc import Iterable

from endivesaddle.fleet.errors import UserError

_MOST_SHOWN = 100
_MOST_OPTIONS = 40


def mistake(
    line: str,
    column: int,
    message: str,
    options: Iterable[str] = (),
    length: int = 1,
) -> UserError:
    """Return the error that points at ``length`` characters from ``column`` (from 0)."""
    first = max(0, column - _MOST_SHOWN // 2)
    shown = line[first : first + _MOST_SHOWN].replace('\t', ' ')
    carets = '^' * max(1, min(length, len(shown) - (column - first)))
    lines = [message, f'  {shown}', f'  {" " * (column - first)}{carets}']
    possible = list(options)
    if possible:
        more = ', ...' if len(possible) > _MOST_OPTIONS else ''
        lines.append(f'possible here: {", ".join(possible[:_MOST_OPTIONS])}{more}')
    return UserError('\n'.join(lines))
