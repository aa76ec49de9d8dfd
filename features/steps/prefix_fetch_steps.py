"""Steps of prefix_fetch.feature."""

from typing import Any

import msgspec
from behave import given, then, when

from endivesaddle.fleet.routing.backends import ForwardRoutingRequest
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.prefix_fetch import FetchContext, fetch_policies
from subjects import users_platform
from subjects.fetch_choice import FetchChoice, sent_headers
from subjects.pages_documents import PAGES_CONFIG
from subjects.placement_replay import replays


@when('11 routers carry {factor:g} times the usual load on 25 engines, with and without fetches')
def carry(context: Any, factor: float) -> None:
    """Replay the load with both settings."""
    context.loads = {
        name: list(replays(ForwardSettings(prefix_fetch=name), factor, slowness=1.3))
        for name in ('off', 'declared')
    }


@then(
    'of the shared tokens that the routers know to be cached, at most a quarter is processed again'
)
def quarter(context: Any) -> None:
    """Compare the tokens of all seeds."""
    again = _sums(context, 'reported_again_tokens')
    assert again['declared'] <= again['off'] / 4, again


@then('of all shared tokens, at most half is processed again')
def half(context: Any) -> None:
    """Compare the tokens of all seeds."""
    again = _sums(context, 'again_tokens')
    assert again['declared'] <= again['off'] / 2, again


@then('of all shared tokens, at most a quarter is processed again')
def quarter_of_all(context: Any) -> None:
    """Compare the tokens of all seeds."""
    again = _sums(context, 'again_tokens')
    assert again['declared'] <= again['off'] / 4, again


@then('at most one in 1000 requests more is late')
def late(context: Any) -> None:
    """Compare the late first events of all seeds; few are late at all at the lower loads."""
    counts = _sums(context, 'late')
    assert counts['declared'] <= counts['off'] + _sums(context, 'count')['off'] / 1000, counts


def _sums(context: Any, field: str) -> dict[str, int]:
    return {name: sum(getattr(one, field) for one in all_) for name, all_ in context.loads.items()}


@given('a router whose engines fetch parts as {setting}')
def start(context: Any, setting: str) -> None:
    """Start one."""
    context.choice = FetchChoice(setting)


@when('the links of the engines have {mbps:d} Mbit/s')
def slow_links(context: Any, mbps: int) -> None:
    """Declare the rate."""
    context.choice.declare(mbps)


@when('the engines do this: {news}')
def play(context: Any, news: str) -> None:
    """Play each "subject verb argument", or "argument verb"."""
    for one in news.split(', '):
        subject, verb, *arguments = one.split()
        getattr(context.choice, verb)(subject, *arguments)


@then('the request names "{source}"')
def names(context: Any, source: str) -> None:
    """Check the source."""
    assert context.choice.source() == source, context.choice.source()


@then('the request names ""')
def names_none(context: Any) -> None:
    """Check that there is none."""
    assert not context.choice.source()


@then('an engine gets "{header}" with the address of the source, and without a source it does not')
def header(context: Any, header: str) -> None:
    """Check the headers of two requests."""
    assert sent_headers(users_platform.header_names(), 'one')[header] == 'one:1'
    assert header not in sent_headers(users_platform.header_names(), '')


@then('no caller can set "{header}"')
def reserved(context: Any, header: str) -> None:
    """Check that callers' headers of that name are dropped."""
    assert header in users_platform.header_names().reserved


@then('"{token_bytes}" and "{rate}" of an engine are read')
def engine_fields(context: Any, token_bytes: str, rate: str) -> None:
    """Decode a configuration with them."""
    document = msgspec.json.encode(dict(PAGES_CONFIG))
    service = users_platform.module('documents').read_config(document).services[0]
    fields = PAGES_CONFIG['services'][0]['engine']
    assert (service.token_bytes, service.transfer_mbps) == (fields[token_bytes], fields[rate])


@then('fetches are on where the configuration declares "{first}" and "{second}", and else off')
def declared_fields(context: Any, first: str, second: str) -> None:
    """Decode configurations with both fields, with one of them, and with none."""
    settings, _ = users_platform.read_node(users_platform.NODE)
    policy = fetch_policies.find(settings.forward.prefix_fetch)
    complete = PAGES_CONFIG['services'][0]['engine']
    for missing in ((), (first,), (second,), (first, second)):
        engine = {name: number for name, number in complete.items() if name not in missing}
        service = {**PAGES_CONFIG['services'][0], 'engine': engine}
        document = msgspec.json.encode({**PAGES_CONFIG, 'services': [service]})
        declared = users_platform.module('documents').read_config(document).services[0]
        context_of = FetchContext(ForwardRoutingRequest('r-1', declared.name), declared, (), 0.0)
        assert (policy(context_of) is None) is bool(missing), (missing, declared)
