"""Settings of the connections to a backend server."""

import dataclasses

from endivesaddle.fleet.settings import integer, number, option


@dataclasses.dataclass(frozen=True)
class BackendSettings:
    """Time-outs and size limits towards the backend server; see docs/SIDECAR.md."""

    connect_s: float = option(
        'backend-connect-s',
        'connect time-out to the backend server',
        2.0,
        number(0.01, 60),
    )
    first_byte_s: float = option(
        'backend-first-byte-s',
        'time-out until a response begins',
        60.0,
        number(0.05, 3600),
    )
    silence_s: float = option(
        'backend-silence-s', 'time-out between data of a response', 10.0, number(0.05, 3600)
    )
    report_s: float = option(
        'backend-report-s', 'time-out of a load report of the engine', 1.0, number(0.01, 60)
    )
    event_bytes: int = option(
        'backend-event-bytes',
        'maximum size of an event of a streamed response',
        1 << 20,
        integer(1024, 1 << 30),
    )
    body_bytes: int = option(
        'backend-body-bytes',
        'maximum size of a response that is not streamed',
        8 << 20,
        integer(1024, 1 << 30),
    )
