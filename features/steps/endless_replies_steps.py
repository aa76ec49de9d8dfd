"""Steps of endless_replies.feature."""

from typing import Any

from behave import given, then, when

from subjects.endless_replies import ANSWERED_BYTES, EndlessReplies

MB = 1_000_000


@given('endless replies: a peer that sends {sent} without end')
@given('endless replies: an instance that answers a call with {sent}')
def start(context: Any, sent: str) -> None:
    """Prepare the peer."""
    context.replies = EndlessReplies(sent)


@when('endless replies: the instance is called')
def call_instance(context: Any) -> None:
    """Call it."""
    context.replies.call_instance()


@when('endless replies: {name} is called')
def call(context: Any, name: str) -> None:
    """Call the peer."""
    context.replies.call(name)


@then('endless replies: the call ended with {error} within {within_s:d} seconds')
def ended(context: Any, error: str, within_s: int) -> None:
    """Check the error and the time."""
    replies = context.replies
    assert (replies.error, replies.took_s <= within_s) == (error, True), (
        replies.error,
        replies.took_s,
    )


@then('endless replies: at most {megabytes:d} MB were held')
def held(context: Any, megabytes: int) -> None:
    """Compare the memory that was allocated."""
    assert context.replies.held_bytes <= megabytes * MB, context.replies.held_bytes


@then('endless replies: at most {megabytes:d} MB were held beyond the message itself')
def held_beyond(context: Any, megabytes: int) -> None:
    """Compare the memory beyond what the sender in the same process needs for its message."""
    own_bytes = 2 * ANSWERED_BYTES
    assert context.replies.held_bytes <= own_bytes + megabytes * MB, context.replies.held_bytes
