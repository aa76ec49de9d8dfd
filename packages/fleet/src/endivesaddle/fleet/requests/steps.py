"""The steps in a request's record."""

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.wire import holders_pb2

MAX_STEPS = 64
"""Maximum number of steps in a record, for requests that are retried without end."""


class StepFactory:
    """Creates steps with the name of this instance and the time."""

    def __init__(self, identity: Identity, clock: Clock) -> None:
        """Initialize for one instance."""
        self._identity = identity
        self._clock = clock

    def step(self, name: str, attempt: int = 0, detail: str = '') -> holders_pb2.Step:
        """Return a step with the current time."""
        return holders_pb2.Step(
            at_unix_s=self._clock.now_s(),
            instance=self._identity.instance,
            attempt=attempt,
            name=name,
            detail=detail,
        )


def append(record: holders_pb2.Record, *steps: holders_pb2.Step) -> None:
    """Append the steps that the record doesn't have yet, up to ``MAX_STEPS``."""
    for step in steps:
        if len(record.steps) >= MAX_STEPS:
            return
        if step not in record.steps:
            record.steps.append(step)


def has_step(record: holders_pb2.Record, name: str) -> bool:
    """Tell whether a record has a step of that name."""
    return any(step.name == name for step in record.steps)
