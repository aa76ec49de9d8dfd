"""Steps of placing.feature."""

from typing import Any

from behave import then, when

from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routing.backends import Backend, ForwardRoutingRequest
from endivesaddle.fleet.routing.placement_policies import (
    PlacementContext,
    least_busy,
    placement_policies,
)
from subjects.placing import PlacingLoad
from subjects.placing_bursts import BurstLoad
from subjects.placing_desks import AdmissionLoad

PER_S = 30
FAILING_S = 5
MENDED_S = 25
HUNDRED = 100


@when(
    '{engines:d} engines and {routers:d} routers carry {per_s:d} requests a second '
    'for {seconds:d} seconds, {hot:d} of 100 about one subject'
)
def carry(context: Any, engines: int, routers: int, per_s: int, seconds: int, hot: int) -> None:
    """Replay the load under each policy."""
    context.loads = {}
    for policy in placement_policies:
        load = PlacingLoad(engines, routers)
        load.play(policy, per_s, seconds, hot / HUNDRED)
        context.loads[policy] = load
    without_reports = PlacingLoad(engines, routers, reports=False)
    without_reports.play('earliest_first_event', per_s, seconds, hot / HUNDRED)
    context.loads['without reports'] = without_reports


@then('{ours} processes at least {less:d} of 100 fewer shared tokens than {baseline}')
def fewer(context: Any, ours: str, less: int, baseline: str) -> None:
    """Compare the tokens processed."""
    read = context.loads[ours].shared_tokens
    other = context.loads[baseline].shared_tokens
    assert read <= other * (1 - less / HUNDRED), (read, other)


@then('{ours} is late no more often than {baseline}')
def late(context: Any, ours: str, baseline: str) -> None:
    """Compare late first tokens."""
    counts = context.loads[ours].late, context.loads[baseline].late
    assert counts[0] <= counts[1], counts


@then('{ours} is late at most half as often as {baseline}')
def half_as_late(context: Any, ours: str, baseline: str) -> None:
    """Compare late first tokens."""
    counts = context.loads[ours].late, context.loads[baseline].late
    assert counts[1] > HUNDRED, counts
    assert counts[0] <= counts[1] / 2, counts


@when('{engines:d} engines and {routers:d} routers carry {bursts:d} bursts of large prompts')
def carry_bursts(context: Any, engines: int, routers: int, bursts: int) -> None:
    """Replay them with and without immediate reports."""
    context.bursts = {}
    for at_once in (False, True):
        load = BurstLoad(engines, routers, at_once)
        load.play('earliest_first_event', bursts)
        context.bursts[at_once] = load


@then('at most a third as many are late when large prompts are reported at once as when not')
def third_late(context: Any) -> None:
    """Compare late first tokens."""
    counts = context.bursts[True].late, context.bursts[False].late
    assert counts[0] <= counts[1] / 3, counts


@then('at most {most:d} of 100 are late when large prompts are reported at once')
def few_late(context: Any, most: int) -> None:
    """Look at the share."""
    load = context.bursts[True]
    assert load.late <= load.count * most / HUNDRED, load.late


@when(
    '{engines:d} engines and {routers:d} routers carry {per_s:d} prompts a second '
    'for {seconds:d} seconds, with late reports from each other'
)
def carry_late(context: Any, engines: int, routers: int, per_s: int, seconds: int) -> None:
    """Replay them with and without sidecars beside the engines."""
    context.asked = {}
    for asked in (False, True):
        load = AdmissionLoad(engines, routers, asked)
        load.play(per_s, seconds)
        context.asked[asked] = load


@then('at most a third as many are late when the sidecars beside the engines are asked')
def third_asked(context: Any) -> None:
    """Compare late first tokens."""
    counts = context.asked[True].late, context.asked[False].late
    assert counts[0] <= counts[1] / 3, (counts, context.asked[True].count)


@then('at most {most:d} of 100 are late when they are asked')
def few_asked(context: Any, most: int) -> None:
    """Look at the share."""
    load = context.asked[True]
    assert load.late <= load.count * most / HUNDRED, (load.late, load.count)


@when('one of 3 plain servers fails all its requests for {seconds:d} seconds')
def fail(context: Any, seconds: int) -> None:
    """Send at a constant rate, and record the choices during the failure and after."""
    servers = [RouteServer(f'life-{n}', 'plain', f'{n}:1', 'a', 6) for n in range(3)]
    backends = [Backend(server) for server in servers]
    context.chosen = {'failing': [], 'repaired': []}
    for number in range(PER_S * (MENDED_S + FAILING_S)):
        now_unix_s = number / PER_S
        routing_request = ForwardRoutingRequest(str(number), 'plain')
        backend = least_busy(
            PlacementContext(routing_request, backends, 'a', False, now_unix_s, number)
        )
        failing = now_unix_s < seconds
        if failing or now_unix_s > MENDED_S:
            context.chosen['failing' if failing else 'repaired'].append(backend is backends[0])
        backend.start_request(routing_request, now_unix_s)
        backend.end_request(routing_request)
        backend.record_outcome(not failing or backend is not backends[0], now_unix_s)


@then('it gets at most {most:d} of 100 requests while it fails')
def chosen_failing(context: Any, most: int) -> None:
    """Look at the share."""
    chosen = context.chosen['failing']
    assert sum(chosen) / len(chosen) <= most / HUNDRED, sum(chosen) / len(chosen)


@then('it gets at least {least:d} of 100 from {after:d} seconds after it is repaired')
def chosen_repaired(context: Any, least: int, after: int) -> None:
    """Look at the share."""
    chosen = context.chosen['repaired']
    assert sum(chosen) / len(chosen) >= least / HUNDRED, sum(chosen) / len(chosen)
