"""Who may do what: operators' tokens, kept as digests, with a role each."""

import hashlib
import hmac
from typing import NamedTuple

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.sentinels import Absent

SUPPORT = 'support'
OPERATOR = 'operator'
ROLES = (SUPPORT, OPERATOR)
BOOTSTRAP = 'bootstrap'


class Person(NamedTuple):
    """Who gives a command, and in which role."""

    name: str
    role: str

    @property
    def may_change(self) -> bool:
        """Tell whether the role may change anything."""
        return self.role == OPERATOR


def token_digest(token: str) -> str:
    """Return the digest under which a token or a caller key is declared."""
    return hashlib.sha256(token.encode()).hexdigest()


def person(token: str, configuration: Configuration, bootstrap_token: str) -> Person | Absent:
    """Return whose token it is.

    A fleet without declared operators takes the bootstrap token, so that the first
    declarations can be applied; it is worthless as soon as these name an operator.
    """
    digest = token_digest(token)
    # All digests are compared, in constant time: how long an answer takes must not
    # tell how much of a guess is right.
    matches = [
        Person(operator.name, operator.role)
        for operator in configuration.operators.values()
        if hmac.compare_digest(operator.token_digest, digest)
    ]
    if matches:
        return matches[0]
    expected = token_digest(bootstrap_token)
    first = bootstrap_token and not configuration.operators
    if first and hmac.compare_digest(expected, digest):
        return Person(BOOTSTRAP, OPERATOR)
    return Absent('no operator has this token')
