"""Steps of shared_polls.feature."""

from typing import Any

from behave import given, then, when

from subjects.shared_polls import SharedFleet

MS_IN_S = 1000


@given('{routers:d} routers that follow a prefix through one sidecar')
def start(context: Any, routers: int) -> None:
    """Start the sidecar and the routers."""
    context.fleet = SharedFleet(routers)
    context.add_cleanup(context.fleet.close)


@when('{seconds:d} seconds pass without changes')
def go_by(context: Any, seconds: int) -> None:
    """Let virtual time pass."""
    context.fleet.sleep(seconds)


@when('a key below the prefix is written')
def written(context: Any) -> None:
    """Write a key."""
    context.key = context.fleet.write()


@when('{size:d} bytes are written below the prefix')
def written_large(context: Any, size: int) -> None:
    """Write the bytes, after noting the routers' failures so far."""
    context.before = [router.failures for router in context.fleet.routers]
    context.key = context.fleet.write(b'x' * size)


@when("the sidecar's store stops answering")
def silent(context: Any) -> None:
    """Drop the answers to the sidecar's polls."""
    context.fleet.link.cut = True


@when("the sidecar's store answers again")
def answers(context: Any) -> None:
    """Deliver answers again."""
    context.fleet.link.cut = False


@when('the store drops its history while a key below the prefix is written')
def forget(context: Any) -> None:
    """Drop the history at the moment of a write."""
    context.key = context.fleet.forget_while_writing()


@then('the store was polled at most {most:d} times')
def polled(context: Any, most: int) -> None:
    """Check the number of polls."""
    assert 0 < context.fleet.store.calls['watch'] <= most, context.fleet.store.calls


@then('all routers have the change within {ms:d} ms')
def all_know(context: Any, ms: int) -> None:
    """Wait, and check all routers."""
    context.fleet.sleep(ms / MS_IN_S)
    lacking = [router for router in context.fleet.routers if context.key not in router.known]
    assert not lacking, len(lacking)


@then('a router that asks from the beginning gets the change')
def late_router(context: Any) -> None:
    """Poll once."""
    assert context.key in context.fleet.late_router().known


@then('all routers get an error from the sidecar within {ms:d} ms')
def errors(context: Any, ms: int) -> None:
    """Wait, and check all routers."""
    before = [router.failures for router in context.fleet.routers]
    context.fleet.sleep(ms / MS_IN_S)
    after = [router.failures for router in context.fleet.routers]
    assert all(now > then for now, then in zip(after, before, strict=True)), (before, after)


@then('no router gets an error from the sidecar')
def no_errors(context: Any) -> None:
    """Compare the failures with those before the write."""
    assert [router.failures for router in context.fleet.routers] == context.before


@then('all routers get an error from the sidecar, or have the key')
def errors_or_key(context: Any) -> None:
    """Let a poll end, and check all routers."""
    context.fleet.sleep(2)
    for router in context.fleet.routers:
        assert router.failures or context.key in router.known
