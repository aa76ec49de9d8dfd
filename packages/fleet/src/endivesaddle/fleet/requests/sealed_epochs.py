"""Epochs sealed on this instance: nothing more is granted or dispatched under them."""

from collections.abc import Iterable, Sequence

from endivesaddle.wire import holders_pb2


class SealedEpochs:
    """The lowest epoch that is not sealed, by shard and data centre."""

    def __init__(self) -> None:
        """Initialize with no epoch sealed."""
        self._lowest: dict[tuple[int, str], int] = {}

    def seal(
        self, message: holders_pb2.SealRequest, records: Iterable[holders_pb2.Record]
    ) -> Sequence[holders_pb2.Record]:
        """Seal epochs and return the records of claims granted under them."""
        place = (message.shard, message.data_centre)
        self._lowest[place] = max(self._lowest.get(place, 0), message.below_epoch)
        return [
            record
            for record in records
            if (record.shard, record.data_centre) == place and record.epoch < message.below_epoch
        ]

    def sealed(self, shard: int, data_centre: str, epoch: int) -> bool:
        """Tell whether an epoch is sealed."""
        return epoch < self._lowest.get((shard, data_centre), 0)

    def seals(self, record: holders_pb2.Record) -> bool:
        """Tell whether the epoch of a record is sealed."""
        return self.sealed(record.shard, record.data_centre, record.epoch)

    def dump(self) -> dict[str, int]:
        """Return the lowest unsealed epochs, by shard and data centre."""
        return {f'{shard}/{name}': epoch for (shard, name), epoch in self._lowest.items()}
