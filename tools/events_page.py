"""Write docs/EVENTS.md from the catalogue of events that the code declares.

Every module of the product is imported, so that all events are declared; the
stand-ins are no part of the product.
"""

import importlib
import pathlib
import pkgutil

import endivesaddle
from endivesaddle.fleet.events import Event, catalogue

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'EVENTS.md'
HEAD = """# Log events

Every line that a process logs is one of these events.  `number` and `name` stay
as they are, so queries over logs may rely on them; the fields beside them carry
their unit as suffix.  With `--log-format json` each line is one JSON object with
`event`, `name` and the fields.

This page is written by `tools/events_page.py` from the code; a test fails when
the two differ.

| number | level | name | meaning |
|---|---|---|---|
"""


def load_all() -> None:
    """Import every module of the product."""
    for found in pkgutil.walk_packages(endivesaddle.__path__, 'endivesaddle.'):
        if not found.name.startswith('endivesaddle.stand_ins'):
            importlib.import_module(found.name)


def row(event: Event) -> str:
    """Return an event's row."""
    return f'| {event.number} | {event.level} | `{event.name}` | {event.meaning} |\n'


def page() -> str:
    """Return the whole page."""
    load_all()
    return HEAD + ''.join(row(event) for event in catalogue())


if __name__ == '__main__':
    PAGE.write_text(page())
