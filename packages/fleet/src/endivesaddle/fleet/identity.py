"""The identity of an instance: name, location and address, from its settings."""

from typing import NamedTuple


class Identity(NamedTuple):
    """One incarnation of an instance; ``address`` is that of its gRPC listener."""

    instance: str
    role: str
    data_centre: str
    region: str
    address: str
    incarnation: int
    server: str = ''
