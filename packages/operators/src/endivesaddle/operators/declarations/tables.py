"""The tables of a file of declarations, each with its keys and what it becomes."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from endivesaddle.fleet import configuration as declared
from endivesaddle.fleet.routing.policies import policies
from endivesaddle.operators.access import ROLES
from endivesaddle.operators.declarations import keys

MOST_TOKENS = 10**15
_REPEAT = MappingProxyType({'may': (True, False), 'never': (False, False), 'caller': (False, True)})


class NamedTable(NamedTuple):
    """A table of named entries, ``[accounts.atelier]``."""

    keys: keys.Keys
    make: Callable[..., Any]


NAMED: Mapping[str, NamedTable] = MappingProxyType(
    {
        'accounts': NamedTable(
            {
                'key_digests': keys.optional(keys.list_of(keys.digest)),
                'budget_tokens': keys.required(keys.integer(0, MOST_TOKENS)),
                'priority': keys.optional(keys.integer(0, 9)),
                'max_queued': keys.optional(keys.integer(0, 100_000)),
            },
            declared.Account,
        ),
        'models': NamedTable(
            {
                'max_output_tokens': keys.optional(keys.integer(1, 10_000_000)),
                'message_overhead_tokens': keys.optional(keys.integer(0, 100_000)),
                'adapter': keys.optional(keys.text),
                'version': keys.optional(keys.text),
            },
            declared.Model,
        ),
        'services': NamedTable(
            {'cost_tokens': keys.optional(keys.integer(0, MOST_TOKENS))}, declared.Service
        ),
        'servers': NamedTable(
            {
                'data_centre': keys.required(keys.name),
                'url': keys.required(keys.url),
                'kind': keys.required(keys.one_of('engine', 'service')),
                'models': keys.optional(keys.list_of(keys.name)),
                'service': keys.optional(keys.name),
                'checks_orders': keys.optional(keys.flag),
                'slots': keys.optional(keys.integer(1, 100_000)),
            },
            declared.BackendServer,
        ),
        'operators': NamedTable(
            {
                'token_digest': keys.required(keys.digest),
                'role': keys.required(keys.one_of(*ROLES)),
            },
            declared.Operator,
        ),
    }
)
RULE_KEYS: keys.Keys = MappingProxyType(
    {
        'repeat': keys.required(keys.one_of(*_REPEAT)),
        'service': keys.optional(keys.name),
        'method': keys.optional(keys.one_of('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')),
        'path_prefix': keys.optional(keys.text),
        'model': keys.optional(keys.name),
    }
)
POLICY_KEYS: keys.Keys = MappingProxyType(
    {
        'routing.engine': keys.optional(keys.one_of(*policies)),
        'routing.service': keys.optional(keys.one_of(*policies)),
    }
)
REPEAT_CHOICES = tuple(_REPEAT)


def repeat_rule(repeat: str, **fields: str) -> declared.RepeatRule:
    """Return a rule: may (be repeated), never, or caller (who may allow it)."""
    may_repeat, caller_may_choose = _REPEAT[repeat]
    return declared.RepeatRule(may_repeat, caller_may_choose=caller_may_choose, **fields)
