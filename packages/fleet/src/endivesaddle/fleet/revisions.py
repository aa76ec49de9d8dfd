"""Convert a configuration to stored parts under one head, and back.

The store has no transactions over several keys and no values above 1 MB, so a revision is
one small head that refers to immutable parts by digest.  The parts are written before the
head, so all parts of a head that a reader sees are available.  A change of one account
replaces one of 64 parts.
"""

from collections.abc import Iterable, Mapping
from typing import TypedDict

import msgspec

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
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
"""Format of head and parts; incremented whenever a field is added to a row."""


class Change(TypedDict):
    """One accepted change; ``before`` and ``after`` are a limited number of lines.

    ``touched`` names the changed entries, such as ``account/atelier``; a single ``*`` means
    that there were too many to list.  ``content_digest`` distinguishes a repeated change
    from a different one with the same id.
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
    """The value stored at ``HEAD_KEY``.

    ``parts`` maps names to ``digest.revision``, where the revision is the one that added
    the part.  The store key of a part is ``PARTS_PREFIX`` followed by this value.
    """

    format: int
    revision: int
    parts: dict[str, str]
    changes: list[Change]


_head_decoder: JsonDecoder[Head] = JsonDecoder(Head)


def empty_head() -> Head:
    """Return the head of revision 0, which precedes the first change."""
    return {'format': FORMAT, 'revision': 0, 'parts': {}, 'changes': []}


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return msgspec.json.encode(head)


def decode_head(body: bytes) -> Head:
    """Return a head from its stored form; raises ``RevisionError`` if it is invalid."""
    try:
        return _head_decoder.decode(body)
    except UnreadableValue as error:
        raise RevisionError(f'the head of the configuration can not be decoded: {error}') from error


def can_overwrite(head: Head) -> bool:
    """Return whether this process may overwrite a head.

    An older release would drop the fields that it doesn't know.
    """
    return head['format'] <= FORMAT


def missing(head: Head, have: Iterable[str]) -> dict[str, str]:
    """Return name and digest of the parts of a head whose digests aren't in ``have``."""
    present = set(have)
    return {name: digest for name, digest in head['parts'].items() if digest not in present}


def encode_parts(configuration: Configuration) -> dict[str, bytes]:
    """Return the bodies of all parts by name; equal contents give equal bytes."""
    return {part.name: part.body for part in parts_of(configuration)}


def parts_of(configuration: Configuration) -> list[Part]:
    """Return all parts of a configuration with their digests."""
    contents = contents_of(configuration)
    return [part_of(name, contents[name]) for name in contents]


def assemble(head: Head, bodies: Mapping[str, bytes]) -> Configuration:
    """Return the configuration of a head from the bodies of its parts by digest.

    Raises ``RevisionError`` if a part is missing or doesn't match its digest: a
    configuration comes into force completely or not at all.
    """
    contents = {name: content_of(name, digest, bodies) for name, digest in head['parts'].items()}
    return configuration_from(head['revision'], contents)
