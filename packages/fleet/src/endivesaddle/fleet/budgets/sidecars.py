"""The fingerprint of all sidecars: while it is unchanged, they know all recent runs."""

from collections.abc import Iterable

import xxhash

from endivesaddle.fleet.ports import FleetView


def fingerprint(view: FleetView) -> str:
    """Return the fingerprint of all sidecars in view, or '' if a server has none.

    Equal fingerprints mean the same servers, each with the same incarnation of the same
    sidecar, so nothing in the memory of the sidecars was lost in between.
    """
    members = [
        (member.server, member.instance, str(member.incarnation))
        for member in view.members('sidecar')
    ]
    return fingerprint_of(members, view.configuration.servers)


def fingerprint_of(sidecars: Iterable[tuple[str, str, str]], servers: Iterable[str]) -> str:
    """Return the fingerprint of sidecars given as (server, instance, incarnation)."""
    members = sorted(sidecars)
    if not members or set(servers) - {server for server, _, _ in members}:
        return ''
    return xxhash.xxh3_64_hexdigest(repr(members).encode())
