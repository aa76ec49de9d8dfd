"""Refused claims and the refusals sent to their callers, for support engineers.

They influence no decision: a refused request may be claimed again. They are kept apart from
the table, so that a flood of refusals never evicts, or leaves no room for, a request that
has run.
"""

from collections import OrderedDict
from collections.abc import Iterator

from endivesaddle.fleet.configuration import shard_of
from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.steps import append
from endivesaddle.wire import holders_pb2

MAX_REFUSALS = 8
"""Refusals kept for one request that is retried repeatedly: the newest ones."""


class RefusedClaims:
    """The newest refused claims by request key, serialized."""

    def __init__(self, most: int) -> None:
        """Initialize with room for ``most`` requests."""
        self._most = most
        self._packed: OrderedDict[str, bytes] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of requests remembered."""
        return len(self._packed)

    def add(self, record: holders_pb2.Record) -> None:
        """Add a refusal to the earlier ones of the same request."""
        steps = [*self.pop(record.request_key), *record.steps][-MAX_REFUSALS:]
        record.ClearField('steps')
        record.steps.extend(steps)
        self._packed[record.request_key] = record.SerializeToString()
        while len(self._packed) > self._most:
            self._packed.popitem(last=False)

    def pop(self, request_key: str) -> list[holders_pb2.Step]:
        """Remove the refusals of a request and return their steps."""
        packed = self._packed.pop(request_key, b'')
        return list(holders_pb2.Record.FromString(packed).steps)

    def records(self) -> Iterator[holders_pb2.Record]:
        """Yield all records, oldest first."""
        for packed in list(self._packed.values()):
            yield holders_pb2.Record.FromString(packed)

    def with_refusals(self, record: holders_pb2.Record) -> holders_pb2.Record:
        """Return a record together with the refusals of the same request."""
        packed = self._packed.get(record.request_key)
        if packed is None:
            return record
        refused = holders_pb2.Record.FromString(packed)
        whole = holders_pb2.Record()
        whole.CopyFrom(record)
        append(whole, *refused.steps)
        if whole.state == states.REFUSED:
            whole.refusal_status = refused.refusal_status
            whole.ended_unix_s = refused.ended_unix_s
        return whole


def refused_record(
    message: holders_pb2.ClaimRequest,
    reply: holders_pb2.ClaimReply,
    step: holders_pb2.Step,
    data_centre: str,
) -> holders_pb2.Record:
    """Return the record of a refused claim; it has no epoch, so any claim supersedes it."""
    return holders_pb2.Record(
        request_key=message.request_key,
        account=message.account,
        digest=message.digest,
        shard=shard_of(message.account),
        data_centre=data_centre,
        state=states.REFUSED,
        outcome=states.REFUSED,
        may_repeat=message.may_repeat,
        bound_tokens=message.bound_tokens,
        target=message.target,
        router=message.router,
        claimed_unix_s=step.at_unix_s,
        ended_unix_s=step.at_unix_s,
        deadline_unix_s=message.deadline_unix_s,
        refusal_status=reply.status,
        steps=[step],
    )
