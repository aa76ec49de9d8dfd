"""The options that a caller may set for its request: deadline, priority, repetition."""

import math
from http import HTTPStatus
from types import MappingProxyType
from typing import NamedTuple

from endivesaddle.callers.exchange import Exchange
from endivesaddle.callers.refusals import Invalid
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.configuration import Account, RepeatRule

DEADLINE = 'x-deadline-unix-s'
TIMEOUT = 'x-timeout-s'
PRIORITY = 'x-priority'
MAY_REPEAT = 'x-may-repeat'

_SAFE_METHODS = frozenset(('GET', 'HEAD'))
_BOOLEANS = MappingProxyType({'true': True, 'false': False})
_MAX_PRIORITY = 1000


class Choices(NamedTuple):
    """The options of a request."""

    may_repeat: bool
    priority: int
    deadline_unix_s: float


def read_choices(
    exchange: Exchange, settings: CallersSettings, account: Account, rule: RepeatRule
) -> Choices | Invalid:
    """Return the options of a request, or the error in the first wrong one."""
    may_repeat = _may_repeat(exchange, rule)
    if isinstance(may_repeat, Invalid):
        return may_repeat
    priority = _priority(exchange, account)
    if isinstance(priority, Invalid):
        return priority
    deadline_unix_s = _deadline(exchange, settings)
    if isinstance(deadline_unix_s, Invalid):
        return deadline_unix_s
    return Choices(may_repeat, priority, deadline_unix_s)


def find_rule(
    rules: tuple[RepeatRule, ...], method: str, service: str, model: str, path: str
) -> RepeatRule:
    """Return the first rule that matches, or the default.

    By default, model requests may be repeated; calls of services may be repeated if their
    HTTP method is safe.
    """
    for rule in rules:
        if _matches(rule, method, service, model, path):
            return rule
    return RepeatRule(may_repeat=not service or method in _SAFE_METHODS)


def _matches(rule: RepeatRule, method: str, service: str, model: str, path: str) -> bool:
    return (
        rule.service in {'', service}
        and rule.model in {'', model}
        and rule.method.upper() in {'', method}
        and path.startswith(rule.path_prefix)
    )


def _may_repeat(exchange: Exchange, rule: RepeatRule) -> bool | Invalid:
    text = exchange.headers.get(MAY_REPEAT)
    if text is None:
        return rule.may_repeat
    wanted = _BOOLEANS.get(text.lower())
    if wanted is None:
        return Invalid('invalid_may_repeat', f'{MAY_REPEAT} must be true or false', MAY_REPEAT)
    # A caller may always forbid repetition, but needs a rule of the operators to allow it.
    if wanted and not (rule.may_repeat or rule.caller_may_choose):
        return Invalid(
            'may_not_choose', 'no rule allows callers to permit repetition of this call', MAY_REPEAT
        )
    return wanted


def _priority(exchange: Exchange, account: Account) -> int | Invalid:
    """Return the requested priority, but none more urgent (lower) than the account's."""
    text = exchange.headers.get(PRIORITY)
    if text is None:
        return account.priority
    if not text.isdecimal() or int(text) > _MAX_PRIORITY:
        return Invalid(
            'invalid_priority', f'{PRIORITY} must be a number from 0 to {_MAX_PRIORITY}', PRIORITY
        )
    return max(account.priority, int(text))


def _deadline(exchange: Exchange, settings: CallersSettings) -> float | Invalid:
    """Return the deadline in Unix seconds.

    A timeout in seconds is converted to a deadline on arrival, and is meant for callers whose
    clocks are off. ``max_timeout_s`` bounds both.
    """
    now_unix_s = exchange.began_unix_s
    requested_unix_s = now_unix_s + settings.default_timeout_s
    for header, base_unix_s in ((TIMEOUT, now_unix_s), (DEADLINE, 0)):
        text = exchange.headers.get(header)
        if text is not None:
            number = _finite(text)
            if number is None:
                return Invalid('invalid_deadline', f'{header} must be a number of seconds', header)
            requested_unix_s = base_unix_s + number
    if requested_unix_s <= now_unix_s:
        return Invalid(
            'deadline_passed', 'the deadline has passed', status=HTTPStatus.GATEWAY_TIMEOUT
        )
    return min(requested_unix_s, now_unix_s + settings.max_timeout_s)


def _finite(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
