"""Names that there are, for messages about names that there are not."""

from endivesaddle.operators.desk import Desk
from endivesaddle.operators.nearest import near
from endivesaddle.operators.words import Words


def known(desk: Desk, words: Words, name: str, table: str, noun: str) -> str:
    """Return an argument that names an item of the configuration in force.

    Raises ``UserError`` that points at it and lists the nearest names.
    """
    wanted = str(words[name])
    entries = getattr(desk.view.configuration, table)
    if wanted not in entries:
        message = f'there is no {noun} {wanted!r}'
        raise words.wrong(name, message, near(wanted, entries))
    return wanted
