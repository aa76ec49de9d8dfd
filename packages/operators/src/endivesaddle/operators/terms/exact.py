"""``field:value``: equal, or within the day that a date stands for."""

from typing import Any

from endivesaddle.operators import terms
from endivesaddle.operators.fields import Field
from endivesaddle.operators.language import Item


@terms.TERMS.add('EXACT')
class Exact:
    """Match a value that is equal to what is written."""

    def __init__(self, field: Field, item: Item, now_unix_s: float | None) -> None:
        """Read the value."""
        self._field = field
        low, high = field.kind.read(item.low, now_unix_s)
        self._low = low
        self._high = high

    def matches(self, record: Any) -> bool:
        """Tell whether the field's value is meant."""
        found = self._field.read(record)
        if found is None:
            return False
        if self._low == self._high:
            return bool(found == self._low)
        return bool(self._low <= found < self._high)
