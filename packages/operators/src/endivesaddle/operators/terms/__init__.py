"""Terms of the query language: one small class for each form, found by its form.

``build`` turns a written item into a term; its ``matches`` tells whether a
record or row is meant.
"""

from collections.abc import Callable
from typing import Any, Protocol

from endivesaddle.fleet.registry import Registry
from endivesaddle.operators.fields import Field
from endivesaddle.operators.language import Form, Item
from endivesaddle.operators.plugins import load_plugins


class Term(Protocol):
    """A condition on a record."""

    def matches(self, record: Any) -> bool:
        """Tell whether a record is meant."""


TermMaker = Callable[[Field, Item, float | None], Term]
"""Makes a term; raises ``ValueError`` that says what is allowed."""

TERMS: Registry[TermMaker] = Registry('form of term')


def build(field: Field, item: Item, now_unix_s: float | None) -> Term:
    """Return the term of an item; raises ``ValueError`` that says what is allowed."""
    form = Form.RANGE if field.edge else item.form
    return TERMS.find(form.name)(field, item, now_unix_s)


load_plugins(__name__, __path__)
