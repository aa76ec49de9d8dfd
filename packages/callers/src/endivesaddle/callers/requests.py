"""Conversion of an HTTP exchange into a checked ``CallerRequest``."""

import re
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from endivesaddle.callers import limits
from endivesaddle.callers.exchange import JSON, Exchange
from endivesaddle.callers.models import ModelCall, read_chat, read_completion
from endivesaddle.callers.naming import Name
from endivesaddle.callers.refusals import Invalid
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.configuration import Account, Configuration, Model
from endivesaddle.fleet.interfaces import CallerRequest
from endivesaddle.fleet.registry import Registry

CHAT = '/v1/chat/completions'
COMPLETIONS = '/v1/completions'
SERVICES = '/services/'

ReadBody = Callable[[bytes, dict[str, Model], CallersSettings], ModelCall | Invalid]

_bodies: Registry[ReadBody] = Registry('model route')
_bodies.add(CHAT)(read_chat)
_bodies.add(COMPLETIONS)(read_completion)

_AMBIGUOUS_PATH = re.compile(r'//|\\|/\.{1,2}(/|$)')
_NOT_FORWARDED = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        limits.DEADLINE,
        limits.MAY_REPEAT,
        limits.PRIORITY,
        limits.TIMEOUT,
    )
)


class Call(NamedTuple):
    """The call to run; ``rule_path`` is the path that repetition rules are matched against."""

    kind: str
    path: str
    rule_path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    bound_tokens: int
    model: str = ''
    service: str = ''
    stream: bool = False
    max_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()


async def read_request(
    exchange: Exchange,
    name: Name,
    account: Account,
    configuration: Configuration,
    settings: CallersSettings,
) -> CallerRequest | Invalid:
    """Return the request, or the error in it."""
    body = await exchange.body(settings.max_body_bytes)
    if isinstance(body, Invalid):
        return body
    call = read_call(exchange, body, configuration, settings)
    if isinstance(call, Invalid):
        return call
    chosen = limits.read_choices(
        exchange,
        settings,
        account,
        limits.find_rule(
            configuration.repeat_rules, exchange.method, call.service, call.model, call.rule_path
        ),
    )
    if isinstance(chosen, Invalid):
        return chosen
    return _request(exchange, name, account, call, chosen)


def read_call(
    exchange: Exchange, body: bytes, configuration: Configuration, settings: CallersSettings
) -> Call | Invalid:
    """Return the call to run, or the error in it."""
    if exchange.path.startswith(SERVICES):
        return _service_call(exchange, body, configuration)
    call = _bodies.find(exchange.path)(body, configuration.models, settings)
    if isinstance(call, Invalid):
        return call
    return Call(
        kind='engine',
        path=exchange.path,
        rule_path=exchange.path,
        headers=(('content-type', JSON),),
        body=call.body,
        bound_tokens=call.bound_tokens,
        model=call.model,
        stream=call.stream,
        max_tokens=call.max_tokens,
        prefix_hashes=call.prefix_hashes,
    )


def _service_call(exchange: Exchange, body: bytes, configuration: Configuration) -> Call | Invalid:
    name, _, rest = exchange.target.removeprefix(SERVICES).partition('/')
    service = configuration.services.get(name)
    if service is None:
        return Invalid(
            'service_not_found', f'there is no service {name!r}', '', HTTPStatus.NOT_FOUND
        )
    # Repetition rules depend on the path. A server that resolves dot segments would run
    # another path than the one whose rule was found, and so might run a non-repeatable
    # request twice.
    rule_path = exchange.path.removeprefix(SERVICES[:-1]).removeprefix(f'/{name}') or '/'
    if _AMBIGUOUS_PATH.search(rule_path):
        return Invalid('invalid_path', 'the path has empty or dot segments or a backslash')
    return Call(
        kind='service',
        path=f'/{rest}',
        rule_path=rule_path,
        service=name,
        headers=tuple(pair for pair in exchange.header_list if pair[0] not in _NOT_FORWARDED),
        body=body,
        bound_tokens=service.cost_tokens,
    )


def _request(
    exchange: Exchange, name: Name, account: Account, call: Call, chosen: limits.Choices
) -> CallerRequest:
    return CallerRequest(
        account=account.name,
        request_id=name.request_id,
        named=name.named,
        first_attempt=name.first_attempt,
        kind=call.kind,
        model=call.model,
        service=call.service,
        method=exchange.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        stream=call.stream,
        bound_tokens=call.bound_tokens,
        max_tokens=call.max_tokens,
        may_repeat=chosen.may_repeat,
        priority=chosen.priority,
        deadline_unix_s=chosen.deadline_unix_s,
        prefix_hashes=call.prefix_hashes,
    )
