"""Which instances keep copies of a stream's origin, and the message that carries them."""

from collections.abc import Iterable, Mapping

import xxhash

from endivesaddle.fleet.routing.stream_origins import KnownOrigin
from endivesaddle.wire import routers_pb2

COPIES = 2
"""Copies of an origin beside the router's own, in two data centres where there are two."""


def ranked(key: bytes, addresses: Iterable[str]) -> list[str]:
    """Order the instances for a stream by rendezvous hashing, the same for all routers."""
    return sorted(addresses, key=lambda one: xxhash.xxh3_64_intdigest(key + one.encode()))


def holders(key: bytes, data_centres: Mapping[str, str]) -> list[str]:
    """Return the instances that keep a stream's origin; ``data_centres`` are by address."""
    order = ranked(key, data_centres)
    far = [one for one in order if data_centres[one] != data_centres[order[0]]]
    return list(dict.fromkeys([*order[:1], *far, *order]))[:COPIES]


def origin_message(key: bytes, known: KnownOrigin, now_unix_s: float) -> routers_pb2.StreamOrigin:
    """Return an origin as it is sent to other instances."""
    return routers_pb2.StreamOrigin(
        key=key,
        service=known.origin.service,
        version=known.origin.version,
        kept_s=known.until_unix_s - now_unix_s,
        age_s=now_unix_s - known.learned_unix_s,
    )
