"""Bring declarations into force: the configuration first, then declared budgets.

The configuration is accepted at one moment; budgets are records of their own.
A lowered budget is checked before anything changes and again by the record itself,
which never falls below what is spent or granted.  Where a budget could not be
written, the reply says so, and the same change sent again goes on with it.
"""

from collections.abc import Mapping, Sequence

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.errors import EXIT_FAILED, EXIT_UNKNOWN, StoreUnreachable
from endivesaddle.operators.configuration_store import Loaded
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.differences import ACCOUNT_PREFIX, Difference
from endivesaddle.operators.outcomes import NotAccepted
from endivesaddle.operators.reply import Reply

_MOST_TOLD = 20


def carried_over(wanted: Configuration, current: Configuration) -> Configuration:
    """Return declarations with what they don't declare: which servers are drained.

    A drain belongs to the hour and not to version control; applying a file must
    not bring a server back that somebody took out.
    """
    servers = {
        name: server._replace(leaving=name in current.servers and current.servers[name].leaving)
        for name, server in wanted.servers.items()
    }
    return wanted._replace(servers=servers, revision=current.revision)


def lowered(before: Configuration, after: Configuration) -> dict[str, int]:
    """Return the accounts whose declared budget falls.

    An account that is no longer declared keeps its budget's record: nobody has a
    key to it, and what it spent stays known.
    """
    return {
        name: after.accounts[name].budget_tokens
        for name in before.accounts.keys() & after.accounts.keys()
        if after.accounts[name].budget_tokens < before.accounts[name].budget_tokens
    }


def changed_budgets(found: Sequence[Difference], after: Configuration) -> dict[str, int]:
    """Return the declared budgets of the accounts that a change touched."""
    names = [
        difference.name.removeprefix(ACCOUNT_PREFIX)
        for difference in found
        if difference.name.startswith(ACCOUNT_PREFIX)
    ]
    return {name: after.accounts[name].budget_tokens for name in names if name in after.accounts}


async def settle_budgets(desk: Desk, accounts: Mapping[str, int], deadline_unix_s: float) -> Reply:
    """Write declared budgets until they are those of the configuration that stands.

    Two operators' changes may write budgets in the other order than they were
    accepted in.  Whoever writes looks again at the configuration afterwards, so that
    the last one to look leaves the budgets as the last accepted change has them.
    """
    amounts, revision = dict(accounts), -1
    while True:
        declared = await desk.budgets.declare(amounts, deadline_unix_s)
        loaded = await desk.configurations.current(deadline_unix_s)
        if isinstance(loaded, NotAccepted):
            raise StoreUnreachable(loaded.reason)
        standing = _standing(loaded, accounts)
        if standing == amounts or loaded.head['revision'] == revision:
            break
        amounts, revision = standing, loaded.head['revision']
    if declared.unsettled:
        return _unsettled(declared.unsettled)
    return _refused(declared.refused) if declared.refused else Reply()


def _standing(loaded: Loaded, accounts: Mapping[str, int]) -> dict[str, int]:
    declared = loaded.configuration.accounts
    return {name: declared[name].budget_tokens for name in accounts if name in declared}


def _unsettled(unsettled: Mapping[str, str]) -> Reply:
    count = len(unsettled)
    message = f'accepted, but {count} budgets are not known to be written: send the change again'
    return Reply([message, *_told(unsettled)], status=EXIT_UNKNOWN)


def _refused(refused: Mapping[str, str]) -> Reply:
    message = f'accepted, but {len(refused)} budgets stay as they were'
    return Reply([message, *_told(refused)], status=EXIT_FAILED)


def _told(reasons: Mapping[str, str]) -> list[str]:
    lines = [f'account {name}: {reasons[name]}' for name in sorted(reasons)]
    return [*lines[:_MOST_TOLD], '...'] if len(lines) > _MOST_TOLD else lines
