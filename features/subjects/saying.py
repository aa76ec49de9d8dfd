"""Have a subject do something when its scenario is played."""

from functools import partial
from typing import Any


def say(context: Any, act: Any, *fields: Any) -> None:
    """Have the subject do something when it is played."""
    context.subject.then(partial(act, fields=fields))
