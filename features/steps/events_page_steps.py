"""Steps of events_page.feature."""

from typing import Any

from behave import then, when

from subjects.events_page import EventsPage

NUMBER = 1
NAME = 3


@when('the events page is made from the code')
def make(context: Any) -> None:
    """Import everything."""
    context.subject = EventsPage()


@then('the events page on file is the same')
def same(context: Any) -> None:
    """Compare the two."""
    subject = context.subject
    assert subject.made == subject.on_file, 'run .venv/bin/python tools/events_page.py'


@then('the events page has each number and each name once')
def once(context: Any) -> None:
    """Look for doubles, and for an empty page."""
    for index in (NUMBER, NAME):
        entries = context.subject.column(index)
        assert entries and len(entries) == len(set(entries)), sorted(entries)
