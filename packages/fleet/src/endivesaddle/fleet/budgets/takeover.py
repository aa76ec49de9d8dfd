"""Take over a shard: write the next epoch by compare-and-swap.

The grants of the previous epoch become stranded: tokens that aren't known to be spent
count as spent until all runs under that epoch are known.
"""

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.identity import Identity


class Takeover:
    """The record change that makes this instance the holder in its data centre."""

    def __init__(self, identity: Identity, past: frozenset[int], fleet: str, batch: int) -> None:
        """Initialize for one incarnation with its ``past`` epochs and its first ``batch``.

        An entry of this incarnation whose epoch isn't in ``past`` was written by this very
        takeover, and the reply was lost.  Tokens of the ``past`` epochs have been spent and
        their ledgers are closed, so in that case a new epoch is needed.
        """
        self._identity = identity
        self._past = past
        self._fleet = fleet
        self._batch = batch

    def __call__(self, record: records.ShardRecord) -> bool:
        """Update a record; return False if this incarnation already is the holder."""
        data_centre = self._identity.data_centre
        before = record['holders'].get(data_centre)
        if before is not None and self._is_own(before):
            return False
        if before is not None:
            strand(record, data_centre, before)
        record['holders'][data_centre] = self._entry(record, before)
        return True

    def _is_own(self, holder: records.Holder) -> bool:
        own = (self._identity.instance, self._identity.incarnation)
        held_by = (holder['instance'], holder['incarnation'])
        return held_by == own and holder['epoch'] not in self._past

    def _entry(self, record: records.ShardRecord, before: records.Holder | None) -> records.Holder:
        identity = self._identity
        return records.Holder(
            epoch=1 if before is None else before['epoch'] + 1,
            address=identity.address,
            instance=identity.instance,
            incarnation=identity.incarnation,
            fleet=self._fleet,
            fleet_batch=self._batch,
            others={
                data_centre: other['epoch']
                for data_centre, other in record['holders'].items()
                if data_centre != identity.data_centre
            },
        )


def strand(record: records.ShardRecord, data_centre: str, holder: records.Holder) -> None:
    """Mark the grants of a past epoch as stranded, and keep its holder in ``sealed``."""
    epoch = holder['epoch']
    for budget in record['budgets'].values():
        _strand_grant(budget, data_centre, epoch)
    record['sealed'][records.sealed_key(data_centre, epoch)] = holder


def _strand_grant(budget: records.Budget, data_centre: str, epoch: int) -> None:
    grant = budget['grants'].pop(data_centre, None)
    if grant is not None:
        budget['stranded'].append(records.Stranded(data_centre, epoch, *grant))
