"""Records by role and place, address and server, with a digest of each data centre."""

from collections.abc import Iterator

from endivesaddle.fleet.membership import records
from endivesaddle.wire import members_pb2

Names = dict[str, None]


class Index:
    """Names of instances by what they are looked up by; kept up with each change."""

    def __init__(self) -> None:
        """Start empty."""
        self.digests: dict[int, int] = {}
        """Digest of each data centre, by its hash."""
        self._groups: dict[tuple[str, str], Names] = {}
        self._by_address: dict[str, str] = {}
        self._by_server: dict[str, Names] = {}

    def add(self, record: members_pb2.Member) -> None:
        """Take in a record."""
        self._digest(record)
        self._group(record)[record.instance] = None
        self._by_address[record.address] = record.instance
        if record.server:
            self._by_server.setdefault(record.server, {})[record.instance] = None

    def remove(self, record: members_pb2.Member) -> None:
        """Take out a record, as it was added."""
        self._digest(record)
        self._group(record).pop(record.instance, None)
        if self._by_address.get(record.address) == record.instance:
            self._by_address.pop(record.address)
        self._by_server.get(record.server, {}).pop(record.instance, None)

    def of(self, role: str, data_centre: str = '') -> Iterator[str]:
        """Yield the instances of a role, in one data centre or all."""
        for (found_role, found_data_centre), names in self._groups.items():
            if found_role == role and data_centre in {'', found_data_centre}:
                yield from names

    def at(self, address: str) -> str:
        """Return the instance at an address, or ''."""
        return self._by_address.get(address, '')

    def beside(self, server: str) -> list[str]:
        """Return the sidecars that are or were beside a backend server."""
        return list(self._by_server.get(server, ()))

    def data_centres(self) -> list[str]:
        """Return all data centres."""
        return sorted({data_centre for _, data_centre in self._groups})

    def _group(self, record: members_pb2.Member) -> Names:
        return self._groups.setdefault((record.role, record.data_centre), {})

    def _digest(self, record: members_pb2.Member) -> None:
        of = records.data_centre_hash(record.data_centre)
        self.digests[of] = self.digests.get(of, 0) ^ records.record_digest(record)
