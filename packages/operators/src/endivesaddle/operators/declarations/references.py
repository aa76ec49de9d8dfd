"""Checks across tables: what is named has to exist, and keys are one account's only."""

from collections.abc import Iterable

from endivesaddle.fleet.configuration import BackendServer, Configuration
from endivesaddle.operators.access import OPERATOR
from endivesaddle.operators.declarations.problems import Problems
from endivesaddle.operators.nearest import near


def check(configuration: Configuration, problems: Problems) -> None:
    """Add the problems of a configuration whose entries are well by themselves."""
    for account in configuration.accounts:
        if '/' in account:
            # A request's key is account/id: the slash would hand it to another account.
            problems.add(f'accounts."{account}"', '', 'the name of an account has no /')
    for server in configuration.servers.values():
        _server(server, configuration, problems)
    _rules(configuration, problems)
    _keys(configuration, problems)
    _operators(configuration, problems)


def _server(server: BackendServer, configuration: Configuration, problems: Problems) -> None:
    place = f'servers."{server.name}"'
    _exists(problems, place, 'data_centre', server.data_centre, configuration.data_centres)
    if server.kind == 'engine' and not server.models:
        problems.add(place, 'models', 'an engine has at least one')
    if server.kind == 'engine' and server.service:
        problems.add(place, 'service', 'an engine has none')
    if server.kind == 'service' and not server.service:
        problems.add(place, 'service', 'a server of the kind service has one')
    if server.kind == 'service' and server.models:
        problems.add(place, 'models', 'a server of the kind service has none')
    for model in server.models:
        _exists(problems, place, 'models', model, configuration.models)
    if server.service:
        _exists(problems, place, 'service', server.service, configuration.services)


def _rules(configuration: Configuration, problems: Problems) -> None:
    for number, rule in enumerate(configuration.repeat_rules, start=1):
        place = f'repeat_rules number {number}'
        if rule.service:
            _exists(problems, place, 'service', rule.service, configuration.services)
        if rule.model:
            _exists(problems, place, 'model', rule.model, configuration.models)


def _keys(configuration: Configuration, problems: Problems) -> None:
    """Refuse a key of two accounts: one of them would pay for the other."""
    owners: dict[str, str] = {}
    for account in configuration.accounts.values():
        for digest in account.key_digests:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                message = f'{digest[:8]}... is a key of {owner} too'
                problems.add(f'accounts."{account.name}"', 'key_digests', message)


def _operators(configuration: Configuration, problems: Problems) -> None:
    """Refuse declarations after which nobody could change anything any more."""
    operators = configuration.operators.values()
    if operators and not any(operator.role == OPERATOR for operator in operators):
        problems.add('operators', '', f'at least one has to have the role {OPERATOR}')
    owners: dict[str, str] = {}
    for operator in operators:
        owner = owners.setdefault(operator.token_digest, operator.name)
        if owner != operator.name:
            message = f'is the token of {owner} too'
            problems.add(f'operators."{operator.name}"', 'token_digest', message)


def _exists(problems: Problems, place: str, key: str, name: str, names: Iterable[str]) -> None:
    if name not in names:
        there = ', '.join(near(name, names)) or 'none'
        problems.add(place, key, f'there is no {name!r}; declared are: {there}')
