"""Steps of runs.feature and runs_bills.feature that do something; runs_checks_steps.py checks."""

from typing import Any

import anyio
from behave import given, when

from endivesaddle.stand_ins.engine_state import EngineSwitches
from endivesaddle.stand_ins.memory_peers import Fault
from endivesaddle.wire import holders_pb2, rpcs, runs_pb2
from subjects.runs import HOLDER, OTHER_HOLDER, ROUTER, SIDECAR, SidecarRuns

WORDS = frozenset(('digest', 'data_centre'))


def fields_of(text: str) -> dict[str, Any]:
    """Read "name=value and name=value"."""
    pairs = [pair.split('=') for pair in text.split(' and ')]
    return {name: word if name in WORDS else number_of(word) for name, word in pairs}


def number_of(word: str) -> float:
    """Read a whole number or one with a point."""
    return float(word) if '.' in word else int(word)


def later(context: Any, action: Any) -> None:
    """Queue an action without a wait in it."""

    async def act(subject: SidecarRuns) -> None:
        action(subject)

    context.subject.later(act)


@given('a sidecar')
def sidecar(context: Any) -> None:
    """Start with an engine without faults."""
    context.subject = SidecarRuns()


@given('a sidecar with {text}')
def sidecar_with(context: Any, text: str) -> None:
    """Start with other settings."""
    context.subject = SidecarRuns(**fields_of(text))


@given('a sidecar beside a plain service that {fault}')
def sidecar_of_service(context: Any, fault: str) -> None:
    """Start with a service and a fault of it."""
    context.subject = SidecarRuns('service')
    context.subject.service.die_before_answer = fault == 'dies before its answer'
    context.subject.service.silent = fault == 'falls silent'


@given("the sidecar's engine answers {tokens:d} tokens")
def engine_tokens(context: Any, tokens: int) -> None:
    """Set the length of answers."""
    context.subject.state.switches.answer_tokens = tokens


@given("the sidecar's engine dies after {tokens:d} tokens")
def engine_dies(context: Any, tokens: int) -> None:
    """Break answers off."""
    context.subject.state.switches.die_after_tokens = tokens


@given("the sidecar's engine falls silent after {tokens:d} tokens")
def engine_silent(context: Any, tokens: int) -> None:
    """Stop sending without closing."""
    context.subject.state.switches.silent_after_tokens = tokens


@given("the sidecar's engine reports {tokens:d} tokens too many")
def engine_over_reports(context: Any, tokens: int) -> None:
    """Report too much."""
    context.subject.state.switches.over_report_tokens = tokens


@given("the sidecar's engine refuses with status {status:d}")
def engine_refuses(context: Any, status: int) -> None:
    """Answer with an error."""
    context.subject.state.switches.refuse_status = status


@given("the sidecar's engine takes {seconds:d} seconds to its first token")
def engine_first_token(context: Any, seconds: int) -> None:
    """Make the engine slow to begin."""
    context.subject.state.switches.first_token_s = seconds


@given("the sidecar's engine takes {seconds:d} second for each token")
@given("the sidecar's engine takes {seconds:d} seconds for each token")
def engine_token(context: Any, seconds: int) -> None:
    """Make the engine slow."""
    context.subject.state.switches.token_s = seconds
    context.subject.state.switches.first_token_s = 0


@given("the sidecar's engine can't be reached")
def engine_unreachable(context: Any) -> None:
    """Refuse connections."""
    context.subject.state.switches.unreachable = True


@given("the sidecar's engine reports no usage")
def engine_no_usage(context: Any) -> None:
    """Leave usage out."""
    context.subject.state.switches.no_usage = True


@when("the sidecar's engine is well again")
def engine_well(context: Any) -> None:
    """Set all switches back."""
    later(context, lambda subject: setattr(subject.state, 'switches', EngineSwitches()))


@when('a router starts "{key}" at the sidecar')
def start(context: Any, key: str) -> None:
    """Send a START."""
    context.subject.later(lambda subject: subject.start(key))


@when('a router starts "{key}" at the sidecar with {text}')
def start_with(context: Any, key: str, text: str) -> None:
    """Send a START with other fields."""
    context.subject.later(lambda subject: subject.start(key, **fields_of(text)))


@when('routers start {count:d} other runs at the sidecar')
def start_many(context: Any, count: int) -> None:
    """Send a START for each."""
    for number in range(count):
        start(context, f'many/r{number}')


@when('routers run and fetch {count:d} requests at the sidecar, one after another')
def run_many(context: Any, count: int) -> None:
    """Start and fetch each."""
    for number in range(count):
        start(context, f'many/r{number}')
        fetch(context, f'many/r{number}')


@when('a router fetches "{key}" from the sidecar')
def fetch(context: Any, key: str) -> None:
    """Follow to the end."""
    context.subject.later(lambda subject: subject.fetch(key))


@when('a router fetches "{key}" from the sidecar from byte {offset:d}')
def fetch_from(context: Any, key: str, offset: int) -> None:
    """Follow from an offset."""
    context.subject.later(lambda subject: subject.fetch(key, offset))


@when('a router starts following "{key}" at the sidecar')
def follow(context: Any, key: str) -> None:
    """Follow beside what comes next."""
    later(context, lambda subject: subject.start_fetching(key))


@when('a router starts following "{key}" at the sidecar with pauses of {seconds:d} seconds')
def follow_slowly(context: Any, key: str, seconds: int) -> None:
    """Follow slowly beside what comes next."""
    later(context, lambda subject: subject.start_fetching(key, seconds))


@when('{seconds:g} seconds pass at the sidecar')
@when('{seconds:g} second pass at the sidecar')
def wait(context: Any, seconds: float) -> None:
    """Let time pass."""
    context.subject.later(lambda _: anyio.sleep(seconds))


@when('a router cancels "{key}" at incarnation {incarnation:d} of the sidecar')
def cancel(context: Any, key: str, incarnation: int) -> None:
    """Cancel the first attempt."""
    message = runs_pb2.CancelRequest(request_key=key, attempt=1, incarnation=incarnation)
    context.subject.later(lambda subject: subject.call(rpcs.CANCEL, message))


@when('a router tells the sidecar to drain')
def drain(context: Any) -> None:
    """Drain by the call."""
    message = runs_pb2.DrainRequest(reason='operator')
    context.subject.later(lambda subject: subject.call(rpcs.DRAIN, message))


@when('the sidecar is stopped gracefully within {seconds:d} seconds')
def stop(context: Any, seconds: int) -> None:
    """Drain as the process does when it is told to stop."""
    later(context, lambda subject: subject.start_draining(seconds))


@when('the sidecar is restarted')
def restart(context: Any) -> None:
    """Kill it and start the next incarnation."""
    context.subject.later(lambda subject: subject.restart())


@when('epochs below {epoch:d} of {data_centre} are sealed at the sidecar')
def seal(context: Any, epoch: int, data_centre: str) -> None:
    """Seal shard 3."""
    message = holders_pb2.SealRequest(shard=3, data_centre=data_centre, below_epoch=epoch)
    context.subject.later(lambda subject: subject.call(rpcs.SEAL_RUNS, message))


@when("revision {revision:d} of the configuration renames the server's models")
def declare_models(context: Any, revision: int) -> None:
    """Change the server's own declaration, after it was seen once."""
    context.subject.later(lambda subject: subject.start('atelier/r0'))
    later(context, lambda subject: subject.view.declare(revision, models=('board-2',)))


@when('revision {revision:d} of the configuration says that the server leaves')
def declare_leaving(context: Any, revision: int) -> None:
    """Drain by declaration."""
    later(context, lambda subject: subject.view.declare(revision, leaving=True))


@when('revision {revision:d} of the configuration changes nothing of the server')
def declare_same(context: Any, revision: int) -> None:
    """Raise the revision alone."""
    later(context, lambda subject: subject.view.declare(revision))


@when("the platform's list says that the sidecar leaves")
def list_leaving(context: Any) -> None:
    """Enter the sidecar into the list."""
    later(context, lambda subject: subject.view.gone.add('porto-a/sidecar-1'))


@when('the network doubles what routers send to the sidecar')
def double(context: Any) -> None:
    """Deliver twice."""
    context.subject.net.faults[ROUTER, SIDECAR] = Fault.DUPLICATE


@when('what the sidecar sends vanishes')
def vanish(context: Any) -> None:
    """Lose one direction."""
    later(context, lambda subject: subject.net.faults.update({(SIDECAR, ROUTER): Fault.SILENT}))


@when('the network of the sidecar is well again')
def heal(context: Any) -> None:
    """Remove the faults."""
    later(context, lambda subject: subject.net.heal())


@when('the holders are cut off from the sidecar')
def cut_holders(context: Any) -> None:
    """Part them."""
    later(context, lambda subject: subject.net.part({SIDECAR}, {HOLDER, OTHER_HOLDER}))


@when("the holders' replies to the sidecar are lost")
def lose_replies(context: Any) -> None:
    """Lose what the holders send back."""
    for holder in (HOLDER, OTHER_HOLDER):
        context.subject.net.faults[SIDECAR, holder] = Fault.LOST_REPLY


@when('the holders have heard no bill for "{key}" yet')
def no_bill_yet(context: Any, key: str) -> None:
    """Check at this point of the scene."""

    def check(subject: SidecarRuns) -> None:
        assert subject.bills(key) == [], subject.bills(key)

    later(context, check)


@when('the holder points to the other one')
def move_holder(context: Any) -> None:
    """Answer with an address that the sidecar knows from nowhere else."""
    context.subject.view.routers = []
    context.subject.holder.points_to = OTHER_HOLDER


@when('the holder dies')
def kill_holder(context: Any) -> None:
    """Stop answering."""
    context.subject.net.kill(HOLDER)
