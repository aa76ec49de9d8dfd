"""Usage under one past epoch, collected from the seal replies of routers and sidecars.

Each run under the epoch was granted by its holder and executed at a sidecar.  All runs
are therefore known if the holder itself replied and is still the same incarnation, or if
every sidecar replied that may have run something since the settled tokens were last
written to the store.  See docs/design/budgets.md for the argument.
"""

from collections.abc import Iterable
from typing import NamedTuple

from endivesaddle.fleet.budgets import direct_transfers, records
from endivesaddle.fleet.budgets.ledger import DirectTransfer
from endivesaddle.wire import holders_pb2

HELD = 'budget_held'
"""State in a reported record: this instance held the shard under this epoch."""
RESERVED = 'budget_reserved'
"""State in a reported record: an open reservation of the holder itself."""
SETTLED = 'budget_settled'
"""State in a reported record: a settled reservation of the holder itself."""
TRANSFERRED = 'budget_moved'
"""State in a reported record: a direct transfer that may not be in the store yet."""
OWN_STATES = frozenset((HELD, RESERVED, SETTLED, TRANSFERRED))
"""States used by the budgets alone; they are not passed on to the claims."""
_ENDED = 'ended'

Reports = Iterable[holders_pb2.Record]


class Run(NamedTuple):
    """The tokens counted for one request: the billed ones, or the bound while it is open.

    ``sure`` means that the request was billed and no later report can change the bill.
    """

    tokens: int
    batch: int
    open: bool
    sure: bool = False


class Release(NamedTuple):
    """The new ceiling of a stranded entry, and its spent tokens or -1 while a run is open."""

    ceiling: int
    spent_tokens: int


class EpochUsage:
    """The runs and direct transfers of one past epoch, by account."""

    def __init__(self, holder_epoch: direct_transfers.HolderEpoch) -> None:
        """Initialize with no known runs."""
        self.holder_epoch = holder_epoch
        self.complete = False
        self.first_batch = 0
        self.runs: dict[str, dict[str, Run]] = {}
        self.late_settlements: dict[tuple[str, str], int] = {}
        self.received: dict[str, dict[str, DirectTransfer]] = {}
        self.given: dict[str, dict[str, int]] = {}

    def merge(self, routers: Reports, sidecars: Reports, known_batch: int) -> None:
        """Merge the records about this epoch from one round of seals.

        The sidecars know all runs of batch ``known_batch`` and later ones.
        """
        runs: dict[tuple[str, str], _Reports] = {}
        for record in routers:
            if record.state == TRANSFERRED:
                self._add_transfer(record)
            elif record.state != HELD:
                _of(runs, record).routers.append(record)
        for record in sidecars:
            _of(runs, record).sidecars.append(record)
        for (account, request_key), reports in runs.items():
            account_runs = self.runs.setdefault(account, {})
            if request_key not in account_runs or not account_runs[request_key].sure:
                account_runs[request_key] = _run_from(reports, known_batch)
        for (account, request_key), used_tokens in self.late_settlements.items():
            self.settle(account, request_key, used_tokens)

    def settle(self, account: str, request_key: str, used_tokens: int) -> int | None:
        """Bill a run of this epoch once; return the billed tokens, or None if it is unknown."""
        run = self.runs.get(account, {}).get(request_key)
        if run is None:
            self.late_settlements[account, request_key] = used_tokens
            return None
        if run.open:
            run = run._replace(tokens=min(used_tokens, run.tokens), open=False, sure=True)
            self.runs[account][request_key] = run
        return run.tokens

    def release(self, account: str, entry: records.Stranded) -> Release | None:
        """Return the new state of a stranded entry, or None while runs may be unknown.

        Runs of batches before ``first_batch`` may be unknown.  A run without a batch
        can't be distinguished from one that is already settled in the store.
        """
        runs = list(self.runs.get(account, {}).values())
        if entry.batch < self.first_batch or any(not run.batch for run in runs):
            return None
        counted = [run for run in runs if run.batch >= entry.batch]
        tokens = entry.settled + sum(run.tokens for run in counted)
        given = sum(self.given.get(account, {}).values())
        ceiling = min(entry.ceiling, tokens + given)
        ended = not given and not any(run.open for run in counted)
        return Release(ceiling, min(tokens, ceiling) if ended else -1)

    def drop_recorded(self, account: str, recorded: dict[str, records.RecordedTransfer]) -> None:
        """Drop the given transfers that are now recorded in the store."""
        given = self.given.get(account, {})
        for transfer_id in [pending for pending in given if pending in recorded]:
            given.pop(transfer_id)

    def _add_transfer(self, record: holders_pb2.Record) -> None:
        parsed_id = direct_transfers.parse_id(record.request_key)
        if parsed_id.receiver == self.holder_epoch:
            transfer = DirectTransfer(*parsed_id.donor, record.bound_tokens)
            self.received.setdefault(record.account, {})[record.request_key] = transfer
        if parsed_id.donor == self.holder_epoch:
            given = self.given.setdefault(record.account, {})
            given[record.request_key] = record.bound_tokens


class _Reports(NamedTuple):
    routers: list[holders_pb2.Record]
    sidecars: list[holders_pb2.Record]


def _of(runs: dict[tuple[str, str], _Reports], record: holders_pb2.Record) -> _Reports:
    return runs.setdefault((record.account, record.request_key), _Reports([], []))


def _run_from(reports: _Reports, known_batch: int) -> Run:
    everything = [*reports.routers, *reports.sidecars]
    batch = max(record.batch for record in everything)
    billed = [record.used_tokens for record in reports.routers if record.state == SETTLED]
    if billed:
        return Run(billed[0], batch, open=False, sure=True)
    bound = max(record.bound_tokens for record in everything)
    running = any(record.state != _ENDED for record in reports.sidecars)
    if running or batch < known_batch:
        # It may be running at a sidecar that didn't reply, or may have run at one that
        # was restarted since and lost its memory: count the bound until it is settled.
        return Run(bound, batch, open=True)
    # All sidecars have sealed the epoch: a run that none of them knows will never start.
    used = [record.used_tokens for record in everything if record.state == _ENDED]
    return Run(min(bound, max(used, default=0)), batch, open=False)


def holder_epoch_of(record: holders_pb2.Record) -> direct_transfers.HolderEpoch:
    """Return the holder that a reported record is about."""
    return direct_transfers.HolderEpoch(record.data_centre, record.epoch)
