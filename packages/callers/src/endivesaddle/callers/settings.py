"""Settings of the HTTP interface for callers and operators."""

import dataclasses

from endivesaddle.fleet import settings

BODY_BYTES = 1_048_576
COMMAND_BYTES = 16_777_216
ANSWER_BYTES = 8_388_608
MAX_COUNT = 1_000_000


@dataclasses.dataclass(frozen=True)
class CallersSettings:
    """Limits on the size and time of requests, answers and connections."""

    max_body_bytes: int = settings.option(
        'max-body-bytes',
        'maximum size of a request body, in bytes',
        BODY_BYTES,
        settings.integer(1024, 64 * BODY_BYTES),
    )
    max_command_bytes: int = settings.option(
        'max-command-bytes',
        "maximum size of an operator's command with its declarations, in bytes",
        COMMAND_BYTES,
        settings.integer(1024, 8 * COMMAND_BYTES),
    )
    body_within_s: float = settings.option(
        'body-within-s',
        'seconds that a caller may take to send its body',
        30.0,
        settings.number(0.1, 3600),
    )
    max_in_flight: int = settings.option(
        'max-in-flight',
        'maximum number of open requests of one router',
        4096,
        settings.integer(1, MAX_COUNT),
    )
    default_output_tokens: int = settings.option(
        'default-output-tokens',
        'max_tokens of a request that names none (the same on all routers)',
        1024,
        settings.integer(1, MAX_COUNT),
    )
    max_choices: int = settings.option(
        'max-choices', 'largest "n" or "best_of" of a request', 8, settings.integer(1, 128)
    )
    default_timeout_s: float = settings.option(
        'default-timeout-s',
        'timeout of a request without a deadline, in seconds',
        120.0,
        settings.number(1, 86400),
    )
    max_timeout_s: float = settings.option(
        'max-timeout-s',
        'maximum time until the deadline of a request, in seconds',
        900.0,
        settings.number(1, 86400),
    )
    send_within_s: float = settings.option(
        'send-within-s',
        'seconds after which a caller that leaves its answer unread counts as disconnected',
        60.0,
        settings.number(1, 3600),
    )
    max_held_answer_bytes: int = settings.option(
        'max-held-answer-bytes',
        'size up to which an unstreamed answer is held back until it is complete, in bytes',
        ANSWER_BYTES,
        settings.integer(1024, 64 * ANSWER_BYTES),
    )
    keep_alive_s: float = settings.option(
        'http-keep-alive-s',
        'seconds for which an idle HTTP connection is kept',
        75.0,
        settings.number(1, 3600),
    )
    requests_a_connection: int = settings.option(
        'requests-a-connection',
        'requests after which a connection is closed, so that load is rebalanced',
        10_000,
        settings.integer(1, MAX_COUNT),
    )
    max_connections: int = settings.option(
        'max-connections',
        'connections of callers to one forwarding router; more are closed before they are read',
        10_000,
        settings.integer(1, MAX_COUNT),
    )
    probe_after_s: int = settings.option(
        'probe-after-s',
        'seconds of silence after which a connection is probed',
        15,
        settings.integer(1, 600),
    )
