"""Steps of callers_refusals.feature."""

from typing import Any

from behave import then, when

from subjects.callers_refusals import RefusalsPage


@when('the codes of all refusals are collected from the source code')
def read(context: Any) -> None:
    """Collect the codes from the source code and the page."""
    context.subject = RefusalsPage()


@then('the refusals page lists exactly these codes')
def same(context: Any) -> None:
    """Compare the codes of both."""
    subject = context.subject
    assert len(subject.coded) > 10, subject.coded
    assert subject.listed == subject.coded, subject.listed ^ subject.coded
