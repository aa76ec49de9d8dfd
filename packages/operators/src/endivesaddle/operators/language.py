"""Read one line of the operators' language into items, and write them back.

An item is a plain word, a term ``field:value`` or the comma that parts
alternatives.  What an item means is up to the command or the query.
"""

import enum
import functools
import re
from importlib import resources
from types import MappingProxyType
from typing import NamedTuple

import lark

from endivesaddle.operators.mistakes import mistake


class Form(enum.Enum):
    """How an item is written."""

    WORD = 'word'
    EXACT = 'field:value'
    PART = 'field:~part'
    RANGE = 'field:low..high'
    ALTERNATIVE = ','


class Item(NamedTuple):
    """One item; ``low`` is its only text unless it is a range.

    ``column`` and ``length`` say where it stands, for error messages.
    """

    form: Form
    field: str = ''
    low: str = ''
    high: str = ''
    negated: bool = False
    column: int = 0
    length: int = 1

    def __str__(self) -> str:
        """Return the item as it would be written."""
        minus = '-' if self.negated else ''
        match self.form:
            case Form.ALTERNATIVE:
                return ','
            case Form.WORD:
                return minus + _written(self.low, whole=True)
            case Form.RANGE:
                low = _end(self.low) if self.low or self.high else quoted('')
                return f'{minus}{self.field}:{low}..{_end(self.high)}'
            case Form.PART:
                return f'{minus}{self.field}:~{_written(self.low)}'
        return f'{minus}{self.field}:{_written(self.low)}'


_PLAIN = re.compile(r'[^\s"~.,\\-](?:(?!\.\.)[^\s"\\])*(?<![.])')
_FIELD = re.compile('[a-z][a-z_]*:')
_ESCAPED = re.compile(r'\\(.)', re.DOTALL)
_EXPECTED = MappingProxyType(
    {
        'TEXT': 'a word',
        'QUOTED': '"quoted text"',
        'FIELD': 'field:',
        'RANGE': '..',
        'PART': '~part',
        'NOT': '-',
        'OR': ', between alternatives',
        '_SPACE': 'a space',
    }
)


def read_items(line: str) -> list[Item]:
    """Return the items of a line; raises ``UserError`` that points at the mistake."""
    try:
        tree = _parser().parse(line)
    except lark.exceptions.UnexpectedEOF as error:
        raise mistake(line, len(line), 'the line ends too early', _expected(error)) from None
    except lark.exceptions.UnexpectedInput as error:
        column = min(error.pos_in_stream or 0, len(line))
        raise mistake(line, column, 'this is not understood', _expected(error)) from None
    return [_item(child) for child in tree.children if isinstance(child, lark.Tree)]


def write_items(items: list[Item]) -> str:
    """Return the line that ``read_items`` turns into these items."""
    return ' '.join(str(item) for item in items)


def quoted(text: str) -> str:
    """Return a text in quotes, its quotes and backslashes escaped."""
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return f'"{escaped}"'


@functools.cache
def _parser() -> lark.Lark:
    grammar = resources.files('endivesaddle.operators').joinpath('grammar.lark').read_text()
    return lark.Lark(grammar, parser='lalr', lexer='contextual', propagate_positions=True)


def _expected(error: lark.exceptions.UnexpectedInput) -> list[str]:
    names = getattr(error, 'accepts', None) or getattr(error, 'allowed', None) or ()
    return sorted({_EXPECTED[name] for name in names if name in _EXPECTED})


def _item(tree: lark.Tree[lark.Token]) -> Item:
    tokens = {token.type: str(token) for token in tree.children if isinstance(token, lark.Token)}
    column = tree.meta.start_pos
    length = tree.meta.end_pos - column
    negated = 'NOT' in tokens
    if tree.data == 'alternative':
        return Item(Form.ALTERNATIVE, column=column, length=length)
    if tree.data == 'word':
        return Item(Form.WORD, '', _texts(tree)[0], '', negated, column, length)
    field = tokens['FIELD'].removesuffix(':')
    values = [child for child in tree.children if isinstance(child, lark.Tree)]
    form, low, high = _value(values[0]) if values else (Form.EXACT, '', '')
    return Item(form, field, low, high, negated, column, length)


def _value(tree: lark.Tree[lark.Token]) -> tuple[Form, str, str]:
    texts = _texts(tree)
    match tree.data:
        case 'range':
            return Form.RANGE, texts[0], texts[1] if len(texts) > 1 else ''
        case 'range_up_to':
            return Form.RANGE, '', texts[0]
        case 'part':
            return Form.PART, texts[0], ''
    return Form.EXACT, texts[0], ''


def _texts(tree: lark.Tree[lark.Token]) -> list[str]:
    return [_text(child) for child in tree.children if isinstance(child, lark.Tree)]


def _text(tree: lark.Tree[lark.Token]) -> str:
    token = tree.children[0]
    if isinstance(token, lark.Token) and token.type == 'QUOTED':
        return _ESCAPED.sub(r'\1', token[1:-1])
    return str(token)


def _end(text: str) -> str:
    return _written(text) if text else ''


def _written(text: str, whole: bool = False) -> str:
    plain = _PLAIN.fullmatch(text) and not (whole and _FIELD.match(text))
    return text if plain else quoted(text)
