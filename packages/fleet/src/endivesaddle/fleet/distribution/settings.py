"""Settings of the distribution of the configuration."""

import dataclasses

from endivesaddle.fleet import settings

_option = settings.option
_seconds = settings.number(0.05, 3600)


@dataclasses.dataclass(frozen=True)
class DistributionSettings:
    """Intervals and timeouts of the relays' store calls and of pulls."""

    reread_s: float = _option(
        'reread-s', 'seconds between reads of the head by the first relay', 3.0, _seconds
    )
    watch_s: float = _option('watch-s', 'seconds after which a watch is restarted', 60.0, _seconds)
    relay_check_s: float = _option(
        'relay-check-s', 'seconds between checks which routers are relays', 0.5, _seconds
    )
    store_call_s: float = _option('store-call-s', 'seconds to wait for the store', 2.0, _seconds)
    pull_call_s: float = _option(
        'pull-call-s', 'seconds to wait for a peer to send parts', 2.0, _seconds
    )
