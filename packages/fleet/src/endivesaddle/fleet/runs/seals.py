"""Epochs that are sealed here: nothing starts under them any more."""

from endivesaddle.wire import holders_pb2


class Seals:
    """The lowest epoch that may still start runs, by shard and data centre."""

    def __init__(self) -> None:
        """Start with nothing sealed."""
        self._lowest: dict[tuple[int, str], int] = {}

    def seal(self, message: holders_pb2.SealRequest) -> None:
        """Seal every epoch of a shard and data centre below one; never unseals."""
        key = (message.shard, message.data_centre)
        self._lowest[key] = max(self._lowest.get(key, 0), message.below_epoch)

    def sealed(self, shard: int, data_centre: str, epoch: int) -> bool:
        """Tell whether an epoch is sealed."""
        return epoch < self._lowest.get((shard, data_centre), 0)
