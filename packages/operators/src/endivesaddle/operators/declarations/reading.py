"""Read a file of declarations into a configuration, or tell all that is wrong with it."""

from collections.abc import Mapping
from typing import Any

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.decoding import UnreadableValue, decode_toml
from endivesaddle.fleet.errors import UserError
from endivesaddle.operators.declarations import keys, references, tables
from endivesaddle.operators.declarations.problems import Problems

_RULES = 'repeat_rules'
_CENTRES = 'data_centres'
_POLICY = 'policy'


def read_declarations(document: str, file: str) -> Configuration:
    """Return what a file declares, at revision 0; raises ``UserError`` with all problems."""
    reader = DeclarationsReader(file)
    reader.take(parse_toml(document, file))
    return reader.finish()


def parse_toml(document: str, file: str) -> dict[str, Any]:
    """Return the tables of a file, not checked yet."""
    try:
        return decode_toml(document)
    except UnreadableValue as error:
        raise UserError(f'{file}: not TOML: {error}') from None


class DeclarationsReader:
    """Reads a file's tables, at once or a few entries at a time."""

    def __init__(self, file: str) -> None:
        """Start without any; ``file`` is named in messages."""
        self._problems = Problems(file)
        self._named: dict[str, Any] = {table: {} for table in tables.NAMED}
        self._rules: list[Any] = []
        self._data_centres: dict[str, str] = {}
        self._policy: dict[str, str] = {}

    def take(self, tree: Mapping[str, Any]) -> None:
        """Check some tables, or some entries of them."""
        allowed = [*tables.NAMED, _RULES, _CENTRES, _POLICY]
        _refuse_unknown(tree, allowed, self._problems)
        for table, known in self._named.items():
            known.update(_named(table, tree.get(table, {}), self._problems))
        self._rules.extend(_rules(tree.get(_RULES, []), len(self._rules), self._problems))
        self._data_centres.update(_data_centres(tree.get(_CENTRES, {}), self._problems))
        self._policy.update(_policy(tree.get(_POLICY, {}), self._problems))

    def finish(self) -> Configuration:
        """Return the configuration; raises ``UserError`` with all problems."""
        self._problems.raise_any()
        configuration = Configuration(
            repeat_rules=tuple(self._rules),
            data_centres=self._data_centres,
            policy=self._policy,
            **self._named,
        )
        references.check(configuration, self._problems)
        self._problems.raise_any()
        return configuration


def _refuse_unknown(tree: Mapping[str, Any], allowed: list[str], problems: Problems) -> None:
    for table in tree:
        if table not in allowed:
            problems.add(table, '', f'there is no such table; {", ".join(allowed)} are allowed')


def _named(table: str, entries: Any, problems: Problems) -> dict[str, Any]:
    if not isinstance(entries, dict):
        problems.add(table, '', f'a table such as [{table}.NAME] is allowed')
        return {}
    spec = tables.NAMED[table]
    found = {}
    for name, written in entries.items():
        place = f'{table}.{name}' if name.isalnum() else f'{table}."{name}"'
        fields = _fields(place, spec.keys, written, problems)
        if _is_name(place, name, problems) and fields is not None:
            found[name] = spec.make(name=name, **fields)
    return found


def _is_name(place: str, name: str, problems: Problems) -> bool:
    try:
        keys.name(name)
    except ValueError as error:
        problems.add(place, '', f'the name {keys.shown(name, error)}')
        return False
    return True


def _fields(
    place: str, allowed: keys.Keys, written: Any, problems: Problems
) -> dict[str, Any] | None:
    """Return the checked values, or None when the entry can't be made."""
    if not isinstance(written, dict):
        problems.add(place, '', f'a table with {", ".join(allowed)} is allowed')
        return None
    for unknown in written.keys() - allowed.keys():
        problems.add(place, unknown, f'there is no such key; {", ".join(allowed)} are allowed')
    checked: dict[str, Any] = {}
    for known in sorted(allowed.keys() & written.keys()):
        _check(place, known, allowed[known], written[known], checked, problems)
    wanted = {name for name, key in allowed.items() if key.required}
    for lacking in sorted(wanted - written.keys()):
        problems.add(place, lacking, 'is missing')
    return checked if wanted <= checked.keys() else None


def _check(
    place: str, name: str, key: keys.Key, written: Any, checked: dict[str, Any], problems: Problems
) -> None:
    try:
        checked[name] = key.check(written)
    except ValueError as error:
        problems.add(place, name, keys.shown(written, error))


def _rules(entries: Any, before: int, problems: Problems) -> list[Any]:
    if not isinstance(entries, list):
        problems.add(_RULES, '', f'a list of tables, each under [[{_RULES}]], is allowed')
        return []
    made = []
    for number, written in enumerate(entries, start=before + 1):
        fields = _fields(f'{_RULES} number {number}', tables.RULE_KEYS, written, problems)
        if fields is not None:
            made.append(tables.repeat_rule(**fields))
    return made


def _data_centres(entries: Any, problems: Problems) -> dict[str, str]:
    if not isinstance(entries, dict):
        problems.add(_CENTRES, '', 'data centres with their region are allowed')
        return {}
    found: dict[str, str] = {}
    for name, region in entries.items():
        if _is_name(_CENTRES, name, problems):
            _check(_CENTRES, name, keys.optional(keys.name), region, found, problems)
    return found


def _policy(entries: Any, problems: Problems) -> dict[str, str]:
    if not isinstance(entries, dict):
        problems.add(_POLICY, '', 'settings of the policy are allowed')
        return {}
    # routing.engine = "..." is a nested table in TOML; "routing.engine" is not.
    flat = dict(_flat('', entries))
    return _fields(_POLICY, tables.POLICY_KEYS, flat, problems) or {}


def _flat(prefix: str, entries: Mapping[str, Any]) -> list[tuple[str, Any]]:
    found: list[tuple[str, Any]] = []
    for name, written in entries.items():
        if isinstance(written, dict):
            found.extend(_flat(f'{prefix}{name}.', written))
        else:
            found.append((f'{prefix}{name}', written))
    return found
