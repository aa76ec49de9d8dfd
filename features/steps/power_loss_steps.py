"""Steps of power_loss.feature."""

from itertools import pairwise
from typing import Any

from behave import given, then, when

from subjects.power_losses import PowerLosses


@given('{routers:d} routers and {sidecars:d} sidecars whose account has {total:d} tokens')
def note_fleet(context: Any, routers: int, sidecars: int, total: int) -> None:
    """Note what each seed starts."""
    context.sizes = (routers, sidecars, total)


@when('the whole fleet loses power {losses:d} times at random moments, with seeds 1 to {seeds:d}')
def lose_power(context: Any, losses: int, seeds: int) -> None:
    """Play each seed on a fleet of its own."""
    context.fleets = []
    for seed in range(1, seeds + 1):
        fleet = PowerLosses(*context.sizes, seed)
        context.add_cleanup(fleet.close)
        fleet.play(losses)
        context.fleets.append(fleet)


@then('no more tokens were spent than the account has')
def not_overspent(context: Any) -> None:
    """Compare all lives together with the total."""
    spent = [fleet.spent for fleet in context.fleets]
    assert max(spent) <= context.sizes[2], spent


@then('the store never had more tokens granted than the account has')
def not_overgranted(context: Any) -> None:
    """Compare the records with the total."""
    granted = [fleet.most_granted for fleet in context.fleets]
    assert max(granted) <= context.sizes[2], granted


@then('what was granted to lost lives still covers what they had spent')
def still_covered(context: Any) -> None:
    """Check at the end, and at each loss for all losses before it."""
    for fleet in context.fleets:
        for earlier, later in pairwise((*fleet.losses, None)):
            now = fleet.granted() if later is None else later.granted
            kept = sum(now.get(life, 0) for life in earlier.granted)
            assert kept >= earlier.spent, (kept, earlier)


@then('each loss stranded no more than the stated bound')
def bounded(context: Any) -> None:
    """Check each loss by itself."""
    beyond = [
        loss for fleet in context.fleets for loss in fleet.losses if loss.stranded > loss.bound
    ]
    assert not beyond, beyond


@then('requests were admitted again within {seconds:d} seconds of each loss')
def back_within(context: Any, seconds: int) -> None:
    """Check the longest time without an admitted request."""
    away_s = [fleet.longest_away_s for fleet in context.fleets]
    assert max(away_s) <= seconds, away_s
