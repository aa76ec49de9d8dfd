"""The command ``endivesaddled``: start a router or a sidecar."""

from endivesaddle.daemon import early_signals  # noqa: F401, I001 (before the other imports)

import dataclasses
import sys

import anyio
import cappa
from rich.console import Console

from endivesaddle.daemon import logs, process
from endivesaddle.daemon.building import build_router, build_sidecar
from endivesaddle.daemon.router import RouterSettings
from endivesaddle.daemon.running import run_process
from endivesaddle.daemon.sidecar import SidecarSettings
from endivesaddle.daemon.signals import SignalReader
from endivesaddle.fleet.errors import EXIT_USAGE, UserError

ONE_LINE_CHARACTERS = 10_000
"""Width of the error console: an error stays one line, also in a narrow log."""

cappa.command(RouterSettings, name='router', help='Run an entry instance for callers.')
cappa.command(SidecarSettings, name='sidecar', help='Run the process beside a backend server.')


@cappa.command(name='check', help='Check the settings of a process without starting it.')
@dataclasses.dataclass
class Check:
    """The settings to check: flags and variables as the process would get them."""

    command: cappa.Subcommands[RouterSettings | SidecarSettings]


@cappa.command(
    name='endivesaddled',
    help=(
        'Run a process of the fleet. Each flag has a variable, named behind it. SIGTERM and '
        'SIGINT (Ctrl-C) stop it gracefully; a second one changes nothing, SIGKILL ends it at once.'
    ),
)
@dataclasses.dataclass
class Daemon:
    """The whole command."""

    command: cappa.Subcommands[RouterSettings | SidecarSettings | Check]


def main() -> None:
    """Parse the settings, run the process, and exit with its status."""
    output = cappa.Output(
        error_console=Console(file=sys.stderr, width=ONE_LINE_CHARACTERS),
        error_format='endivesaddled: {message}',
    )
    try:
        command = cappa.parse(Daemon, output=output).command
        if isinstance(command, Check):
            sys.stdout.write(f'the settings of {command.command.place.instance} are good\n')
            return
        run_process(_run, command)
    except* UserError as errors:
        # It comes out of task groups, wrapped once for each.
        sys.stderr.write(f'endivesaddled: {_innermost(errors)}\n')
        sys.exit(EXIT_USAGE)


async def _run(settings: RouterSettings | SidecarSettings) -> None:
    logs.set_up(settings.logs, settings.place.instance)
    async with anyio.create_task_group() as group:

        def started(ready: process.Started) -> None:
            reader = SignalReader(ready.node.state.dump)
            group.start_soon(reader.run)
            group.start_soon(_stop_on_signal, reader, ready)

        await process.run(settings, _build(settings), started)
        group.cancel_scope.cancel()


async def _stop_on_signal(reader: SignalReader, ready: process.Started) -> None:
    await reader.stopping.wait()
    ready.stop()


def _build(settings: RouterSettings | SidecarSettings) -> process.Build:
    if isinstance(settings, RouterSettings):
        return build_router(settings)
    return build_sidecar(settings)


def _innermost(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
