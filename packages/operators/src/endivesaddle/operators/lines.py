"""Words as the shell gives them, turned into one line of the language."""

import re
from collections.abc import Sequence

from endivesaddle.operators.language import quoted

_NEEDS_QUOTES = re.compile(r'[\s"\\]')
_TERM = re.compile('(-?[a-z][a-z_]*:~?)(.*)', re.DOTALL)


def line_of(words: Sequence[str]) -> str:
    """Return the line; what the shell had unquoted is quoted again.

    ``id:"a b"`` reaches us as ``id:a b``: one word, whose value holds a space.
    """
    return ' '.join(_written(word) for word in words)


def _written(word: str) -> str:
    if word and not _NEEDS_QUOTES.search(word):
        return word
    term = _TERM.fullmatch(word)
    if term is None:
        return quoted(word)
    return term[1] + quoted(term[2])
