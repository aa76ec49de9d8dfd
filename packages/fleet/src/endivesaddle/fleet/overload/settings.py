"""Settings of the handling of overload."""

import dataclasses

from endivesaddle.fleet import settings

OFF = 'off'
SHED = 'shed'
MAX_LINK_MBPS = 1_000_000


@dataclasses.dataclass(frozen=True)
class OverloadSettings:
    """Whether an overloaded router sheds load, and the capacity of its link."""

    overload_policy: str = settings.option(
        'overload-policy',
        f'what an overloaded router does: {OFF} or {SHED}',
        OFF,
        settings.choice(OFF, SHED),
    )
    link_mbps: float = settings.option(
        'link-mbps',
        "capacity of this instance's link in each direction in Mbit/s, 0 for unknown",
        0.0,
        settings.number(0, MAX_LINK_MBPS),
    )

    @property
    def enabled(self) -> bool:
        """Tell whether an overloaded router does anything."""
        return self.overload_policy != OFF

    @property
    def link_bytes_per_s(self) -> float:
        """The capacity of the link in each direction, 0 for unknown."""
        return self.link_mbps * 1e6 / 8
