"""Direct transfers of headroom between holders while the store is unavailable.

The donor lowers its own ceiling in memory before it replies; the receiver may spend the
tokens in the reply.  The receiver later records the transfer in the store: one write
lowers the donor's ceiling and raises its own.  Until then the tokens are part of the
donor's ceiling in the store, so they never appear as free there.
"""

from typing import NamedTuple

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.ledger import DirectTransfer, Ledger


class HolderEpoch(NamedTuple):
    """The holder of a data centre under one epoch, such as one side of a transfer."""

    data_centre: str
    epoch: int


class TransferId(NamedTuple):
    """A parsed transfer id: donor, receiver, and a number assigned by the receiver."""

    donor: HolderEpoch
    receiver: HolderEpoch
    number: str

    def __str__(self) -> str:
        """Return the id as used on the wire and in the store."""
        holder_epochs = [
            f'{holder_epoch.data_centre}/{holder_epoch.epoch}'
            for holder_epoch in (self.donor, self.receiver)
        ]
        return '/'.join([*holder_epochs, self.number])


def parse_id(transfer_id: str) -> TransferId:
    """Parse a transfer id; raises ``ValueError`` if it is malformed."""
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
    """Move tokens from the donor's ceiling to the receiver's; return False if impossible.

    Does nothing if the record already has the id: an earlier write whose reply was lost
    has moved the tokens.
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
    for index, entry in enumerate(budget['stranded']):
        found = (entry.data_centre, entry.epoch) == holder_epoch
        if found and entry.ceiling + tokens >= entry.settled:
            budget['stranded'][index] = entry._replace(ceiling=entry.ceiling + tokens)
            return True
    if tokens <= 0 or records.sealed_key(*holder_epoch) not in record['sealed']:
        return False
    # A past holder without a grant from the store, which spent transferred tokens only.
    budget['stranded'].append(records.Stranded(*holder_epoch, tokens, 0, 0))
    return True


class TransferUpdate:
    """The changes to an account's direct transfers in one write of a holder."""

    def __init__(self, record: records.ShardRecord, account: str, own: HolderEpoch) -> None:
        """Initialize for a record that is about to be written."""
        self._record = record
        self._account = account
        self._own = own
        self.recorded: list[str] = []
        self.returned: dict[str, int] = {}
        self.voided: list[str] = []

    def apply(self, ledger: Ledger) -> bool:
        """Record received transfers, void unanswered requests, acknowledge recorded ones."""
        transfers = self._record['budgets'][self._account]['moves']
        before = dict(transfers)
        for transfer_id, transfer in ledger.pending.received.items():
            if record_transfer(self._record, self._account, transfer_id, transfer, self._own):
                self.recorded.append(transfer_id)
        for transfer_id in ledger.pending.unanswered:
            transfers.setdefault(transfer_id, records.RecordedTransfer(0, acknowledged=False))
            self.voided.append(transfer_id)
        for transfer_id in list(transfers):
            self._update_state(transfer_id, ledger)
        self.returned = dict(ledger.pending.acknowledged)
        return before != transfers

    def confirm(self, ledger: Ledger) -> None:
        """Drop the pending transfers that the confirmed write has stored."""
        for transfer_id in self.recorded:
            ledger.pending.received.pop(transfer_id)
        for transfer_id in self.voided:
            ledger.pending.unanswered.pop(transfer_id)
        for transfer_id in self.returned:
            ledger.pending.given.pop(transfer_id)
            ledger.pending.acknowledged.pop(transfer_id, None)

    @property
    def ceiling_change_tokens(self) -> int:
        """The change of the own ceiling by the recorded and the returned transfers."""
        transfers = self._record['budgets'][self._account]['moves']
        recorded = sum(transfers[transfer_id].tokens for transfer_id in self.recorded)
        return recorded - sum(self.returned.values())

    def _update_state(self, transfer_id: str, ledger: Ledger) -> None:
        transfers = self._record['budgets'][self._account]['moves']
        transfer = transfers[transfer_id]
        donor, receiver, _ = parse_id(transfer_id)
        if donor == self._own and transfer_id in ledger.pending.given:
            ledger.pending.acknowledged[transfer_id] = transfer.tokens
        if self._acts_for(donor) and not transfer.acknowledged:
            transfers[transfer_id] = transfer._replace(acknowledged=True)
        is_settled = (
            transfer_id not in ledger.pending.received
            and transfer_id not in ledger.pending.unanswered
        )
        if self._acts_for(receiver) and transfer.acknowledged and is_settled:
            transfers.pop(transfer_id)

    def _acts_for(self, holder_epoch: HolderEpoch) -> bool:
        # A past epoch can't write any more.  Its successor acts for it, but only once all
        # usage is known (no entry in ``sealed``): a late report would count tokens twice.
        if holder_epoch.data_centre != self._own.data_centre:
            return False
        return records.sealed_key(*holder_epoch) not in self._record['sealed']
