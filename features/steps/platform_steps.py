"""Steps of platform.feature."""

from typing import Any

from behave import given, then, when

from subjects.platform import FollowedList, Loads


@given('platform: {slots:d} slots')
def slots(context: Any, slots: int) -> None:
    """Set up a weight store with this number of slots."""
    context.loads = Loads(slots)


@given('platform: a list of instances with these responses in turn')
def scripted_list(context: Any) -> None:
    """Take the responses from the table."""
    context.followed = FollowedList([(int(row['status']), row['body']) for row in context.table])


@when('platform: {count:d} instances load for {seconds:d} seconds each, waiting up to {wait:d}')
def load(context: Any, count: int, seconds: int, wait: int) -> None:
    """Load concurrently."""
    context.loads.load(count, seconds, wait)


@when(
    'platform: the response is lost and {count:d} instances load '
    'for {seconds:d} seconds each, waiting up to {wait:d}'
)
def load_unconfirmed(context: Any, count: int, seconds: int, wait: int) -> None:
    """Load with the response to the first swap lost."""
    context.loads.load(count, seconds, wait, lost_answers=1)


@when('platform: a loader dies and another waits up to {wait:d} seconds')
def die(context: Any, wait: int) -> None:
    """Take a slot without extending its lease, and load from another instance."""
    context.loads.die(wait)


@when('platform: the store goes down during a load of {seconds:d} seconds')
def lose_store(context: Any, seconds: int) -> None:
    """Take the store down during a load, so that no keep-alive arrives."""
    context.loads.lose_store(seconds)


@when('platform: a load fails with its own error')
def fail(context: Any) -> None:
    """Raise an error while the slot is held."""
    context.loads.fail()


@when('platform: the list is followed for {seconds:d} seconds')
def follow(context: Any, seconds: int) -> None:
    """Follow the list."""
    context.followed.follow(seconds)


@then('platform: all loads ended and at most {most:d} ran at once')
def all_ended(context: Any, most: int) -> None:
    """Check how the loads ended, and the largest number at once."""
    assert set(context.loads.ended) == {'loaded'}, context.loads.ended
    assert context.loads.most == most, context.loads.most


@then('platform: {ended:d} loads ended and {gave_up:d} gave up')
def some_ended(context: Any, ended: int, gave_up: int) -> None:
    """Check how the loads ended."""
    found = context.loads.ended
    assert (found.count('loaded'), found.count('TimeoutError')) == (ended, gave_up), found
    assert context.loads.most == ended


@then('platform: the other began {least:d} to {most:d} seconds later')
def began_later(context: Any, least: int, most: int) -> None:
    """Check when the other load began."""
    assert least <= context.loads.began_s[0] <= most, context.loads.began_s


@then('platform: the load was cancelled after {least:d} to {most:d} seconds')
def cancelled(context: Any, least: int, most: int) -> None:
    """Check how the load ended, and when."""
    assert context.loads.ended == ['PermitLost'], context.loads.ended
    assert least <= context.loads.ended_s <= most, context.loads.ended_s


@then('platform: the loader got that error and the slot is free')
def own_error(context: Any) -> None:
    """Check how the loads ended."""
    assert context.loads.ended == ['own error', 'loaded'], context.loads.ended


@then('platform: the reader got "{first}" and then "{second}"')
def reader_got(context: Any, first: str, second: str) -> None:
    """Check the lists that the reader got."""
    assert context.followed.lists == [first, second], context.followed.lists


@then('platform: the second request carried the ETag of the first response')
def tagged(context: Any) -> None:
    """Check the headers of the requests."""
    headers = context.followed.request_headers
    assert 'if-none-match' not in headers[0] and headers[1]['if-none-match'] == '"first"'
    assert len(headers) >= 5
