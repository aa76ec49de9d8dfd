"""Wait for the word to stop."""

import signal

import anyio


async def stop_signal() -> None:
    """Return at SIGTERM or SIGINT; SIGHUP, which would end the process, changes nothing."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
        async for number in received:
            if number is not signal.SIGHUP:
                return
