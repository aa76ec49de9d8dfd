"""Steps of joined_versions.feature."""

from typing import Any

from behave import given, then, when

from subjects.joined_versions import Servers, play, shares


@given('servers of versions {versions} that report nothing')
def silent_servers(context: Any, versions: str) -> None:
    """Have servers without a report."""
    context.servers = Servers(versions.split(', '), reports=False)


@given('servers of versions {versions}')
def servers(context: Any, versions: str) -> None:
    """Have servers."""
    context.servers = Servers(versions.split(', '), reports=True)


@when('streams are read while {what}')
def read(context: Any, what: str) -> None:
    """Run a play."""
    context.fleet = play(what, context.servers)


@then('no stream of the processes has events of two versions')
def unmixed(context: Any) -> None:
    """Look at the events of each; there must be some."""
    fleet = context.fleet
    assert any(one.numbers for one in fleet.all_streams)
    assert not fleet.mixed, f'{len(fleet.mixed)} of {len(fleet.all_streams)}: {fleet.mixed[0]}'


@then('streams of the processes continue at half the rate of new ones at least')
def rate(context: Any) -> None:
    """Compare the shares."""
    found = shares(context.fleet)
    assert found.begun and found.continued >= 0.5 * found.begun, found
