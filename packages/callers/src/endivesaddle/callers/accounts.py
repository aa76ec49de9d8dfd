"""Lookup of client accounts and operators by key."""

import hashlib

from endivesaddle.fleet.configuration import Account, Configuration, Operator
from endivesaddle.fleet.ports import FleetView


def digest(key: str) -> str:
    """Return the SHA-256 digest of a key or token, in hex as in the configuration."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyIndex:
    """Index of accounts and operators by the digest of their keys.

    The index is rebuilt when another revision takes effect, so that a key removed from the
    configuration stops working with that revision.
    """

    def __init__(self, view: FleetView) -> None:
        """Initialize; the index is built at the first lookup."""
        self._view = view
        self._revision = -1
        self._accounts: dict[str, Account] = {}
        self._operators: dict[str, Operator] = {}

    def account(self, key: str) -> Account | None:
        """Return the account of a key, or None."""
        self._refresh()
        return self._accounts.get(digest(key)) if key else None

    def operator(self, token: str) -> Operator | None:
        """Return the operator of a token, or None."""
        self._refresh()
        return self._operators.get(digest(token)) if token else None

    def _refresh(self) -> None:
        configuration = self._view.configuration
        if configuration.revision != self._revision:
            self._index(configuration)
            self._revision = configuration.revision

    def _index(self, configuration: Configuration) -> None:
        self._accounts = {
            key_digest: account
            for account in configuration.accounts.values()
            for key_digest in account.key_digests
        }
        self._operators = {
            operator.token_digest: operator for operator in configuration.operators.values()
        }
