"""Settings of calls to the store."""

import dataclasses

from endivesaddle.fleet import settings

FIRST_PAUSE_S = 0.1
"""Pause after the first failed attempt: most failures are one lost connection."""


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """How a router calls a store that does not answer."""

    store_retry_max_s: float = settings.option(
        'store-retry-max-s',
        'longest pause between attempts to read a store that does not answer',
        FIRST_PAUSE_S,
        settings.number(FIRST_PAUSE_S, 1),
    )
