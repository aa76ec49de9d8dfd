"""One run of a request on the backend server beside this sidecar."""

import enum
from typing import Any, Final, NamedTuple

import anyio

from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.runs.answer import KeptAnswer
from endivesaddle.wire import holders_pb2, runs_pb2

ANSWERED: Final = 'answered'
CANCELLED: Final = 'cancelled'
FAILED: Final = 'failed'
UNKNOWN: Final = 'unknown'


class Settling(enum.Enum):
    """Where the bill of a run stands."""

    RUNNING = 'running'
    DUE = 'due'
    DONE = 'done'
    LEFT = 'left to a later attempt'


class Past(NamedTuple):
    """A run whose answer is dropped: kept so that the request runs no second time.

    ``record`` is serialized, which takes a tenth of the memory of a run.
    """

    attempt: int
    digest: str
    not_run: bool
    used_tokens: int
    reason: str
    forget_unix_s: float
    record: bytes

    def gives_way_to(self, attempt: int) -> bool:
        """Return that no later attempt may run: this one is settled."""
        return False

    def under_seal(self, seal: holders_pb2.SealRequest) -> holders_pb2.Record | None:
        """Return the record if the run was begun under an epoch that is sealed."""
        record = holders_pb2.Record.FromString(self.record)
        return record if is_under_seal(record, seal) else None


class Run:
    """An accepted attempt; lives on its own, whoever follows it."""

    def __init__(
        self,
        message: runs_pb2.StartRequest,
        identity: Identity,
        answer: KeptAnswer,
        now_unix_s: float,
    ) -> None:
        """Accept an attempt."""
        self.message = message
        self.answer = answer
        self.scope = anyio.CancelScope()
        self.cancel_reason = ''
        self.used_tokens = 0
        self.accepted_unix_s = now_unix_s
        self.ended_unix_s = 0.0
        self.settling = Settling.RUNNING
        self.followers = 0
        self.fetched = False
        self.steps: list[holders_pb2.Step] = []
        self._identity = identity
        self.step(now_unix_s, 'started')

    @property
    def key(self) -> str:
        """The request key."""
        return self.message.request_key

    @property
    def attempt(self) -> int:
        """The number of the attempt."""
        return self.message.attempt

    @property
    def digest(self) -> str:
        """The digest of method, path and body."""
        return self.message.digest

    @property
    def running(self) -> bool:
        """Tell whether the backend server may still work on it."""
        return self.answer.end is None

    @property
    def not_run(self) -> bool:
        """Tell whether this attempt certainly did not run, nor will."""
        return self.answer.end is not None and self.answer.end.not_run

    def step(self, at_unix_s: float, name: str, detail: str = '') -> None:
        """Append a step to the record of the request."""
        self.steps.append(
            holders_pb2.Step(
                at_unix_s=at_unix_s,
                instance=self._identity.instance,
                attempt=self.message.attempt,
                name=name,
                detail=detail,
            )
        )

    def cancel(self, reason: str) -> None:
        """Stop the backend server's work; what was generated stays billed."""
        self.cancel_reason = reason
        self.scope.cancel()

    def gives_way_to(self, attempt: int) -> bool:
        """Tell whether a later attempt may take this one's place.

        Only where this attempt certainly did not run, or where the request may
        be repeated and this attempt gave no answer.
        """
        end = self.answer.end
        if end is None or end.outcome != FAILED or attempt <= self.message.attempt:
            return False
        return end.not_run or self.message.may_repeat

    def finish(self, now_unix_s: float, end: runs_pb2.End) -> None:
        """End the run with what is known of it."""
        end.used_tokens = self.used_tokens
        self.ended_unix_s = now_unix_s
        self.settling = Settling.DUE
        self.step(now_unix_s, 'ended', f'{end.outcome} {end.code} used {end.used_tokens}')
        # The backend server has the request: its body would only take memory,
        # which a message gives back as a whole, not field by field.
        self.message.ClearField('body')
        self.message.ClearField('headers')
        lean = runs_pb2.StartRequest()
        lean.CopyFrom(self.message)
        self.message = lean
        self.answer.finish(end)

    def past(self, remember_s: float) -> Past:
        """Return what has to be remembered once the answer is dropped and settled."""
        end = self.answer.end or runs_pb2.End()
        return Past(
            attempt=self.attempt,
            digest=self.digest,
            not_run=end.not_run,
            used_tokens=self.used_tokens,
            reason=dropped_reason(end),
            forget_unix_s=max(self.ended_unix_s + remember_s, self.message.deadline_unix_s),
            record=self.record().SerializeToString(),
        )

    def under_seal(self, seal: holders_pb2.SealRequest) -> holders_pb2.Record | None:
        """Return the record if the run was begun under an epoch that is sealed."""
        return self.record() if is_under_seal(self.message, seal) else None

    def told(self) -> dict[str, Any]:
        """Return the state for the dump of the process."""
        end = self.answer.end
        return {
            'request_key': self.key,
            'attempt': self.message.attempt,
            'outcome': end.outcome if end else 'running',
            'used_tokens': self.used_tokens,
            'length_bytes': self.answer.length_bytes,
            'settling': self.settling.value,
            'followers': self.followers,
            'accepted_unix_s': self.accepted_unix_s,
        }

    def record(self) -> holders_pb2.Record:
        """Return everything that is known of the request here."""
        message = self.message
        end = self.answer.end
        return holders_pb2.Record(
            request_key=message.request_key,
            account=message.account,
            digest=message.digest,
            shard=message.shard,
            data_centre=message.data_centre,
            epoch=message.epoch,
            batch=message.batch,
            state='dispatched' if end is None else 'ended',
            may_repeat=message.may_repeat,
            bound_tokens=message.bound_tokens,
            used_tokens=self.used_tokens,
            attempt=self.attempt,
            server=self._identity.server,
            sidecar=self._identity.address,
            outcome='' if end is None else end.outcome,
            target=f'{message.kind} {message.method} {message.path}',
            ended_unix_s=self.ended_unix_s,
            deadline_unix_s=message.deadline_unix_s,
            sidecar_incarnation=self._identity.incarnation,
            steps=self.steps,
        )


def is_under_seal(
    begun: holders_pb2.Record | runs_pb2.StartRequest, seal: holders_pb2.SealRequest
) -> bool:
    """Tell whether something was begun under an epoch that is sealed."""
    here = (begun.shard, begun.data_centre) == (seal.shard, seal.data_centre)
    return here and begun.epoch < seal.below_epoch


def dropped_reason(end: runs_pb2.End) -> str:
    """Tell a router that comes after the answer was dropped what became of the run."""
    return f'the run ended as {end.outcome}; its answer is no longer kept'
