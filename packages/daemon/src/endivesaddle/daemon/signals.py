"""What a process does on signals, from its start to its end.

A process stops once, at the first SIGTERM or SIGINT.  None of the signals that follow changes what
it has promised until then: they are logged, and it stops as it would without them.
"""

import signal
import sys
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from endivesaddle.daemon import events
from endivesaddle.daemon.received_signals import received
from endivesaddle.fleet.registry import Registry


class SignalReader:
    """Acts on the signals that this process receives.

    ``stopping`` is set at the first signal to stop.
    """

    def __init__(self, dump: Callable[[], dict[str, Any]]) -> None:
        """Initialize; ``dump`` returns the state of the process."""
        self.stopping = anyio.Event()
        self.dump = dump

    async def run(self) -> None:
        """Act on signals until cancelled, those received before the start included."""
        signals = received()
        while True:
            for number in signals.read():
                effect = actions.find(number.name)(self)
                events.SIGNAL.log(signal=number.name, effect=effect)
            await anyio.wait_readable(signals.socket)


Action = Callable[[SignalReader], str]
actions: Registry[Action] = Registry('signal')
"""The action on each signal; it returns the effect for the log."""


@actions.add(signal.SIGTERM.name)
@actions.add(signal.SIGINT.name)
def stop(reader: SignalReader) -> str:
    """Stop gracefully, unless the process does so already."""
    if reader.stopping.is_set():
        return 'none, it stops already'
    reader.stopping.set()
    return 'it stops'


@actions.add(signal.SIGHUP.name)
def note_settings(reader: SignalReader) -> str:
    """Go on: settings are read at the start alone."""
    return 'none, changed settings are read at the next start'


@actions.add(signal.SIGUSR1.name)
def dump(reader: SignalReader) -> str:
    """Write the state to standard output as one line of JSON."""
    document = msgspec.json.encode(reader.dump(), enc_hook=str)
    sys.stdout.write(document.decode())
    sys.stdout.write('\n')
    sys.stdout.flush()
    events.DUMPED.log(size_bytes=len(document))
    return 'it dumped its state'
