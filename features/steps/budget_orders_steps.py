"""Steps of budget_orders.feature."""

from typing import Any

from behave import then, when

from subjects.budget_orders import Step
from subjects.budget_search import BudgetSearch


@when('budget sequences are searched with {examples:d} examples of up to {steps:d} steps')
def search(context: Any, examples: int, steps: int) -> None:
    """Search with hypothesis; the examples are the same on every run."""
    context.subject = BudgetSearch(examples, steps)
    context.subject.run()


@when('this budget sequence is run')
def run_sequence(context: Any) -> None:
    """Run a sequence that once failed."""
    context.subject = BudgetSearch(0, 0)
    numbers = [[int(cell) for cell in row.cells[1:]] for row in context.table]
    actions = [row['action'] for row in context.table]
    context.subject.run_sequence(
        [Step(name, *row) for name, row in zip(actions, numbers, strict=True)]
    )


@then('no budget sequence overspends')
def no_overspend(context: Any) -> None:
    """Check that no sequence used more tokens than were paid in."""
    assert context.subject.run_count, 'no sequence was run'
    assert not context.subject.overspent, context.subject.overspent[0]


@then('no budget sequence bills twice')
def no_double_bill(context: Any) -> None:
    """Check that no sequence stored more spent tokens than were used."""
    assert not context.subject.overbilled, context.subject.overbilled[0]
