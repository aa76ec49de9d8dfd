"""Turn a configuration into stored parts under one head, and back.

The store knows no transaction over several keys and no value above a megabyte,
so a revision is one small head that names immutable parts by their digest.  Parts
are written before the head; a reader that has the head can therefore
have all of its parts.  A change of one account replaces one part of 64.
"""

from collections.abc import Iterable, Mapping
from typing import TypedDict

import msgspec

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.revision_parts import (
    Part,
    RevisionError,
    configuration_from,
    content_of,
    contents_of,
    digest_of,
    part_of,
)

__all__ = (
    'Change', 'Head', 'Part', 'RevisionError', 'assemble', 'can_overwrite', 'decode_head',
    'digest_of', 'empty_head', 'encode_head', 'encode_parts', 'missing', 'parts_of',
)  # fmt: skip

HEAD_KEY = 'configuration/head'
PARTS_PREFIX = 'configuration/parts/'
FORMAT = 1
"""Format of head and parts; raised with each field that is added to a row."""


class Change(TypedDict):
    """One accepted change; ``before`` and ``after`` are lines, bounded in number.

    ``touched`` names what it changed, such as ``account/atelier``; ``*`` alone
    stands for more than fit.  ``content_digest`` tells a change that is sent
    again from another one under the same id.
    """

    change_id: str
    who: str
    when_unix_s: float
    summary: str
    base_revision: int
    revision: int
    touched: list[str]
    before: list[str]
    after: list[str]
    content_digest: str


class Head(TypedDict):
    """What the store holds under ``HEAD_KEY``.

    ``parts`` maps names to ``digest.revision``, the revision being the one that
    brought the part in; its key is ``PARTS_PREFIX`` + that.
    """

    format: int
    revision: int
    parts: dict[str, str]
    changes: list[Change]


_head_decoder = msgspec.json.Decoder(Head)


def empty_head() -> Head:
    """Return the head of revision 0, from before the first change."""
    return {'format': FORMAT, 'revision': 0, 'parts': {}, 'changes': []}


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return msgspec.json.encode(head)


def decode_head(body: bytes) -> Head:
    """Return a head from its stored form; raises ``RevisionError``."""
    try:
        return _head_decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise RevisionError(f'the head of the configuration is not readable: {error}') from error


def can_overwrite(head: Head) -> bool:
    """Tell whether this process may write over a head.

    A process of an older release would drop fields that it doesn't know.
    """
    return head['format'] <= FORMAT


def missing(head: Head, have: Iterable[str]) -> dict[str, str]:
    """Return name and digest of the parts of a head that are not yet there."""
    known = set(have)
    return {name: digest for name, digest in head['parts'].items() if digest not in known}


def encode_parts(configuration: Configuration) -> dict[str, bytes]:
    """Return the bodies of all parts by name; equal content gives equal bytes."""
    return {part.name: part.body for part in parts_of(configuration)}


def parts_of(configuration: Configuration) -> list[Part]:
    """Return all parts of a configuration with their digests."""
    contents = contents_of(configuration)
    return [part_of(name, contents[name]) for name in contents]


def assemble(head: Head, bodies: Mapping[str, bytes]) -> Configuration:
    """Return the configuration of a head from the bodies of its parts by digest.

    Raises ``RevisionError`` when a part is missing or is not what its digest says:
    a configuration comes into force whole or not at all.
    """
    contents = {name: content_of(name, digest, bodies) for name, digest in head['parts'].items()}
    return configuration_from(head['revision'], contents)
