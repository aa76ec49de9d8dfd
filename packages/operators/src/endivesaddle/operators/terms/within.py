"""``field:low..high``: both ends included, either may be left out.

``since:2h`` and ``before:2026-12-02`` are written as one value and mean one end.
"""

import math
from typing import Any

from endivesaddle.operators import terms
from endivesaddle.operators.fields import Field
from endivesaddle.operators.language import Form, Item


@terms.TERMS.add('RANGE')
class Within:
    """Match a value between two ends."""

    def __init__(self, field: Field, item: Item, now_unix_s: float | None) -> None:
        """Read the ends."""
        if not field.kind.ranges:
            raise ValueError(f'{field.name} is a {field.kind.name}, which has no ranges')
        self._field = field
        low, high = _ends(field, item)
        self._low = field.kind.read(low, now_unix_s)[0] if low else -math.inf
        self._high = field.kind.read(high, now_unix_s)[1] if high else math.inf
        if field.edge == 'high':
            self._high = field.kind.read(high, now_unix_s)[0]

    def matches(self, record: Any) -> bool:
        """Tell whether the field's value lies between the ends."""
        found = self._field.read(record)
        if found is None:
            return False
        if self._field.edge == 'high':
            return bool(found < self._high)
        return bool(self._low <= found <= self._high)


def _ends(field: Field, item: Item) -> tuple[str, str]:
    if not field.edge:
        return item.low, item.high
    if item.form is not Form.EXACT or not item.low:
        raise ValueError(f'one time such as {field.name}:2h is allowed')
    return (item.low, '') if field.edge == 'low' else ('', item.low)
