"""Settings of the connections to a backend server."""

import dataclasses

from endivesaddle.fleet.settings import integer, number, option


@dataclasses.dataclass(frozen=True)
class BackendSettings:
    """Deadlines and bounds towards the backend server; see docs/SIDECAR.md."""

    connect_s: float = option(
        'backend-connect-s',
        'deadline of a connection to the backend server',
        2.0,
        number(0.01, 60),
    )
    first_byte_s: float = option(
        'backend-first-byte-s',
        'longest silence before an answer begins',
        60.0,
        number(0.05, 3600),
    )
    silence_s: float = option(
        'backend-silence-s', 'longest silence within an answer', 10.0, number(0.05, 3600)
    )
    report_s: float = option(
        'backend-report-s', 'deadline of a load report of the engine', 1.0, number(0.01, 60)
    )
    event_bytes: int = option(
        'backend-event-bytes',
        'longest event of a streamed answer',
        1 << 20,
        integer(1024, 1 << 30),
    )
    body_bytes: int = option(
        'backend-body-bytes',
        'longest answer that is not streamed',
        8 << 20,
        integer(1024, 1 << 30),
    )
