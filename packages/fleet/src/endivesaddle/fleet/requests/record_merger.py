"""Merging of records from sealed epochs into the table of the next holder."""

from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.settling import Settler
from endivesaddle.fleet.requests.table import Entry, Table
from endivesaddle.wire import holders_pb2

_ORDER = (states.REFUSED, states.CLAIMED, states.DISPATCHED, states.UNKNOWN, states.ENDED)


class RecordMerger:
    """Merges reports of routers and sidecars into the table."""

    def __init__(self, table: Table, settler: Settler) -> None:
        """Merge records into ``table`` and bill ended ones through ``settler``."""
        self._table = table
        self._settler = settler

    def merge(self, record: holders_pb2.Record) -> None:
        """Merge one record; several instances may report the same request."""
        entry = self._table.find(record.request_key)
        if entry is not None and _is_superseded(entry, record):
            self._settler.release(entry)
            self._replace(entry, record)
        elif entry is None or _is_newer(record, entry.record):
            self._replace(entry, record)
        elif entry.record.epoch > record.epoch and _may_be_billed(record):
            # The request was granted again before the report arrived. The older run was
            # counted when its epoch was sealed, and a request is billed once.
            entry.billed_elsewhere = True

    def _replace(self, entry: Entry | None, record: holders_pb2.Record) -> None:
        merged = self._settler.add_reported(record)
        if entry is not None:
            merged.calls = entry.calls
            merged.owner = entry.owner
        if record.state == states.ENDED:
            self._settler.finish(merged, record.used_tokens, 'reported under a sealed epoch')


def _is_superseded(entry: Entry, record: holders_pb2.Record) -> bool:
    """Tell whether a claim of an old epoch is superseded by one granted since.

    Failure: a holder is paused with a claim open, another grants the request again and has
    its answer, then the first resumes and holds the shard again. Symptom: it keeps its own
    claim and runs the request a second time for the next retry, or bills the worst case at
    the deadline in addition to the settled bill.
    """
    known = entry.record
    if record.epoch <= known.epoch or not entry.open:
        return False
    unstarted = known.state == states.CLAIMED and not entry.may_have_run
    return unstarted or record.state == states.ENDED


def _may_be_billed(record: holders_pb2.Record) -> bool:
    """Tell whether a record of an older epoch has or may get a bill of its own.

    A failed attempt gets none if a later one gave the answer. If it counted as billed, the
    bill of the answer would be dropped in its favour and the request billed 0 tokens.
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
