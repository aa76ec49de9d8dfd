"""Fields that queries may ask for, by what is asked about.

A field reads its value from a record of a request or from a row of a table.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from endivesaddle.operators.values import KINDS, Kind

Fields = Mapping[str, 'Field']
_TEXT = KINDS.find('text')
_NUMBER = KINDS.find('number')
_FLAG = KINDS.find('flag')
_TIME = KINDS.find('time')


class Field(NamedTuple):
    """One field: how its value is written, where it is read, what it means.

    ``edge`` is low or high for a field that is one end of a range of time.
    """

    name: str
    kind: Kind
    read: Callable[[Any], Any]
    meaning: str
    edge: str = ''


def value_of(record: Any, attribute: str) -> Any:
    """Return a value of a protobuf record or of a row."""
    if isinstance(record, Mapping):
        return record.get(attribute)
    return getattr(record, attribute)


def table(*columns: tuple[str, Kind, str, str]) -> Fields:
    """Return fields from (name, kind, attribute, meaning)."""
    fields = {}
    for name, kind, attribute, meaning in columns:
        fields[name] = Field(name, kind, _reader(attribute), meaning)
    return MappingProxyType(fields)


def _reader(attribute: str) -> Callable[[Any], Any]:
    return lambda record: value_of(record, attribute)


def _request_id(record: Any) -> str:
    return str(value_of(record, 'request_key')).partition('/')[2]


def _step_names(record: Any) -> str:
    steps = value_of(record, 'steps') or ()
    return ' '.join(str(value_of(step, 'name')) for step in steps)


_PLAIN = table(
    ('key', _TEXT, 'request_key', 'account/id of the request'),
    ('account', _TEXT, 'account', 'client account'),
    ('state', _TEXT, 'state', 'claimed, dispatched, ended, refused or unknown'),
    ('outcome', _TEXT, 'outcome', 'answered, cancelled, failed, unknown or refused'),
    ('target', _TEXT, 'target', 'model, or service with method and path'),
    ('server', _TEXT, 'server', 'backend server of the last attempt'),
    ('sidecar', _TEXT, 'sidecar', 'address of its sidecar'),
    ('data_centre', _TEXT, 'data_centre', 'data centre that claimed it'),
    ('router', _TEXT, 'router', 'address of the router that claimed it'),
    ('cost', _NUMBER, 'used_tokens', 'tokens billed'),
    ('bound', _NUMBER, 'bound_tokens', 'tokens reserved at the most'),
    ('attempt', _NUMBER, 'attempt', 'last attempt dispatched'),
    ('status', _NUMBER, 'refusal_status', 'HTTP status of its refusal'),
    ('shard', _NUMBER, 'shard', 'budget shard'),
    ('epoch', _NUMBER, 'epoch', 'epoch of the holder'),
    ('repeat', _FLAG, 'may_repeat', 'may be repeated'),
    ('provisional', _FLAG, 'provisional', 'a data centre could not be asked'),
    ('claimed', _TIME, 'claimed_unix_s', 'when it was claimed'),
    ('ended', _TIME, 'ended_unix_s', 'when it ended'),
)
_CLAIMED = _PLAIN['claimed'].read

REQUEST_FIELDS: Fields = MappingProxyType(
    {
        **_PLAIN,
        'id': Field('id', _TEXT, _request_id, 'id of the request within its account'),
        'step': Field('step', _TEXT, _step_names, 'names of its steps; use step:~name'),
        'since': Field('since', _TIME, _CLAIMED, 'claimed at or after', edge='low'),
        'before': Field('before', _TIME, _CLAIMED, 'claimed before', edge='high'),
    }
)
ACCOUNT_FIELDS = table(
    ('name', _TEXT, 'account', 'client account'),
    ('account', _TEXT, 'account', 'client account'),
    ('budget', _NUMBER, 'budget_tokens', 'tokens declared'),
    ('priority', _NUMBER, 'priority', 'lower is served first'),
    ('shard', _NUMBER, 'shard', 'budget shard'),
    ('keys', _NUMBER, 'keys', 'number of caller keys'),
)
SERVER_FIELDS = table(
    ('server', _TEXT, 'server', 'backend server'),
    ('name', _TEXT, 'server', 'backend server'),
    ('data_centre', _TEXT, 'data_centre', 'its data centre'),
    ('kind', _TEXT, 'kind', 'engine or service'),
    ('state', _TEXT, 'state', 'live, suspect, leaving, gone or unseen'),
    ('service', _TEXT, 'service', 'plain service that it offers'),
    ('model', _TEXT, 'models', 'models that it offers; use model:~name'),
    ('leaving', _FLAG, 'leaving', 'drained by an operator'),
    ('running', _NUMBER, 'running', 'requests running'),
    ('waiting', _NUMBER, 'waiting', 'requests waiting'),
)
MEMBER_FIELDS = table(
    ('instance', _TEXT, 'instance', 'name of the instance'),
    ('role', _TEXT, 'role', 'router or sidecar'),
    ('data_centre', _TEXT, 'data_centre', 'its data centre'),
    ('region', _TEXT, 'region', 'its region'),
    ('state', _TEXT, 'state', 'live, suspect, leaving or gone'),
    ('address', _TEXT, 'address', 'its listener'),
    ('server', _TEXT, 'server', 'backend server beside it'),
)
_AUDITED = table(
    ('id', _TEXT, 'change_id', 'change id'),
    ('who', _TEXT, 'who', 'operator'),
    ('summary', _TEXT, 'summary', 'what was asked; use summary:~part'),
    ('touched', _TEXT, 'touched', 'what was changed; use touched:~account/atelier'),
    ('outcome', _TEXT, 'outcome', 'accepted, or asked where the result was not read'),
    ('revision', _NUMBER, 'revision', 'revision that it made'),
    ('when', _TIME, 'when_unix_s', 'when it was asked'),
)
_WHEN = _AUDITED['when'].read
AUDIT_FIELDS: Fields = MappingProxyType(
    {
        **_AUDITED,
        'since': Field('since', _TIME, _WHEN, 'asked at or after', edge='low'),
        'before': Field('before', _TIME, _WHEN, 'asked before', edge='high'),
    }
)
