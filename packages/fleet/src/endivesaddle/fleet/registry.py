"""Registries of implementations by name, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from endivesaddle.fleet.errors import UserError

Entry = TypeVar('Entry')


class Registry(Generic[Entry]):
    """A mapping from names to entries; each name can be registered only once."""

    def __init__(self, what: str) -> None:
        """Initialize; ``what`` names the kind of entry in error messages."""
        self.what = what
        self._entries: dict[str, Entry] = {}

    def add(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that registers its argument as ``name``."""

        def decorator(entry: Entry) -> Entry:  # noqa: WPS430 (the decorator function)
            if name in self._entries:
                raise ValueError(f'{self.what} {name} is registered twice')
            self._entries[name] = entry
            return entry

        return decorator

    def find(self, name: str) -> Entry:
        """Return an entry; raises ``UserError`` with the registered names if there is none."""
        try:
            return self._entries[name]
        except KeyError:
            names = ', '.join(sorted(self._entries))
            raise UserError(f'no {self.what} {name!r}; there is: {names}') from None

    def __iter__(self) -> Iterator[str]:
        """Iterate over the registered names in sorted order."""
        return iter(sorted(self._entries))
