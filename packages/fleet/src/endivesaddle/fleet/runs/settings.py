"""Settings of the runs of a sidecar."""

import dataclasses

from endivesaddle.fleet.settings import integer, number, option

_MEGABYTE = 1 << 20


@dataclasses.dataclass(frozen=True)
class RunSettings:
    """Bounds of runs, kept answers and deadlines; see docs/SIDECAR.md."""

    max_running: int = option(
        'max-running', 'runs at once; more are refused as not run', 64, integer(1, 4096)
    )
    max_remembered: int = option(
        'max-remembered',
        'runs and cancelled keys remembered at once',
        20_000,
        integer(1, 1_000_000),
    )
    answer_bytes: int = option(
        'answer-bytes', 'longest answer that is kept', 2 * _MEGABYTE, integer(1024, 1 << 30)
    )
    answers_bytes: int = option(
        'answers-bytes', 'all kept answers together', 16 * _MEGABYTE, integer(1024, 1 << 34)
    )
    token_bytes: int = option(
        'token-bytes',
        'room set aside for each token of an answer (kept compressed)',
        80,
        integer(1, 65_536),
    )
    chunk_bytes: int = option(
        'chunk-bytes', 'most data of one chunk towards a router', 16_384, integer(256, 1 << 20)
    )
    keep_alive_s: float = option(
        'follow-keep-alive-s', 'a chunk is sent at least this often', 1.0, number(0.01, 60)
    )
    keep_answer_s: float = option(
        'keep-answer-s', 'an answer is kept this long after its end', 120.0, number(1, 86_400)
    )
    remember_s: float = option(
        'remember-run-s',
        'a run is remembered this long after its end',
        900.0,
        number(1, 86_400),
    )
    settle_deadline_s: float = option(
        'settle-deadline-s', 'deadline of one call that settles', 1.0, number(0.05, 60)
    )
    settle_retry_s: float = option(
        'settle-retry-s', 'first pause before settling is tried again', 0.25, number(0.01, 60)
    )
    settle_retry_most_s: float = option(
        'settle-retry-most-s',
        'longest pause before settling is tried again',
        5.0,
        number(0.1, 600),
    )
    settle_failed_s: float = option(
        'settle-failed-s',
        'a failed attempt is settled when nobody ran it again by then',
        30.0,
        number(0, 600),
    )
    drain_linger_s: float = option(
        'drain-linger-s',
        'a draining sidecar waits this long for an answer to be fetched',
        10.0,
        number(0, 600),
    )
    order_deadline_s: float = option(
        'order-deadline-s',
        'longest time that an order to the engine may take',
        30.0,
        number(0.1, 600),
    )
    order_lease_s: int = option(
        'order-lease-s',
        'lease on orders to an engine that ignores fencing numbers',
        10,
        integer(2, 600),
    )
    order_read_back_s: float = option(
        'order-read-back-s',
        'how often the state of such an engine is read back',
        5.0,
        number(0.1, 600),
    )
