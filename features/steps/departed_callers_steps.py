"""Steps of departed_callers.feature."""

from functools import partial
from typing import Any

from behave import given, then, when

from subjects.departed_callers import DepartedCallers
from subjects.departure_places import (
    PLACES,
    give_up_unread,
    leave,
    leave_busy,
    leave_then_read,
    wait_for_answer,
)


@given('a request that is {place}')
def start(context: Any, place: str) -> None:
    """Create the router for a place."""
    context.place = PLACES[place]
    context.departed = DepartedCallers(context.place.setting)


@given('a request with a large body to a server that does not read')
def start_unread(context: Any) -> None:
    """Create the router, and a server whose socket fills up."""
    start(context, 'clogged')


@when('its caller closes while each turn of the event loop takes {turn_s:g} seconds')
def closes_busy(context: Any, turn_s: float) -> None:
    """Let the caller leave a busy router."""
    context.departed.play(partial(leave_busy, place=context.place, turn_s=turn_s))


@when('its caller reads nothing for the time limit of unread answers')
def never_reads(context: Any) -> None:
    """Keep the connection open and read nothing."""
    context.departed.play(partial(give_up_unread, place=context.place))


@when('its caller closes, and the server reads again after that')
def reads_again(context: Any) -> None:
    """Let the caller leave, and the server read after that."""
    context.departed.play(partial(leave_then_read, place=context.place, way='closes'))


@when('its caller waits for an answer')
def waits(context: Any) -> None:
    """Wait for the answer."""
    context.departed.play(partial(wait_for_answer, place=context.place))


@when('its caller {way}')
def leaves(context: Any, way: str) -> None:
    """Let the caller leave."""
    context.departed.play(partial(leave, place=context.place, way=way))


@then('nothing is sent for it any more')
def nothing_sent(context: Any) -> None:
    """Compare the requests that reached the servers with those before the caller left."""
    arrived = [arrival.request_id for arrival in context.departed.arrived()]
    assert len(arrived) == context.place.sent_count, arrived
    counters = context.departed.departures.counters()
    assert not counters['sent_after_gone'], counters


@then('it is sent once more')
def sent_once_more(context: Any) -> None:
    """Check that the request went on."""
    arrived = [arrival.request_id for arrival in context.departed.arrived()]
    assert len(arrived) == context.place.sent_count + 1, arrived


@then('the allocator is not asked again')
def not_asked(context: Any) -> None:
    """Compare the draws with those up to the time at which the router noticed the close."""
    departed = context.departed
    assert departed.noticed_draw_count
    # One more may have begun before the close was noticed.
    assert departed.allocator.draw_count <= departed.noticed_draw_count + 1


@then('it is refused as not run within {within_s:g} second')
def refused_in_time(context: Any, within_s: float) -> None:
    """Check the status, and how long the caller waited for it."""
    departed = context.departed
    assert departed.answer.startswith(b'HTTP/1.1 503 '), departed.answer
    assert departed.answered_s <= within_s, departed.answered_s


@then('its tokens are free again')
def tokens_free(context: Any) -> None:
    """Check that nothing is reserved, and that only what ran is spent."""
    assert not context.departed.tokens('reserved')
    if not context.place.sent_count:
        assert not context.departed.tokens('spent')


@then('its server sees the end of it within {within_s:g} seconds')
def given_up(context: Any, within_s: float) -> None:
    """Check when the connection of the first request was closed."""
    arrival = context.departed.arrived()[0]
    took_s = arrival.closed_s - context.departed.left_s
    assert arrival.closed_s and took_s <= within_s, took_s


@then('the second request is answered')
def second_answered(context: Any) -> None:
    """Check what the caller got at its second try."""
    assert context.departed.second.endswith(b'ok'), context.departed.second
