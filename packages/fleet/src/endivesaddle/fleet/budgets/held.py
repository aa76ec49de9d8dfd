"""The in-memory state of a shard under one epoch of this holder."""

import anyio

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.direct_transfers import HolderEpoch
from endivesaddle.fleet.budgets.epoch_usage import EpochUsage
from endivesaddle.fleet.budgets.ledger import Ledger
from endivesaddle.fleet.budgets.records_store import Saved


class HeldShard:  # noqa: WPS230 (state shared by the tasks of one shard)
    """The last read or written record, the ledgers and the events between the shard's tasks.

    ``receivers`` are the epochs to which tokens may be transferred directly: those that
    this holder's record in the store is confirmed to name, so that a successor knows
    which holders to ask.
    """

    def __init__(self, shard: int, data_centre: str, saved: Saved, now_unix_s: float) -> None:
        """Initialize from ``saved``, the record whose write made this instance the holder."""
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
        """This holder, identified by its data centre and epoch."""
        return HolderEpoch(self.data_centre, self.epoch)

    @property
    def seen_unix_s(self) -> float:
        """The time at which the record was last read or written."""
        return self._seen_unix_s

    @property
    def lock(self) -> anyio.Lock:
        """The lock that serializes writes of the record."""
        return self._lock

    def ledger(self, account: str) -> Ledger:
        """Return the ledger of an account; creates it on first use."""
        return self.ledgers.setdefault(account, Ledger())

    def budget(self, account: str) -> records.Budget:
        """Return the budget of an account in the last read or written record."""
        return self.saved.record['budgets'].get(account) or records.new_budget()

    def stop(self, reason: str) -> None:
        """Stop admitting requests and wake those that wait."""
        self.stop_reason = self.stop_reason or reason
        self.notify_change()

    def notify_change(self) -> None:
        """Wake the requests that wait for headroom."""
        self._changed.set()
        self._changed = anyio.Event()

    def next_change(self) -> anyio.Event:
        """Return the event that the next change will set."""
        return self._changed

    def request_write(self) -> None:
        """Wake the task that writes the record."""
        self._wake.set()

    async def wait_until_due(self, interval_s: float) -> None:
        """Wait until a write is requested, at most ``interval_s`` seconds."""
        with anyio.move_on_after(interval_s):
            await self._wake.wait()
        self._wake = anyio.Event()

    def apply_saved(self, saved: Saved, now_unix_s: float) -> None:
        """Store a record that was read or written at ``now_unix_s``."""
        self.saved = saved
        self._seen_unix_s = now_unix_s
        self.reachable = True
        for name in saved.record['sealed']:
            self._sealed_unix_s.setdefault(name, now_unix_s)

    def request_reread(self) -> None:
        """Have the record read again now, because another holder has just changed it."""
        self._seen_unix_s = 0
        self.request_write()

    def sealed_since_unix_s(self, holder_epoch: HolderEpoch) -> float:
        """Return when a past epoch was first seen on this instance, or 0 if never."""
        return self._sealed_unix_s.get(records.sealed_key(*holder_epoch), 0)


def _past_epochs(record: records.ShardRecord, data_centre: str) -> dict[int, EpochUsage]:
    past_epochs = {}
    for name in record['sealed']:
        place, _, epoch = name.partition('/')
        if place == data_centre:
            past_epochs[int(epoch)] = EpochUsage(HolderEpoch(place, int(epoch)))
    return past_epochs
