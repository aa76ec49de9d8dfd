"""``field:~part``: the text contains the part, whatever its case."""

from typing import Any

from endivesaddle.operators import terms
from endivesaddle.operators.fields import Field
from endivesaddle.operators.language import Item


@terms.TERMS.add('PART')
class Part:
    """Match a text that contains what is written."""

    def __init__(self, field: Field, item: Item, _now_unix_s: float | None) -> None:
        """Take the part; only texts have parts."""
        if not field.kind.parts:
            raise ValueError(f'{field.name} is a {field.kind.name}, which has no parts')
        self._field = field
        self._part = item.low.casefold()

    def matches(self, record: Any) -> bool:
        """Tell whether the field's text contains the part."""
        return self._part in str(self._field.read(record) or '').casefold()
