"""Dispatches at the holder: one at a time, and a non-repeatable request only once."""

from collections.abc import Callable

from endivesaddle.fleet.interfaces import Reserved
from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.copies import Copies
from endivesaddle.fleet.requests.steps import append
from endivesaddle.fleet.requests.table import Entry
from endivesaddle.wire import holders_pb2

Sealed = Callable[[holders_pb2.Record], bool]


class Dispatcher:
    """Accepts a dispatch as a compare-and-swap on the attempt number.

    Two routers may serve two calls of one request: the first to dispatch the next attempt
    runs it, the other attaches.
    """

    def __init__(self, copies: Copies, sealed: Sealed) -> None:
        """Replicate through ``copies``; ``sealed`` tells whether a record's epoch is sealed."""
        self._copies = copies
        self._sealed = sealed

    async def note(
        self, entry: Entry, message: holders_pb2.NoteRequest, held: Reserved
    ) -> holders_pb2.NoteReply:
        """Apply a note to a request; the reply says whether it was accepted."""
        async with entry.lock:
            reason = await self._merge_note(entry, message, held)
        return holders_pb2.NoteReply(accepted=not reason, reason=reason)

    async def _merge_note(
        self, entry: Entry, message: holders_pb2.NoteRequest, held: Reserved
    ) -> str:
        if message.state == states.DISPATCHED:
            return await self._dispatch(entry, message, held)
        if message.state == states.CLAIMED:
            return _withdraw(entry, message)
        append(entry.record, *message.steps)
        if any(step.name == states.LEFT for step in message.steps):
            entry.calls -= {message.call_id}
            return states.OTHERS_ATTACHED if entry.calls else ''
        return ''

    async def _dispatch(
        self, entry: Entry, message: holders_pb2.NoteRequest, held: Reserved
    ) -> str:
        record = entry.record
        if _same_dispatch(record, message):
            return ''
        reason = self._rejection_reason(entry, message, held)
        if not reason:
            entry.withdrawn = frozenset()
            if record.state == states.DISPATCHED:
                entry.mark_lost()
        if reason or record.may_repeat:
            return reason or _apply(record, message)
        draft = holders_pb2.Record()
        draft.CopyFrom(record)
        _apply(draft, message)
        if not await self._copies.replicate(draft):
            return states.NO_COPY
        # The epoch may have been sealed, or the claim closed, during the replication.
        return self._rejection_reason(entry, message, held) or _apply(record, message)

    def _rejection_reason(
        self, entry: Entry, message: holders_pb2.NoteRequest, held: Reserved
    ) -> str:
        record = entry.record
        if message.epoch != record.epoch or held.epoch != record.epoch or self._sealed(record):
            return states.OLD_EPOCH
        if not entry.open or message.attempt != record.attempt + 1:
            return states.OUTRUN
        if record.state == states.DISPATCHED and not record.may_repeat:
            # The earlier attempt has to be withdrawn first, which is possible only if it
            # certainly did not run.
            return states.OUTRUN
        return ''


def _same_dispatch(record: holders_pb2.Record, message: holders_pb2.NoteRequest) -> bool:
    return record.state == states.DISPATCHED and (record.attempt, record.sidecar) == (
        message.attempt,
        message.sidecar,
    )


def _apply(record: holders_pb2.Record, message: holders_pb2.NoteRequest) -> str:
    _extend(record, message)
    record.state = states.DISPATCHED
    record.attempt = message.attempt
    record.server = message.server
    record.sidecar = message.sidecar
    record.sidecar_incarnation = message.sidecar_incarnation
    append(record, *message.steps)
    return ''


def _extend(record: holders_pb2.Record, message: holders_pb2.NoteRequest) -> None:
    """Extend the deadline so that a later attempt gets as much time as the first.

    Failure: an answer breaks, and a retry runs the request again. Symptom: the holder
    cancels that run at the deadline of the caller's first attempt.
    """
    requested_s = record.deadline_unix_s - record.claimed_unix_s
    began_unix_s = max((step.at_unix_s for step in message.steps), default=0)
    record.deadline_unix_s = max(record.deadline_unix_s, began_unix_s + requested_s)


def _withdraw(entry: Entry, message: holders_pb2.NoteRequest) -> str:
    """Withdraw a dispatch; return why that is not possible, or ''.

    Failure: two routers serve two calls of a non-repeatable request; one can't reach the
    sidecar and tries another server, the other starts the attempt. Symptom: the request
    runs twice. So either every call must have withdrawn, or the sidecar must have confirmed
    that it will refuse a START of this attempt from any router.
    """
    record = entry.record
    if message.attempt != record.attempt:
        return states.OUTRUN
    if record.state == states.CLAIMED:
        return ''
    if record.state != states.DISPATCHED:
        return states.OUTRUN
    append(record, *message.steps)
    entry.withdrawn |= {message.call_id}
    if _may_run(entry, message):
        if not record.may_repeat:
            return states.OTHERS_ATTACHED
        entry.mark_lost()
    record.state = states.CLAIMED
    return ''


def _may_run(entry: Entry, message: holders_pb2.NoteRequest) -> bool:
    """Tell whether a withdrawn attempt may have run or may still run."""
    names = {step.name for step in message.steps}
    if states.LOST in names:
        return True
    stopped = states.REFUSED_START in names and not entry.record.may_repeat
    return bool(entry.calls - entry.withdrawn) and not stopped
