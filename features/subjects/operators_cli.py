"""Subject: the command line, against a router of a few lines on a loopback socket."""

import contextlib
import io
import json
import pathlib
import runpy
import shlex
import socketserver
import tempfile
import threading
from http.server import BaseHTTPRequestHandler
from types import MappingProxyType
from typing import Any

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.operators import cli
from endivesaddle.operators.access import token_digest
from endivesaddle.operators.command import COMMANDS
from endivesaddle.operators.declarations import read_travelled
from endivesaddle.operators.language import read_items
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Given, read_words
from endivesaddle.stand_ins import virtual

_ROOT = pathlib.Path(__file__).parent.parent.parent
_CONFLICT = Reply(['conflict', 'the other change: d-0'], status=3)
_FORBIDDEN = Reply(['drain changes something; rui may only read'], status=2)
_ANSWERS = MappingProxyType(
    {
        'done': (200, json.dumps(Reply(['done']).body())),
        'conflict': (409, json.dumps(_CONFLICT.body())),
        'forbidden': (403, json.dumps(_FORBIDDEN.body())),
        'stranger': (401, json.dumps({'error': 'no operator has this token'})),
        'open_error': (400, json.dumps({'error': {'message': 'the line is too long'}})),
        'page': (502, 'bad gateway'),
    }
)


class CommandLineSubject:
    """Runs commands; keeps what the router got."""

    def __init__(self, answer: str = '') -> None:
        """Start a router that answers; without an answer, none."""
        self.got: list[dict[str, Any]] = []
        self.status = -1
        self.output = ''
        self.document = ''
        self.answer = answer
        self._server = socketserver.TCPServer(('127.0.0.1', 0), _Handler)
        self._server.subject = self  # type: ignore[attr-defined]
        self.url = f'http://127.0.0.1:{self._server.server_address[1]}'
        if answer:
            threading.Thread(target=self._server.serve_forever, args=(0.01,), daemon=True).start()
        else:
            self._server.server_close()

    def close(self) -> None:
        """Stop the router."""
        if self.answer:
            self._server.shutdown()
            self._server.server_close()

    def run(self, words: str) -> None:
        """Run the command line with words as a shell would take them."""
        output = io.StringIO()
        arguments = ['--router', self.url, '--token', 'ines', *shlex.split(words)]
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            self.status = cli.run(arguments)
        self.output = output.getvalue()

    def apply_accounts(self, count: int) -> None:
        """Apply a file of many accounts."""
        tables = (
            f'[accounts.a-{number}]\nkey_digests = ["{token_digest(str(number))}"]\n'
            'budget_tokens = 1_000_000\n'
            for number in range(count)
        )
        self.document = '\n'.join(tables)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'many.toml'
            path.write_text(self.document)
            self.run(f'apply {path} base:0')

    def read(self, document: str) -> Configuration:
        """Return what a router makes of a document that it got."""
        return virtual.run(lambda: read_travelled(document, 'many.toml'))

    def examples_read(self) -> list[str]:
        """Return the commands whose help lacks its example, or whose example is not understood."""
        return [name for name in COMMANDS if not self._example_read(name)]

    def commands_page(self) -> tuple[str, str]:
        """Return docs/COMMANDS.md as it is, and as it should be."""
        tools = runpy.run_path(str(_ROOT / 'tools' / 'commands_page.py'))
        written = (_ROOT / 'docs' / 'COMMANDS.md').read_text()
        return written, tools['page'](written)

    def _example_read(self, name: str) -> bool:
        entry = COMMANDS.find(name)
        self.run(f'help {name}')
        line = entry.example.replace(' azulejo.toml', '')
        given = Given('ines', 'c-1', 0)
        read_words(line, given, read_items(line)[1:], entry.arguments, entry.fields)
        return entry.example in self.output and line.startswith(name)


class _Handler(BaseHTTPRequestHandler):
    """Keeps the body and gives the subject's answer, or closes without one."""

    def do_POST(self) -> None:
        """Answer."""
        subject = self.server.subject  # type: ignore[attr-defined]
        length = int(self.headers['content-length'])
        subject.got.append({**json.loads(self.rfile.read(length)), 'bytes': length})
        if subject.answer not in _ANSWERS:
            return
        status, text = _ANSWERS[subject.answer]
        self.send_response(status)
        self.send_header('content-length', str(len(text)))
        self.end_headers()
        self.wfile.write(text.encode())

    def log_message(self, *_: Any) -> None:
        """Say nothing."""
