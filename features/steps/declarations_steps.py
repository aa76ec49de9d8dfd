"""Steps of declarations.feature."""

from typing import Any

from behave import then, when

from endivesaddle.fleet import revisions
from endivesaddle.operators.access import token_digest
from subjects.declarations import SECRET, Declarations, survive_any_file


@when('declarations of {path} are checked')
def check(context: Any, path: str) -> None:
    """Read a file."""
    context.subject = Declarations(path)
    context.subject.check()


@when('declarations of {path} have "{old}" replaced by "{new}"')
def replace(context: Any, path: str, old: str, new: str) -> None:
    """Read a file with a mistake."""
    context.subject = Declarations(path)
    context.subject.replace(old, new)


@when('declarations of {path} have a key in clear for {account}')
def key_in_clear(context: Any, path: str, account: str) -> None:
    """Read a file with a secret."""
    context.subject = Declarations(path)
    context.subject.key_in_clear(account)


@when('declarations of {path} have the key of {owner} for {account}')
def same_key(context: Any, path: str, owner: str, account: str) -> None:
    """Read a file with one key for two accounts."""
    context.subject = Declarations(path)
    keys = [token_digest(f'example-key-{name}') for name in (account, owner)]
    context.subject.replace(*keys)


@then('declarations have {accounts:d} accounts, {servers:d} servers and {centres:d} data_centres')
def counts(context: Any, accounts: int, servers: int, centres: int) -> None:
    """Compare counts."""
    found = context.subject.configuration
    assert not context.subject.problems, context.subject.problems
    sizes = (len(found.accounts), len(found.servers), len(found.data_centres))
    assert sizes == (accounts, servers, centres), sizes


@then('declarations come back the same from their parts')
def same(context: Any) -> None:
    """Compare the configuration with what its parts make."""
    assert revisions.assemble(*context.subject.parts()) == context.subject.configuration


@then('declarations are refused with "{place}" and "{allowed}"')
def refused(context: Any, place: str, allowed: str) -> None:
    """Find place and what is allowed in one line."""
    lines = context.subject.problems.split('\n')
    assert any(place in line and allowed in line for line in lines), lines


@then('declarations do not show the key')
def hidden(context: Any) -> None:
    """Look for the secret."""
    assert SECRET not in context.subject.problems, context.subject.problems


@then('declarations are refused at {count:d} places')
def places(context: Any, count: int) -> None:
    """Count the problems."""
    assert len(context.subject.problems.split('\n')) == count, context.subject.problems


@then('declarations lack nothing silently when a part is missing or damaged')
def broken(context: Any) -> None:
    """Break each part."""
    assert context.subject.broken_parts() == []


@then('declarations that change step by step are kept alike')
def kept(context: Any) -> None:
    """Compare a cache with making all anew."""
    assert context.subject.kept_alike() == []


@then('declarations take or refuse any file with a message')
def any_file(context: Any) -> None:
    """Search for a file that breaks the reader."""
    survive_any_file()
