"""What ran under sealed epochs, taken in by the holder that follows."""

from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.settling import Settler
from endivesaddle.fleet.requests.table import Entry, Table
from endivesaddle.wire import holders_pb2

_ORDER = (states.REFUSED, states.CLAIMED, states.DISPATCHED, states.UNKNOWN, states.ENDED)


class RecordMerger:
    """Merges reports of routers and sidecars into the table."""

    def __init__(self, table: Table, settler: Settler) -> None:
        """Take records into ``table``; bill what has ended."""
        self._table = table
        self._settler = settler

    def merge(self, record: holders_pb2.Record) -> None:
        """Take in one record; several instances may report the same request."""
        entry = self._table.find(record.request_key)
        if entry is not None and _is_superseded(entry, record):
            self._settler.release(entry)
            self._replace(entry, record)
        elif entry is None or _is_newer(record, entry.record):
            self._replace(entry, record)
        elif entry.record.epoch > record.epoch and _may_be_billed(record):
            # Granted anew before the report came: the older run was counted when
            # its epoch was sealed, and a request is billed once.
            entry.billed_elsewhere = True

    def _replace(self, entry: Entry | None, record: holders_pb2.Record) -> None:
        merged = self._settler.add_reported(record)
        if entry is not None:
            merged.calls = entry.calls
            merged.owner = entry.owner
        if record.state == states.ENDED:
            self._settler.finish(merged, record.used_tokens, 'reported under a sealed epoch')


def _is_superseded(entry: Entry, record: holders_pb2.Record) -> bool:
    """Tell whether a claim of an old epoch gives way to one that was granted anew since.

    Failure: a holder was frozen with a claim open; another granted the request anew
    and has its answer; the first woke and holds the shard again.  Symptom: it kept
    its own claim, ran the request a second time for the next retry, or billed the
    worst case at the deadline besides the bill that was settled.
    """
    known = entry.record
    if record.epoch <= known.epoch or not entry.open:
        return False
    unstarted = known.state == states.CLAIMED and not entry.may_have_run
    return unstarted or record.state == states.ENDED


def _may_be_billed(record: holders_pb2.Record) -> bool:
    """Tell whether a record of an older epoch has or may get a bill of its own.

    An attempt that failed gets none where a later one answered; taken for billed,
    the answer's own bill gave way to it, and the request was billed 0.
    """
    if record.state == states.ENDED:
        return record.outcome != states.FAILED
    return record.state in {states.DISPATCHED, states.UNKNOWN}


def _is_newer(record: holders_pb2.Record, known: holders_pb2.Record) -> bool:
    if record.epoch != known.epoch:
        return known.state == states.REFUSED and record.epoch > known.epoch
    return _progress(record) > _progress(known)


def _progress(record: holders_pb2.Record) -> tuple[int, int]:
    return (record.attempt, _ORDER.index(record.state))
