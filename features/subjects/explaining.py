"""Subject: the command that explains a request from log files."""

import contextlib
import io
import pathlib
import tempfile
from typing import Any

import msgspec
from loguru import logger

from endivesaddle.operators import cli


class Explaining:
    """A log file that events go to, and the command over it."""

    def __init__(self) -> None:
        """Start with an empty file."""
        self._folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self._folder.name) / 'router.log'
        self.path.write_text('')
        self._sink = logger.add(self._write, level='INFO', format='{message}')
        self._seconds = 0

    def close(self) -> None:
        """Remove the file."""
        logger.remove(self._sink)
        self._folder.cleanup()

    def explain(self, *words: str) -> tuple[int, str]:
        """Run the command; return its exit status and what it printed."""
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
            status = cli.run(['explain', *words])
        return status, printed.getvalue()

    def _write(self, message: Any) -> None:
        extra = message.record['extra']
        self._seconds += 1
        line = {
            'at_unix_s': self._seconds,
            'instance': 'router-1',
            'event': extra.get('event', 0),
            'name': extra.get('name', ''),
            **extra.get('fields', {}),
        }
        with self.path.open('ab') as log:
            log.write(msgspec.json.encode(line, enc_hook=str))
            log.write(b'\n')
