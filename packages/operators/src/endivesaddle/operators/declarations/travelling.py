"""How a file of declarations travels to a router, and is read there without a stall.

Reading nine thousand accounts from TOML takes most of a second, in one piece, during
which a router would relay no token.  So the command line reads a long file, and
sends its tables as lines of JSON, packed; the router checks them by the same rules,
one line at a time, and serves its callers between two lines.
"""

import base64
import binascii
import zlib
from collections.abc import Iterator, Mapping
from typing import Any

import anyio
import msgspec

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue, decompress
from endivesaddle.fleet.errors import UserError
from endivesaddle.operators.declarations.reading import DeclarationsReader, parse_toml

_PREFIX = 'zlib:'
MOST_TOML_CHARACTERS = 32 * 1024
MOST_BYTES = 16 * 1024 * 1024
ENTRIES_IN_LINE = 100
_chunk_decoder: JsonDecoder[dict[str, Any]] = JsonDecoder(dict[str, Any])


def packed(document: str, file: str) -> str:
    """Return a file as it travels: as it is, or packed when it is long."""
    if len(document) <= MOST_TOML_CHARACTERS:
        return document
    lines = [msgspec.json.encode(chunk) for chunk in _chunks(parse_toml(document, file))]
    return _PREFIX + base64.b64encode(zlib.compress(b'\n'.join(lines))).decode()


async def read_travelled(document: str, file: str) -> Configuration:
    """Return what a file that travelled declares; raises ``UserError`` with all problems."""
    reader = DeclarationsReader(file)
    if document.startswith(_PREFIX):
        for line in _unpacked(document).split(b'\n'):
            reader.take(_tree(line))
            await anyio.sleep(0)
        return reader.finish()
    if len(document) > MOST_TOML_CHARACTERS:
        raise UserError(f'{file}: too long to be read here; send it by "endivesaddle"')
    reader.take(parse_toml(document, file))
    return reader.finish()


def _chunks(tree: Mapping[str, Any]) -> Iterator[dict[str, Any]]:
    for table, entries in tree.items():
        if not isinstance(entries, dict):
            yield {table: entries}
            continue
        names = list(entries)
        for start in range(0, len(names) or 1, ENTRIES_IN_LINE):
            some = names[start : start + ENTRIES_IN_LINE]
            yield {table: {name: entries[name] for name in some}}


def _unpacked(travelled: str) -> bytes:
    """Return the lines; the bound holds while unpacking, as kilobytes can hold gigabytes."""
    try:
        raw = base64.b64decode(travelled.removeprefix(_PREFIX), validate=True)
        return decompress(raw, MOST_BYTES)
    except (binascii.Error, UnreadableValue) as error:
        raise UserError(f'the declarations came damaged: {error}') from None


def _tree(line: bytes) -> dict[str, Any]:
    try:
        return _chunk_decoder.decode(line)
    except UnreadableValue as error:
        raise UserError(f'the declarations came damaged: {error}') from None
