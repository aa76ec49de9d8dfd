"""What is known of one passed epoch, from the seals of routers and sidecars.

A run under the epoch was granted by its holder, and ran at a sidecar.  So all
runs are known when the holder itself answered, still the same incarnation; or when
every sidecar answered that could have run something since the last settled tokens
in the store.  See docs/design/budgets.md for the argument.
"""

from collections.abc import Iterable
from typing import NamedTuple

from endivesaddle.fleet.budgets import direct_transfers, records
from endivesaddle.fleet.budgets.ledger import DirectTransfer
from endivesaddle.wire import holders_pb2

HELD = 'budget_held'
"""State of a report's record: this instance held the shard under this epoch."""
RESERVED = 'budget_reserved'
"""State of a report's record: an open reservation of the holder itself."""
SETTLED = 'budget_settled'
"""State of a report's record: a settled reservation of the holder itself."""
TRANSFERRED = 'budget_moved'
"""State of a report's record: a direct transfer not known to be in the store."""
OWN_STATES = frozenset((HELD, RESERVED, SETTLED, TRANSFERRED))
"""States that only budgets understand; claims are not told of them."""
_ENDED = 'ended'

Reports = Iterable[holders_pb2.Record]


class Run(NamedTuple):
    """What one request counts: its bill, or its bound while it is open.

    ``sure``: the bill was made, and no later report changes it.
    """

    tokens: int
    batch: int
    open: bool
    sure: bool = False


class Release(NamedTuple):
    """What a stranded entry becomes; ``spent_tokens`` is -1 while something is open."""

    ceiling: int
    spent_tokens: int


class EpochUsage:
    """The runs and transfers of one passed epoch, by account."""

    def __init__(self, holder_epoch: direct_transfers.HolderEpoch) -> None:
        """Know nothing of a holder yet."""
        self.holder_epoch = holder_epoch
        self.complete = False
        self.first_batch = 0
        self.runs: dict[str, dict[str, Run]] = {}
        self.late: dict[tuple[str, str], int] = {}
        self.received: dict[str, dict[str, DirectTransfer]] = {}
        self.given: dict[str, dict[str, int]] = {}

    def learn(self, routers: Reports, sidecars: Reports, known_batch: int) -> None:
        """Take in the reports about this epoch, of one round of seals.

        What ran of the batch ``known_batch`` and later is known at the sidecars.
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
            known = self.runs.setdefault(account, {})
            if request_key not in known or not known[request_key].sure:
                known[request_key] = _judge(reports, known_batch)
        for (account, request_key), used_tokens in self.late.items():
            self.settle(account, request_key, used_tokens)

    def settle(self, account: str, request_key: str, used_tokens: int) -> int | None:
        """Bill a run of this epoch once; return the billed tokens, None when unknown."""
        run = self.runs.get(account, {}).get(request_key)
        if run is None:
            self.late[account, request_key] = used_tokens
            return None
        if run.open:
            run = run._replace(tokens=min(used_tokens, run.tokens), open=False, sure=True)
            self.runs[account][request_key] = run
        return run.tokens

    def release(self, account: str, entry: records.Stranded) -> Release | None:
        """Return what a stranded entry becomes; None while not all is known.

        Runs of batches before ``first_batch`` may be unknown.  A run without a batch
        can't be told from one that is settled in the store already.
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

    def drop_recorded(self, account: str, kept: dict[str, records.RecordedTransfer]) -> None:
        """Count the given transfers no more that the store shows by now."""
        given = self.given.get(account, {})
        for transfer_id in [known for known in given if known in kept]:
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


def _judge(reports: _Reports, known_batch: int) -> Run:
    everything = [*reports.routers, *reports.sidecars]
    batch = max(record.batch for record in everything)
    billed = [record.used_tokens for record in reports.routers if record.state == SETTLED]
    if billed:
        return Run(billed[0], batch, open=False, sure=True)
    bound = max(record.bound_tokens for record in everything)
    running = any(record.state != _ENDED for record in reports.sidecars)
    if running or batch < known_batch:
        # It may run at a sidecar that didn't answer, or have run at one that was
        # restarted since and forgot it: count the bound until it is settled.
        return Run(bound, batch, open=True)
    # All sidecars have sealed the epoch: what is not at one of them never starts.
    used = [record.used_tokens for record in everything if record.state == _ENDED]
    return Run(min(bound, max(used, default=0)), batch, open=False)


def holder_epoch_of(record: holders_pb2.Record) -> direct_transfers.HolderEpoch:
    """Return which holder a report's record speaks of."""
    return direct_transfers.HolderEpoch(record.data_centre, record.epoch)
