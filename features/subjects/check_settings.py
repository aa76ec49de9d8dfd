"""Subject: the command that checks settings, as a process of its own."""

import socket
import subprocess
from typing import NamedTuple

from subjects.processes_launch import DAEMON

GUARD_S = 60
"""The command takes a second; on a machine with other work, more."""


GOOD = 'router --instance r --data-centre a --store-urls etcd+http://127.0.0.1:1'


class Checked(NamedTuple):
    """How the command ended."""

    status: int
    text: str


def check(flags: str) -> Checked:
    """Run the command with flags alone: no variables of this process reach it."""
    done = subprocess.run(
        [DAEMON, 'check', *flags.split()],
        capture_output=True,
        text=True,
        check=False,
        env={},
        timeout=GUARD_S,
    )
    return Checked(done.returncode, done.stdout + done.stderr)


def check_taken() -> Checked:
    """Check settings with an address that this process listens on."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
        return check(f'{GOOD} --listen 127.0.0.1:{port}')
