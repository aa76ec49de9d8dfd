"""What is known of one instance, and which of two words about it is the later one.

A record is ``members_pb2.Member``: ``state`` is live, suspect or gone as the
router that watches the instance sees it; ``left`` is the instance's own word.
"""

import functools
from types import MappingProxyType

import xxhash

from endivesaddle.fleet.identity import Identity
from endivesaddle.wire import members_pb2

LIVE = 'live'
SUSPECT = 'suspect'
LEAVING = 'leaving'
GONE = 'gone'
USABLE = frozenset((LIVE, SUSPECT))
"""States of an instance that others still turn to."""
ROUTER = 'router'
SIDECAR = 'sidecar'

_RANKS = MappingProxyType({LIVE: 0, SUSPECT: 1, GONE: 2})
_HASH_MASK = 0xFFFFFFFF
_HASHES_KEPT = 4096


def own_record(identity: Identity, sequence: int) -> members_pb2.Member:
    """Return what an instance says of itself at its start."""
    return members_pb2.Member(
        instance=identity.instance,
        role=identity.role,
        data_centre=identity.data_centre,
        region=identity.region,
        address=identity.address,
        incarnation=identity.incarnation,
        server=identity.server,
        state=LIVE,
        sequence=sequence,
    )


def copied(record: members_pb2.Member) -> members_pb2.Member:
    """Return a copy to change: records in the tables are shared and stay as they are."""
    copy = members_pb2.Member()
    copy.CopyFrom(record)
    return copy


def merged(known: members_pb2.Member, heard: members_pb2.Member) -> members_pb2.Member | None:
    """Return the record after ``heard``, or None when it brings nothing new.

    A higher incarnation replaces everything.  Within one, the higher sequence
    wins and, at the same sequence, the worse state: a beat that was on its way
    when its sender was declared gone can't revive it, a later beat can.  That
    an instance leaves is never taken back within its incarnation.
    """
    if heard.incarnation != known.incarnation:
        return heard if heard.incarnation > known.incarnation else None
    record = copied(max(known, heard, key=_age))
    record.left = known.left or heard.left
    record.listed = max(known.listed, heard.listed)
    return None if record == known else record


def urgent(known: members_pb2.Member | None, record: members_pb2.Member) -> bool:
    """Tell whether a change can't wait for the next beats."""
    if known is None or known.incarnation != record.incarnation:
        return True
    return _news(known) != _news(record)


def listed_leaving(record: members_pb2.Member) -> bool:
    """Tell whether the platform's list says that an instance leaves."""
    return record.listed % 2 == 1


def declared(record: members_pb2.Member, state: str, sequence: int, via: str) -> members_pb2.Member:
    """Return a record as the router at ``via``, which watches it, declares it."""
    changed = copied(record)
    changed.state = state
    changed.via = via
    changed.sequence = max(sequence, record.sequence)
    return changed


@functools.lru_cache(maxsize=_HASHES_KEPT)
def name_hash(name: str) -> int:
    """Return the 32-bit hash under which a name goes in pulses."""
    return xxhash.xxh3_64_intdigest(name.encode()) & _HASH_MASK


@functools.lru_cache(maxsize=_HASHES_KEPT)
def data_centre_hash(data_centre: str) -> int:
    """Return the hash of a data centre, apart from those of instances."""
    return name_hash(f'data centre/{data_centre}')


def record_digest(record: members_pb2.Member) -> int:
    """Return what a record adds to the digest of its data centre; 0 when gone."""
    if record.state == GONE:
        return 0
    words = f'{record.instance}/{record.incarnation}/{_news(record)}'
    return xxhash.xxh3_64_intdigest(words.encode())


def _age(record: members_pb2.Member) -> tuple[int, int]:
    return record.sequence, _RANKS.get(record.state, 0)


def _news(record: members_pb2.Member) -> tuple[str, bool, int]:
    return record.state, record.left, record.listed
