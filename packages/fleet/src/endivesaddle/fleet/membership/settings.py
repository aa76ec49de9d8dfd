"""Settings of membership: periods, thresholds and shares of the control limits."""

import dataclasses

from endivesaddle.fleet import settings

_option = settings.option
_seconds = settings.number(0.05, 3600)


@dataclasses.dataclass(frozen=True)
class MembershipSettings:
    """How instances find, watch and tell one another.

    ``seeds`` are addresses of a few routers, of each data centre if possible.
    The byte rates bound what pulses and load reports cost on one link of the
    tree; at a larger fleet they are sent less often, not at a higher cost.
    """

    seeds: tuple[str, ...] = _option(
        'seeds', 'ip:port of some routers, by commas', (), settings.name_list
    )
    beat_s: float = _option('beat-s', 'seconds between heartbeats', 1.0, _seconds)
    beat_call_s: float = _option(
        'beat-call-s', 'seconds to wait for an answer to a beat', 1.0, _seconds
    )
    suspect_s: float = _option('suspect-s', 'seconds of silence until suspect', 3.0, _seconds)
    gone_s: float = _option('gone-s', 'seconds of silence until gone', 6.0, _seconds)
    forget_s: float = _option(
        'forget-s', 'seconds that a gone instance is remembered', 900.0, _seconds
    )
    exchange_s: float = _option(
        'exchange-s', 'seconds between words to other data centres', 2.0, _seconds
    )
    instance_list_s: float = _option(
        'instance-list-s', 'seconds between reads of the list', 2.0, _seconds
    )
    fan_out: int = _option(
        'fan-out', 'routers below one router in the tree', 3, settings.integer(1, 64)
    )
    pulse_bytes_per_s: float = _option(
        'pulse-bytes-per-s', 'bytes of pulses on one link', 200.0, settings.number(1, 1e9)
    )
    loads_detailed: int = _option(
        'loads-detailed',
        'load reports of a data centre that others hear one by one, not as their mean',
        24,
        settings.integer(0, 10000),
    )
    load_bytes_per_s: float = _option(
        'load-bytes-per-s', 'bytes of loads on one link', 300.0, settings.number(1, 1e9)
    )
