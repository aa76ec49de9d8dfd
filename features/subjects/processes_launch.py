"""Start routers and sidecars as processes of their own, and wait on what they say.

Everything listens on ephemeral loopback ports.  What is started here is ended
here, each process by its own handle; an output line is an event that can be
waited for, so that no test needs to guess how long a start takes.
"""

import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager, suppress
from typing import Any, NamedTuple

import anyio
import msgspec
from anyio.abc import Process, TaskGroup

BIN = pathlib.Path(sys.executable).parent
DAEMON = str(BIN / 'endivesaddled')
STARTED = '"process_started"'
END_WITHIN_S = 20
READ_BYTES = 65536


class Ended(Exception):
    """A process ended before it said what was waited for."""


class Running:
    """One process, the lines that it has written, and where it answers."""

    def __init__(self, name: str, process: Process) -> None:
        """Hold a process that was just started."""
        self.name = name
        self.lines: list[str] = []
        self.address = ''
        self.http_url = ''
        self.ended = False
        self._process = process
        self._changed = anyio.Event()

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Its exit status, None while it runs."""
        return self._process.returncode

    async def read(self) -> None:
        """Take up its output until it ends."""
        left = b''
        while True:
            try:
                chunk = await self._process.stdout.receive(READ_BYTES)  # type: ignore[union-attr]
            except (anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError):
                break
            *whole, left = (left + chunk).split(b'\n')
            self.lines.extend(line.decode(errors='replace') for line in whole)
            self._tell()
        await self._process.wait()
        self.ended = True
        self._tell()

    async def line_with(self, text: str) -> str:
        """Return the first line with ``text`` in it, once it has been written."""
        while True:
            for line in self.lines:
                if text in line:
                    return line
            if self.ended:
                tail = '\n'.join(self.lines[-20:])
                raise Ended(f'{self.name} ended without {text!r}:\n{tail}')
            await self._changed.wait()

    async def has_ended(self) -> int | None:
        """Return its exit status once it has ended."""
        while not self.ended:
            await self._changed.wait()
        return self.exit_status

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the logged events of a name."""
        mark = f'"{name}"'
        found = [line for line in self.lines if line.startswith('{') and mark in line]
        return [msgspec.json.decode(line) for line in found]

    def signal(self, signum: int) -> None:
        """Send a signal to this process alone.

        ``send_signal`` would look first whether the process has ended, and take its exit status
        away from the event loop, which then reports 255.
        """
        if not self.ended and self._process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self._process.pid, signum)

    async def end(self) -> None:
        """Stop it, by force where it does not stop soon."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(END_WITHIN_S):
            await self.has_ended()
            return
        self.signal(signal.SIGKILL)
        await self.has_ended()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class Place(NamedTuple):
    """Where an instance stands: its name and its data centre."""

    instance: str
    data_centre: str


class Launcher:
    """Starts processes and ends all that it started."""

    def __init__(self, group: TaskGroup, variables: Mapping[str, str]) -> None:
        """Give ``variables`` to each daemon, beside its place."""
        self.seeds: list[str] = []
        self.started: list[Running] = []
        self._group = group
        self.variables = dict(variables)

    async def router(self, place: Place, token: str) -> Running:
        """Start a router and wait until it listens."""
        return await self._daemon('router', place, ['--bootstrap-token', token])

    async def sidecar(self, place: Place, server: str, url: str, kind: str = 'engine') -> Running:
        """Start a sidecar and wait until it listens."""
        beside = ['--server', server, '--server-url', url, '--server-kind', kind]
        return await self._daemon('sidecar', place, beside)

    async def start(
        self, name: str, command: list[str], variables: Mapping[str, str] | None = None
    ) -> Running:
        """Start any process."""
        process = await anyio.open_process(
            command, stderr=subprocess.STDOUT, env={**os.environ, **(variables or {})}
        )
        running = Running(name, process)
        self.started.append(running)
        self._group.start_soon(running.read)
        return running

    async def end(self) -> None:
        """End all processes, those that were started last first."""
        async with anyio.create_task_group() as group:
            for running in reversed(self.started):
                group.start_soon(running.end)

    async def _daemon(self, role: str, place: Place, flags: list[str]) -> Running:
        variables = {
            **self.variables,
            'ENDIVESADDLE_DATA_CENTRE': place.data_centre,
            'ENDIVESADDLE_INSTANCE': place.instance,
            'ENDIVESADDLE_SEEDS': ','.join(self.seeds),
            'ENDIVESADDLE_LOG_FORMAT': 'json',
            'ENDIVESADDLE_LOG_LEVEL': 'INFO',
        }
        running = await self.start(place.instance, [DAEMON, role, *flags], variables)
        event = msgspec.json.decode(await running.line_with(STARTED))
        running.http_url = f'http://{event["http_address"]}'
        running.address = event['address']
        return running


@asynccontextmanager
async def open_launcher(variables: Mapping[str, str]) -> AsyncIterator[Launcher]:
    """Yield a launcher; all that it started has ended when this returns."""
    async with anyio.create_task_group() as group:
        launcher = Launcher(group, variables)
        try:
            yield launcher
        finally:
            with anyio.CancelScope(shield=True):
                await launcher.end()
