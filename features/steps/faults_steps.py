"""Steps of the faults_*.feature files."""

from typing import Any

from behave import then, when

from subjects import fault_matrix


@when('the fault matrix injects "{fault}" at every step of one {kind} request')
def inject(context: Any, fault: str, kind: str) -> None:
    """Play one row of cells, each with its own fleet."""
    context.results = fault_matrix.play_row(fault, kind)


@when('the fault matrix plays {count:d} pairs drawn by seed {seed:d}')
def play_pairs(context: Any, count: int, seed: int) -> None:
    """Play drawn pairs, each with its own fleet."""
    context.results = [fault_matrix.play(pair) for pair in fault_matrix.pairs(count, seed)]


@when(
    'the fault matrix plays a {kind} request with "{first}" at "{one}", then "{second}" at "{two}"'
)
def play_pair(context: Any, kind: str, first: str, one: str, second: str, two: str) -> None:
    """Play one pair of faults by name."""
    context.results = [fault_matrix.play_named(kind, (first, one), (second, two))]


@then('the fault matrix finds every promise kept')
def kept(context: Any) -> None:
    """Check that no promise was broken; list the broken ones with their cells."""
    found = [f'{row.cell.name}: {text}' for row in context.results for text in row.broken]
    assert not found, '\n'.join(found)


@then('the fault matrix has injected the fault at every step')
def injected(context: Any) -> None:
    """Check that every step was reached: other cells would prove nothing."""
    missed = [row.cell.name for row in context.results if not row.injected]
    assert not missed, missed
