"""Settings of requests: claims, answers, records."""

import dataclasses

from endivesaddle.fleet.settings import integer, number, option

_MEGABYTE = 1 << 20
_DAY_S = 86_400


@dataclasses.dataclass(frozen=True)
class RequestSettings:
    """Limits and timeouts of the request life cycle; see docs/REQUESTS.md."""

    call_s: float = option(
        'request-call-s', 'timeout of one call to a holder or sidecar', 1.0, number(0.01, 60)
    )
    claim_wait_s: float = option(
        'request-claim-wait-s',
        'a claim not decided within this time gets the reply "waiting", and is sent again',
        0.5,
        number(0.01, 30),
    )
    ask_s: float = option(
        'request-ask-s',
        'timeout of a query to another data centre',
        0.5,
        number(0.01, 60),
    )
    recovery_wait_s: float = option(
        'request-recovery-wait-s',
        'how long a claim waits for a new holder to recover',
        2.0,
        number(0, 60),
    )
    keep_s: float = option(
        'request-keep-s',
        'how long a request that may be repeated is remembered',
        900.0,
        number(1, _DAY_S),
    )
    keep_once_s: float = option(
        'request-keep-once-s',
        'how long a request that may not be repeated is remembered',
        3600.0,
        number(1, _DAY_S),
    )
    mark_s: float = option(
        'request-mark-s', 'how late a first attempt may arrive', 600.0, number(1, _DAY_S)
    )
    max_records: int = option(
        'request-max-records',
        'maximum number of requests remembered by one holder',
        20000,
        integer(1, 1000000),
    )
    refused_records: int = option(
        'request-refused-records',
        'maximum number of refused requests remembered by one holder',
        4096,
        integer(1, 1000000),
    )
    takeover_s: float = option(
        'request-takeover-s',
        'a claim that is not dispatched within this time may be taken over',
        1.0,
        number(0.01, 60),
    )
    silence_s: float = option(
        'request-silence-s',
        'an answer without a chunk for this long is requested again from its offset',
        2.5,
        number(0.05, 60),
    )
    retry_pause_s: float = option(
        'request-retry-pause-s',
        'pause before a call is retried',
        0.1,
        number(0.001, 10),
    )
    lost_after_s: float = option(
        'request-lost-after-s',
        'a sidecar that is unreachable for this long counts as lost',
        3.0,
        number(0.05, 600),
    )
    unknown_after_s: float = option(
        'request-unknown-after-s',
        'the same for a request that may not be repeated',
        10.0,
        number(0.05, 600),
    )
    max_attempts: int = option(
        'request-max-attempts', 'maximum number of attempts of one request', 6, integer(1, 100)
    )
    buffer_bytes: int = option(
        'request-buffer-bytes',
        'size up to which an answer is held back until it is complete',
        _MEGABYTE // 4,
        integer(0, 1 << 30),
    )
    cancel_after_s: float = option(
        'request-cancel-after-s',
        'how long a disconnected caller may come back before its run is cancelled',
        5.0,
        number(0, 600),
    )
    settle_until_s: float = option(
        'request-settle-until-s',
        'how long after the deadline a settlement is awaited',
        300.0,
        number(1, _DAY_S),
    )
    settle_retry_s: float = option(
        'request-settle-retry-s', 'pause before a settlement is retried', 2.0, number(0.01, 600)
    )
    unasked_every_s: float = option(
        'request-unasked-every-s',
        'interval between queries to an unreachable data centre',
        5.0,
        number(0.05, 600),
    )
    record_every_s: float = option(
        'request-record-every-s',
        'interval between writes of ended records to the store',
        10.0,
        number(0.1, 3600),
    )
    record_slots: int = option(
        'request-record-slots',
        'number of record batches kept in the store for each shard',
        90,
        integer(1, 100000),
    )
    record_bytes: int = option(
        'request-record-bytes',
        'maximum size of a batch of records',
        _MEGABYTE // 4,
        integer(1024, _MEGABYTE),
    )
    record_queue: int = option(
        'request-record-queue',
        'maximum number of ended records that wait for the store',
        10000,
        integer(1, 1000000),
    )
