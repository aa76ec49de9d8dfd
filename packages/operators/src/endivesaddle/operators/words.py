"""The words of one command, read by what the command declares that it takes."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from endivesaddle.fleet.errors import UserError
from endivesaddle.operators.arguments import Argument
from endivesaddle.operators.fields import Fields
from endivesaddle.operators.language import Form, Item
from endivesaddle.operators.mistakes import mistake


class Given(NamedTuple):
    """Who gave a command and when; ``document`` is what followed its first line."""

    operator: str
    change_id: str
    now_unix_s: float
    document: str = ''


class Words:
    """Values of a command's arguments by name, and the terms of its query."""

    def __init__(
        self,
        line: str,
        given: Given,
        found: Mapping[str, Any],
        items: Mapping[str, Item],
        query: Sequence[Item],
    ) -> None:
        """Keep what ``read_words`` found."""
        self.line = line
        self.given = given
        self.query = query
        self._found = found
        self._items = items

    def __getitem__(self, name: str) -> Any:
        """Return the value of an argument."""
        return self._found[name]

    def wrong(self, name: str, message: str, options: Iterable[str] = ()) -> UserError:
        """Return the error that points at an argument."""
        if name not in self._items:
            return mistake(self.line, len(self.line), message, options)
        item = self._items[name]
        return mistake(self.line, item.column, message, options, item.length)


def read_words(
    line: str,
    given: Given,
    items: Sequence[Item],
    arguments: Sequence[Argument],
    fields: Fields | None,
) -> Words:
    """Read the items after a command's name; raises ``UserError`` at the wrong one."""
    reader = _Reader(line, arguments, fields)
    for item in items:
        reader.take(item)
    return Words(line, given, reader.finish(), reader.items, reader.query)


class _Reader:
    def __init__(self, line: str, arguments: Sequence[Argument], fields: Fields | None) -> None:
        self._line = line
        self._named = {argument.name: argument for argument in arguments if argument.names}
        self._placed = [argument for argument in arguments if not argument.names]
        self._fields = fields
        self._found: dict[str, Any] = {}
        self.items: dict[str, Item] = {}
        self.query: list[Item] = []

    def take(self, item: Item) -> None:
        """Read one item."""
        argument = self._named.get(item.field)
        if item.form is Form.EXACT and argument and not item.negated:
            self._put(argument, item)
        elif item.form is Form.WORD and not item.negated and self._placed:
            self._put(self._placed.pop(0), item)
        elif self._fields is None:
            raise self._unexpected(item)
        else:
            self.query.append(item)

    def finish(self) -> dict[str, Any]:
        """Return all values, defaults for what was not given."""
        for argument in [*self._placed, *self._named.values()]:
            if argument.name in self._found:
                continue
            if argument.required:
                message = f'{argument.usage} is missing: {argument.meaning}'
                raise mistake(self._line, len(self._line), message)
            self._found[argument.name] = argument.default
        return self._found

    def _put(self, argument: Argument, item: Item) -> None:
        if argument.name in self._found:
            message = f'{argument.name} is given twice'
            raise mistake(self._line, item.column, message, length=item.length)
        try:
            self._found[argument.name] = argument.read(item.low)
        except ValueError as error:
            message = f'{argument.name}: {error}'
            raise mistake(self._line, item.column, message, length=item.length) from None
        self.items[argument.name] = item

    def _unexpected(self, item: Item) -> UserError:
        message = 'the command does not take this'
        options = [f'{name}:' for name in self._named if name not in self._found]
        options.extend(argument.name.upper() for argument in self._placed)
        return mistake(self._line, item.column, message, options, item.length)
