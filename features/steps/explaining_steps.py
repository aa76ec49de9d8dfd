"""Steps of explain.feature."""

from typing import Any

from behave import given, then, when

from subjects.explaining import Explaining


@given('its log goes to a file')
def log(context: Any) -> None:
    """Start writing."""
    context.explaining = Explaining()
    context.add_cleanup(context.explaining.close)


@given("the router's share is used up and the store is away")
def used_up(context: Any) -> None:
    """Leave nothing to reserve from."""
    context.runs.use_up()


@given('a log file with a line that is no line')
def bad_log(context: Any) -> None:
    """Write one."""
    log(context)
    context.explaining.path.write_text('what is this\n')


@when('the request is explained')
def explain(context: Any) -> None:
    """Run the command."""
    path = str(context.explaining.path)
    told = context.explaining.explain('one', '--log', path)
    context.status = told[0]
    context.story = told[1]


@then('the story says {summary}')
def says(context: Any, summary: str) -> None:
    """Look for the summary."""
    assert context.status == 0, context.story
    assert summary in context.story, context.story


@then('it names {event} after {earlier}')
def order(context: Any, event: str, earlier: str) -> None:
    """Compare the places of two lines."""
    names = [line.split()[3] for line in context.story.splitlines() if 'router-1' in line]
    assert earlier in names, names
    assert names.index(earlier) < names.index(event), names


@then('the line of {event} says {words}')
def line_says(context: Any, event: str, words: str) -> None:
    """Look into one line."""
    lines = [line for line in context.story.splitlines() if event in line]
    assert any(words in line for line in lines), lines


@then('explaining an unknown id says no line in these files names it, and counts the bad line')
def unknown(context: Any) -> None:
    """Ask for an id that is not there."""
    path = str(context.explaining.path)
    _, story = context.explaining.explain('nobody', '--log', path)
    assert '1 lines could not be read' in story, story
    assert 'no line in these files names nobody' in story, story


@then('explaining with a file that is not there says which')
def missing(context: Any) -> None:
    """Name a missing file."""
    status, story = context.explaining.explain('one', '--log', 'nowhere.log')
    assert status == 2, story
    assert 'nowhere.log can not be read' in story, story
