"""What differs between two configurations, item by item, in terse lines."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from endivesaddle.fleet.configuration import Configuration

_TABLES = (
    ('accounts', 'account'),
    ('models', 'model'),
    ('services', 'service'),
    ('servers', 'server'),
    ('operators', 'operator'),
    ('data_centres', 'data_centre'),
    ('policy', 'policy'),
)
ACCOUNT_PREFIX = 'account/'
_DIGESTS = frozenset(('key_digests', 'token_digest'))
_DIGEST_SHOWN = 8


class Difference(NamedTuple):
    """One item that was added (``old`` is None), removed or changed.

    ``name`` is like ``account/atelier``.  Texts are made when they are asked for:
    a first file makes thousands of differences, of which few are shown.
    """

    name: str
    old: Any
    new: Any

    @property
    def before(self) -> str:
        """Return the old fields, of a change those that differ; empty if added."""
        return _text(self.old, self._changed())

    @property
    def after(self) -> str:
        """Return the new fields, of a change those that differ; empty if removed."""
        return _text(self.new, self._changed())

    @property
    def line(self) -> str:
        """Return the line of a plan: + added, - removed, ~ changed."""
        if self.old is None:
            return f'+ {self.name} {self.after}'
        if self.new is None:
            return f'- {self.name} {self.before}'
        return f'~ {self.name} {self.before} -> {self.after}'

    def _changed(self) -> list[str]:
        if not hasattr(self.old, '_fields') or self.new is None:
            return []
        names = self.old._fields
        return [name for name in names if getattr(self.old, name) != getattr(self.new, name)]


def differences(before: Configuration, after: Configuration) -> list[Difference]:
    """Return all differences, ordered by table and name."""
    found: list[Difference] = []
    for table, kind in _TABLES:
        found.extend(_table(kind, getattr(before, table), getattr(after, table)))
    if before.repeat_rules != after.repeat_rules:
        # The first rule that matches wins, so that order matters: the list is one item.
        old, new = _rules(before.repeat_rules), _rules(after.repeat_rules)
        found.append(Difference('repeat_rules', old, new))
    return found


def _table(kind: str, before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[Difference]:
    if before is after:
        return
    names = before.keys() | after.keys()
    changed = [name for name in names if before.get(name) != after.get(name)]
    for name in sorted(changed):
        yield Difference(f'{kind}/{name}', before.get(name), after.get(name))


def _text(row: Any, names: Iterable[str]) -> str:
    if row is None:
        return ''
    if isinstance(row, str):
        return row or '""'
    shown = names or [name for name in row._fields if name != 'name']
    return ' '.join(f'{name}={_shown(name, getattr(row, name))}' for name in shown)


def _shown(field: str, found: Any) -> str:
    if isinstance(found, tuple):
        return f'[{",".join(_shown(field, entry) for entry in found)}]'
    if isinstance(found, bool):
        return 'yes' if found else 'no'
    if field in _DIGESTS:
        return f'{found[:_DIGEST_SHOWN]}...'
    return str(found) or '""'


def _rules(rules: Iterable[Any]) -> str:
    shown = []
    for rule in rules:
        matched = [name for name in ('service', 'method', 'path_prefix', 'model')]
        terms = [f'{name}:{getattr(rule, name)}' for name in matched if getattr(rule, name)]
        verdict = 'may' if rule.may_repeat else 'never'
        verdict += ' (caller may choose)' if rule.caller_may_choose else ''
        shown.append(' '.join([*(terms or ['all']), verdict]))
    return '; '.join(shown) or 'none'
