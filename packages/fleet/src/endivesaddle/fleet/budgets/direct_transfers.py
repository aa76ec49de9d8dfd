"""Direct transfers of headroom, for the time when the store can't be reached.

The donor lowers what it may spend, then answers; the receiver may spend what it
was answered.  The store learns of it from the receiver, which in one write
lowers the donor's ceiling and raises its own.  Until then the tokens stay in the
donor's ceiling there, so that the sum of ceilings never shows them as free.
"""

from typing import NamedTuple

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.ledger import DirectTransfer, Ledger


class HolderEpoch(NamedTuple):
    """One side of a transfer: a data centre's holder under an epoch."""

    data_centre: str
    epoch: int


class TransferId(NamedTuple):
    """What a transfer id says: the donor, the receiver and a number of the receiver's."""

    donor: HolderEpoch
    receiver: HolderEpoch
    number: str

    def __str__(self) -> str:
        """Return the id as it goes over the wire and into the store."""
        holder_epochs = [
            f'{holder_epoch.data_centre}/{holder_epoch.epoch}'
            for holder_epoch in (self.donor, self.receiver)
        ]
        return '/'.join([*holder_epochs, self.number])


def parse_id(transfer_id: str) -> TransferId:
    """Read an id; raise ``ValueError`` when it isn't one."""
    donor, donor_epoch, receiver, receiver_epoch, number = transfer_id.split('/')
    return TransferId(
        HolderEpoch(donor, int(donor_epoch)), HolderEpoch(receiver, int(receiver_epoch)), number
    )


def record_transfer(
    record: records.ShardRecord,
    account: str,
    transfer_id: str,
    transfer: DirectTransfer,
    receiver: HolderEpoch,
) -> bool:
    """Move tokens from the donor's ceiling to the receiver's; False when it can't be.

    Nothing is done where the id is there already: an earlier write whose answer
    was lost has moved them.
    """
    budget = record['budgets'][account]
    if transfer_id in budget['moves']:
        return True
    donor = HolderEpoch(transfer.data_centre, transfer.epoch)
    if not _adjust_ceiling(record, budget, donor, -transfer.tokens):
        return False
    if not _adjust_ceiling(record, budget, receiver, transfer.tokens):
        _adjust_ceiling(record, budget, donor, transfer.tokens)
        return False
    budget['moves'][transfer_id] = records.RecordedTransfer(transfer.tokens, acknowledged=False)
    return True


def _adjust_ceiling(
    record: records.ShardRecord, budget: records.Budget, holder_epoch: HolderEpoch, tokens: int
) -> bool:
    holder = record['holders'].get(holder_epoch.data_centre)
    if holder is not None and holder['epoch'] == holder_epoch.epoch:
        grant = budget['grants'].get(holder_epoch.data_centre, records.Grant(0, 0, 0))
        if grant.ceiling + tokens < grant.settled:
            return False
        budget['grants'][holder_epoch.data_centre] = grant._replace(ceiling=grant.ceiling + tokens)
        return True
    for place, entry in enumerate(budget['stranded']):
        found = (entry.data_centre, entry.epoch) == holder_epoch
        if found and entry.ceiling + tokens >= entry.settled:
            budget['stranded'][place] = entry._replace(ceiling=entry.ceiling + tokens)
            return True
    if tokens <= 0 or records.sealed_key(*holder_epoch) not in record['sealed']:
        return False
    # A passed holder that was granted nothing by the store and lived on transfers.
    budget['stranded'].append(records.Stranded(*holder_epoch, tokens, 0, 0))
    return True


class TransferUpdate:
    """What one write of a holder does about an account's direct transfers."""

    def __init__(self, record: records.ShardRecord, account: str, own: HolderEpoch) -> None:
        """Work on a record that is about to be written."""
        self._record = record
        self._account = account
        self._own = own
        self.recorded: list[str] = []
        self.returned: dict[str, int] = {}
        self.voided: list[str] = []

    def apply(self, ledger: Ledger) -> bool:
        """Enter what was taken, void what was never answered, see what was entered."""
        kept = self._record['budgets'][self._account]['moves']
        before = dict(kept)
        for transfer_id, transfer in ledger.pending.received.items():
            if record_transfer(self._record, self._account, transfer_id, transfer, self._own):
                self.recorded.append(transfer_id)
        for transfer_id in ledger.pending.unanswered:
            kept.setdefault(transfer_id, records.RecordedTransfer(0, acknowledged=False))
            self.voided.append(transfer_id)
        for transfer_id in list(kept):
            self._acknowledge(transfer_id, ledger)
        self.returned = dict(ledger.pending.acknowledged)
        return before != kept

    def confirm(self, ledger: Ledger) -> None:
        """Forget what the store now knows."""
        for transfer_id in self.recorded:
            ledger.pending.received.pop(transfer_id)
        for transfer_id in self.voided:
            ledger.pending.unanswered.pop(transfer_id)
        for transfer_id in self.returned:
            ledger.pending.given.pop(transfer_id)
            ledger.pending.acknowledged.pop(transfer_id, None)

    @property
    def ceiling_change_tokens(self) -> int:
        """Return by how much the entered and returned transfers raise the own ceiling."""
        kept = self._record['budgets'][self._account]['moves']
        recorded = sum(kept[transfer_id].tokens for transfer_id in self.recorded)
        return recorded - sum(self.returned.values())

    def _acknowledge(self, transfer_id: str, ledger: Ledger) -> None:
        kept = self._record['budgets'][self._account]['moves']
        transfer = kept[transfer_id]
        donor, receiver, _ = parse_id(transfer_id)
        if donor == self._own and transfer_id in ledger.pending.given:
            ledger.pending.acknowledged[transfer_id] = transfer.tokens
        if self._acts_for(donor) and not transfer.acknowledged:
            kept[transfer_id] = transfer._replace(acknowledged=True)
        settled = (
            transfer_id not in ledger.pending.received
            and transfer_id not in ledger.pending.unanswered
        )
        if self._acts_for(receiver) and transfer.acknowledged and settled:
            kept.pop(transfer_id)

    def _acts_for(self, holder_epoch: HolderEpoch) -> bool:
        # A passed epoch can't write any more; its successor speaks for it as soon as
        # nothing more is to be heard of it, or a late report would count tokens twice.
        if holder_epoch.data_centre != self._own.data_centre:
            return False
        return records.sealed_key(*holder_epoch) not in self._record['sealed']
