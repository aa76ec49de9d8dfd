"""A shard under one epoch of this holder, in memory."""

import anyio

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.direct_transfers import HolderEpoch
from endivesaddle.fleet.budgets.epoch_usage import EpochUsage
from endivesaddle.fleet.budgets.ledger import Ledger
from endivesaddle.fleet.budgets.records_store import Saved


class HeldShard:  # noqa: WPS230 (what the tasks of one shard share)
    """The record as last seen, the ledgers, and what the tasks of the shard tell each other.

    ``receivers`` are the epochs that may be given to directly: those that the store
    names for sure, so that a successor knows whom to ask.
    """

    def __init__(self, shard: int, data_centre: str, saved: Saved, now_unix_s: float) -> None:
        """Hold a shard from the confirmed record ``saved`` on."""
        own = saved.record['holders'][data_centre]
        self.shard = shard
        self.data_centre = data_centre
        self.epoch = own['epoch']
        self.ledgers: dict[str, Ledger] = {}
        self.since_unix_s = now_unix_s
        self.batch = int(now_unix_s)
        self.stop_reason = ''
        self.dirty = False
        self.write_unconfirmed = False
        self.receivers = dict(own['others'])
        self.past_epochs = _past_epochs(saved.record, data_centre)
        self.recovered = not self.past_epochs
        self._lock = anyio.Lock()
        self._wake = anyio.Event()
        self._changed = anyio.Event()
        self._sealed_unix_s: dict[str, float] = {}
        self.apply_saved(saved, now_unix_s)

    @property
    def holder_epoch(self) -> HolderEpoch:
        """This holder as one side of a transfer."""
        return HolderEpoch(self.data_centre, self.epoch)

    @property
    def seen_unix_s(self) -> float:
        """When the record was last read or written."""
        return self._seen_unix_s

    @property
    def lock(self) -> anyio.Lock:
        """Held while the record is written."""
        return self._lock

    def ledger(self, account: str) -> Ledger:
        """Return an account's ledger, a new one at its first use."""
        return self.ledgers.setdefault(account, Ledger())

    def budget(self, account: str) -> records.Budget:
        """Return an account's budget as last seen."""
        return self.saved.record['budgets'].get(account) or records.new_budget()

    def stop(self, reason: str) -> None:
        """Admit nothing more; whoever waits is told at once."""
        self.stop_reason = self.stop_reason or reason
        self.notify_change()

    def notify_change(self) -> None:
        """Wake whoever waits for headroom."""
        self._changed.set()
        self._changed = anyio.Event()

    def next_change(self) -> anyio.Event:
        """Return the event of the next change."""
        return self._changed

    def request_write(self) -> None:
        """Have the record written now."""
        self._wake.set()

    async def wait_until_due(self, interval_s: float) -> None:
        """Wait until the record is to be written."""
        with anyio.move_on_after(interval_s):
            await self._wake.wait()
        self._wake = anyio.Event()

    def apply_saved(self, saved: Saved, now_unix_s: float) -> None:
        """Take in a record as it was read or written just now."""
        self.saved = saved
        self._seen_unix_s = now_unix_s
        self.reachable = True
        for name in saved.record['sealed']:
            self._sealed_unix_s.setdefault(name, now_unix_s)

    def request_reread(self) -> None:
        """Have the record read now: another holder has just changed it."""
        self._seen_unix_s = 0
        self.request_write()

    def sealed_since_unix_s(self, holder_epoch: HolderEpoch) -> float:
        """Return when a passed epoch was seen here first; 0: never."""
        return self._sealed_unix_s.get(records.sealed_key(*holder_epoch), 0)


def _past_epochs(record: records.ShardRecord, data_centre: str) -> dict[int, EpochUsage]:
    past_epochs = {}
    for name in record['sealed']:
        place, _, epoch = name.partition('/')
        if place == data_centre:
            past_epochs[int(epoch)] = EpochUsage(HolderEpoch(place, int(epoch)))
    return past_epochs
