"""Steps of shared_polls.feature."""

from typing import Any

from behave import given, then, when

from subjects.shared_polls import SharedFleet

MS_IN_S = 1000


@given('{routers:d} routers that follow a prefix through one sidecar')
def start(context: Any, routers: int) -> None:
    """Start them."""
    context.fleet = SharedFleet(routers)
    context.add_cleanup(context.fleet.close)


@when('{seconds:d} seconds go by without changes')
def go_by(context: Any, seconds: int) -> None:
    """Let time pass."""
    context.fleet.sleep(seconds)


@when('a key below the prefix is written')
def written(context: Any) -> None:
    """Write it."""
    context.key = context.fleet.write()


@when('{size:d} bytes are written below the prefix')
def written_large(context: Any, size: int) -> None:
    """Write them; the routers' answers are looked at from here on."""
    context.before = [router.failures for router in context.fleet.routers]
    context.key = context.fleet.write(b'x' * size)


@when("the sidecar's store falls silent")
def silent(context: Any) -> None:
    """Swallow what the sidecar asks."""
    context.fleet.link.cut = True


@when("the sidecar's store answers again")
def answers(context: Any) -> None:
    """Let everything through again."""
    context.fleet.link.cut = False


@when('the store drops its history while a key below the prefix is written')
def forget(context: Any) -> None:
    """Drop it."""
    context.key = context.fleet.forget_while_writing()


@then('the store was polled at most {most:d} times')
def polled(context: Any, most: int) -> None:
    """Count the calls."""
    assert 0 < context.fleet.store.calls['watch'] <= most, context.fleet.store.calls


@then('all routers know it within {ms:d} ms')
def all_know(context: Any, ms: int) -> None:
    """Wait so long and look."""
    context.fleet.sleep(ms / MS_IN_S)
    lacking = [router for router in context.fleet.routers if context.key not in router.known]
    assert not lacking, len(lacking)


@then('a router that asks from the beginning is told of it')
def told_late(context: Any) -> None:
    """Ask once."""
    assert context.key in context.fleet.late_router().known


@then('all routers are told within {ms:d} ms that the sidecar does not know')
def told(context: Any, ms: int) -> None:
    """Wait so long and look."""
    before = [router.failures for router in context.fleet.routers]
    context.fleet.sleep(ms / MS_IN_S)
    after = [router.failures for router in context.fleet.routers]
    assert all(now > then for now, then in zip(after, before, strict=True)), (before, after)


@then('no router is told that the sidecar does not know')
def told_nothing_else(context: Any) -> None:
    """Compare with the moment before."""
    assert [router.failures for router in context.fleet.routers] == context.before


@then('all routers are told that the sidecar does not know, or know the key')
def told_or_know(context: Any) -> None:
    """Let a poll end, and look at each."""
    context.fleet.sleep(2)
    for router in context.fleet.routers:
        assert router.failures or context.key in router.known
