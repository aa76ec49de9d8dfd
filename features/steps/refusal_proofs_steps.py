"""Steps of refusal_proofs.feature."""

from types import MappingProxyType
from typing import Any

from behave import given, then, when

from subjects.random_exchanges import RandomPlays
from subjects.refusal_proofs import ProofPlay, Sent, behaving, first_alone, requests

COUNTS = MappingProxyType({'two': 2, 'three': 3, 'four': 4})
ATTEMPTS = 3
CALLERS = 4
RETRIES_LEFT = 2
RETRIES_USED_UP = 1000
"""Routers that share the retries: with so many of them, one has none."""


@given('{servers} servers, of which the first to get a request {behaviour}')
def first(context: Any, servers: str, behaviour: str) -> None:
    """Prepare a play with retries and one without."""
    context.plays = [
        first_alone(behaviour, COUNTS[servers], routers)
        for routers in (RETRIES_LEFT, RETRIES_USED_UP)
    ]


@given('{servers} servers, of which one {behaviour}')
def one(context: Any, servers: str, behaviour: str) -> None:
    """Prepare a play."""
    context.plays = [behaving(behaviour, 1, COUNTS[servers])]


@when('a caller sends one {kind} request, while retries are left and when they are used up')
def send(context: Any, kind: str) -> None:
    """Play each of them, with one attempt and with several."""
    for play in context.plays:
        play.play([[Sent('one', kind, ATTEMPTS)]])


@when('callers send {count:d} {kind} requests')
def send_many(context: Any, count: int, kind: str) -> None:
    """Play them, dealt out to callers."""
    for play in context.plays:
        play.play(requests(kind, count, CALLERS))


def check_promises(plays: list[ProofPlay]) -> None:
    """Print and fail on each broken promise."""
    broken = [text for play in plays for text in play.broken()]
    assert not broken, '\n'.join(broken)
    assert all(play.ledger.received for play in plays), 'no server got a request'


@then('nothing that ran is told as not run, and nothing runs twice')
@then('nothing that ran is told as not run, and nothing comes in parts')
def kept(context: Any) -> None:
    """Check the promises of all answers."""
    check_promises(context.plays)


@then('it is answered by the other server, or refused as not run')
def elsewhere(context: Any) -> None:
    """Check both answers."""
    check_promises(context.plays)
    retried, refused = (play.told[0] for play in context.plays)
    assert (retried.status, retried.complete) == (200, True), retried
    assert (refused.status, refused.says_not_run) == (503, True), refused


@then('at least {count:d} requests were refused truthfully')
def dosed(context: Any, count: int) -> None:
    """Check that the play had what it is about."""
    found = context.plays[0].truthful_refusals()
    assert found >= count, found


@given('servers that behave at random, for {count:d} seeds from {first:d}')
def random_servers(context: Any, count: int, first: int) -> None:
    """Prepare the plays of some seeds."""
    context.random_plays = RandomPlays(range(first, first + count))


@when('callers send requests of all kinds')
def play_random(context: Any) -> None:
    """Play all seeds."""
    context.random_plays.play()


@then('no promise to a caller is broken')
def none_broken(context: Any) -> None:
    """Print and fail on each broken promise, with its seed and what the servers did."""
    assert not context.random_plays.broken, '\n'.join(context.random_plays.broken)


@then('at least a quarter of the requests was played at random')
def played(context: Any) -> None:
    """Check that the servers got requests enough."""
    plays = context.random_plays
    assert 4 * plays.odd >= plays.requests, (plays.odd, plays.requests)
