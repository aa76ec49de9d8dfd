"""The parts of a stored configuration: rows of one table each, as JSON arrays.

Accounts and backend servers are split by a hash of their name, so that changing one
replaces only a small part.  New fields are only added at the end of a row, with a default
value; an older release ignores the fields that it doesn't know.
"""

import hashlib
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

import msgspec
import xxhash

from endivesaddle.fleet import configuration as declared
from endivesaddle.fleet.decoding import UnreadableValue, convert, decode_json
from endivesaddle.fleet.errors import FleetError

SERVER_PARTS = 16
_DIGEST_LENGTH = 32
_REVISION_SEPARATOR = '.'
_RULES_TABLE = 'repeat_rules'
_ROW_TYPES = MappingProxyType(
    {
        'accounts': declared.Account,
        'models': declared.Model,
        'services': declared.Service,
        'servers': declared.BackendServer,
        'operators': declared.Operator,
        _RULES_TABLE: declared.RepeatRule,
    }
)
_TEXT_TABLES = ('policy', 'data_centres')
TABLES = (*_ROW_TYPES, *_TEXT_TABLES)


def _server_part(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % SERVER_PARTS


_PART_NUMBERS: Mapping[str, Callable[[str], int]] = MappingProxyType(
    {'accounts': declared.shard_of, 'servers': _server_part}
)


class RevisionError(FleetError):
    """A head or a part can't be decoded: it is corrupt, missing or in another format."""


class Part(NamedTuple):
    """One immutable part; for the ``digest`` used in heads see ``versioned_digest``."""

    name: str
    digest: str
    body: bytes


def digest_of(body: bytes) -> str:
    """Return the digest of a part's body."""
    return hashlib.sha256(body).hexdigest()[:_DIGEST_LENGTH]


def versioned_digest(digest: str, revision: int) -> str:
    """Return the name of a part in the heads, for a part that ``revision`` has added.

    If a later revision adds the same content again, it gets another name.  Once a head of
    its own or a later revision doesn't name a part, no later head will name it, so it can
    be deleted from the store regardless of concurrent changes.
    """
    return f'{digest}{_REVISION_SEPARATOR}{revision}'


def added_in_revision(part_key: str) -> int:
    """Return the revision that added a part, or 0 if its name doesn't contain one."""
    revision = part_key.partition(_REVISION_SEPARATOR)[2]
    return int(revision) if revision.isdecimal() else 0


def plain_digest(part_key: str) -> str:
    """Return the digest without the revision."""
    return part_key.partition(_REVISION_SEPARATOR)[0]


def part_of(name: str, content: Any) -> Part:
    """Return the part for a content; equal contents give equal bytes."""
    body = msgspec.json.encode(content)
    return Part(name, digest_of(body), body)


def contents_of(configuration: declared.Configuration) -> dict[str, Any]:
    """Return the contents of all parts by name: lists of rows, or dictionaries of texts."""
    contents: dict[str, Any] = {}
    for table in TABLES:
        contents.update(contents_of_table(table, getattr(configuration, table)))
    return {name: contents[name] for name in sorted(contents)}


def contents_of_table(table: str, entries: Any) -> dict[str, Any]:
    """Return the contents of the parts of one table by part name."""
    if table in _TEXT_TABLES:
        return {table: dict(sorted(entries.items()))}
    if table == _RULES_TABLE:
        return {table: list(entries)}
    part_of_name = _PART_NUMBERS.get(table)
    if part_of_name is not None:
        return _split(table, entries, part_of_name)
    return {table: [entries[name] for name in sorted(entries)]}


def content_of(name: str, digest: str, bodies: Mapping[str, bytes]) -> Any:
    """Return the content of a part, given the bodies of parts by digest.

    Raises ``RevisionError`` if the part is missing or doesn't match its digest.
    """
    try:
        body = bodies[digest]
    except KeyError:
        raise RevisionError(f'part {name} ({digest}) of the configuration is missing') from None
    if digest_of(body) != plain_digest(digest):
        raise RevisionError(
            f'part {name} of the configuration: {digest} is not the digest of its body'
        )
    row_type = _ROW_TYPES.get(table_of(name))
    try:
        decoded = decode_json(body)
        return decoded if row_type is None else _decode_rows(row_type, decoded)
    except (UnreadableValue, TypeError) as error:
        raise RevisionError(f'part {name} of the configuration can not be decoded') from error


def configuration_from(revision: int, contents: Mapping[str, Any]) -> declared.Configuration:
    """Return the configuration from the contents of all parts; unknown tables are ignored."""
    by_table: dict[str, list[Any]] = {table: [] for table in TABLES}
    for name, content in contents.items():
        by_table.get(table_of(name), []).append(content)
    tables = {table: table_from(table, by_table[table]) for table in TABLES}
    return declared.Configuration(revision=revision, **tables)


def table_from(table: str, contents: Iterable[Any]) -> Any:
    """Return one table of the configuration from the contents of its parts."""
    if table in _TEXT_TABLES:
        return {name: text for content in contents for name, text in content.items()}
    if table == _RULES_TABLE:
        return tuple(row for rows in contents for row in rows)
    return {row.name: row for rows in contents for row in rows}


def table_of(part_name: str) -> str:
    """Return the table that a part belongs to."""
    return part_name.partition('/')[0]


def _decode_rows(row_type: Any, decoded: list[list[Any]]) -> list[Any]:
    field_count = len(row_type._fields)
    return [convert(row[:field_count], row_type, strict=True) for row in decoded]


def _split(
    table: str, entries: dict[str, Any], part_of_name: Callable[[str], int]
) -> dict[str, Any]:
    parts: dict[str, list[Any]] = {}
    for name in sorted(entries):
        parts.setdefault(f'{table}/{part_of_name(name):02}', []).append(entries[name])
    return parts
