"""What the parts of a stored configuration hold: rows of one table, as JSON arrays.

Accounts and backend servers are split by a hash of their name, so that a change of
one replaces a small part.  Fields of a row are only ever added at its end, with a
default; a reader of an older release drops what it doesn't know.
"""

import hashlib
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

import msgspec
import xxhash

from endivesaddle.fleet import configuration as declared
from endivesaddle.fleet.errors import FleetError

SERVER_PARTS = 16
_DIGEST_DIGITS = 32
_SINCE = '.'
_RULES = 'repeat_rules'
_ROWS = MappingProxyType(
    {
        'accounts': declared.Account,
        'models': declared.Model,
        'services': declared.Service,
        'servers': declared.BackendServer,
        'operators': declared.Operator,
        _RULES: declared.RepeatRule,
    }
)
_TEXTS = ('policy', 'data_centres')
TABLES = (*_ROWS, *_TEXTS)


def _server_part(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % SERVER_PARTS


_SPLITS: Mapping[str, Callable[[str], int]] = MappingProxyType(
    {'accounts': declared.shard_of, 'servers': _server_part}
)


class RevisionError(FleetError):
    """A head or a part can't be read: it is damaged, missing or not ours."""


class Part(NamedTuple):
    """One immutable part; ``digest`` is what a head names it by, see ``versioned_digest``."""

    name: str
    digest: str
    body: bytes


def digest_of(body: bytes) -> str:
    """Return the digest under which a part is kept."""
    return hashlib.sha256(body).hexdigest()[:_DIGEST_DIGITS]


def versioned_digest(digest: str, revision: int) -> str:
    """Return what the head of ``revision`` names a part by that it brings in.

    The same content brought in anew by a later revision has another name.  So a part
    that a head of its revision or a later one doesn't name will never be named
    again, and can be taken out of the store whatever others are doing.
    """
    return f'{digest}{_SINCE}{revision}'


def added_in_revision(name_in_head: str) -> int:
    """Return the revision that brought a part in; 0 where its name doesn't tell."""
    revision = name_in_head.partition(_SINCE)[2]
    return int(revision) if revision.isdecimal() else 0


def plain_digest(name_in_head: str) -> str:
    """Return the digest in a part's name."""
    return name_in_head.partition(_SINCE)[0]


def part_of(name: str, content: Any) -> Part:
    """Return the part that holds a content; equal content gives equal bytes."""
    body = msgspec.json.encode(content)
    return Part(name, digest_of(body), body)


def contents_of(configuration: declared.Configuration) -> dict[str, Any]:
    """Return what each part holds, by its name: a list of rows, or texts by name."""
    contents: dict[str, Any] = {}
    for table in TABLES:
        contents.update(contents_of_table(table, getattr(configuration, table)))
    return {name: contents[name] for name in sorted(contents)}


def contents_of_table(table: str, entries: Any) -> dict[str, Any]:
    """Return what the parts of one table hold, by their names."""
    if table in _TEXTS:
        return {table: dict(sorted(entries.items()))}
    if table == _RULES:
        return {table: list(entries)}
    part_of_name = _SPLITS.get(table)
    if part_of_name is not None:
        return _split(table, entries, part_of_name)
    return {table: [entries[name] for name in sorted(entries)]}


def content_of(name: str, digest: str, bodies: Mapping[str, bytes]) -> Any:
    """Return what a part holds, from the bodies of parts by digest.

    Raises ``RevisionError`` when it is missing or is not what its digest says.
    """
    try:
        body = bodies[digest]
    except KeyError:
        raise RevisionError(f'part {name} ({digest}) of the configuration is missing') from None
    if digest_of(body) != plain_digest(digest):
        raise RevisionError(f'part {name} of the configuration is not what {digest} stands for')
    row_type = _ROWS.get(table_of(name))
    try:
        loaded = msgspec.json.decode(body)
        return loaded if row_type is None else _rows(row_type, loaded)
    except (msgspec.MsgspecError, TypeError) as error:
        raise RevisionError(f'part {name} of the configuration is not readable') from error


def configuration_from(revision: int, contents: Mapping[str, Any]) -> declared.Configuration:
    """Return the configuration of the contents of all parts; unknown tables are left out."""
    by_table: dict[str, list[Any]] = {table: [] for table in TABLES}
    for name, content in contents.items():
        by_table.get(table_of(name), []).append(content)
    tables = {table: table_from(table, by_table[table]) for table in TABLES}
    return declared.Configuration(revision=revision, **tables)


def table_from(table: str, contents: Iterable[Any]) -> Any:
    """Return a table of the configuration from the contents of its parts."""
    if table in _TEXTS:
        return {name: text for content in contents for name, text in content.items()}
    if table == _RULES:
        return tuple(row for rows in contents for row in rows)
    return {row.name: row for rows in contents for row in rows}


def table_of(part_name: str) -> str:
    """Return the table that a part belongs to."""
    return part_name.partition('/')[0]


def _rows(row_type: Any, loaded: list[list[Any]]) -> list[Any]:
    known = len(row_type._fields)
    return [msgspec.convert(row[:known], row_type) for row in loaded]


def _split(
    table: str, entries: dict[str, Any], part_of_name: Callable[[str], int]
) -> dict[str, Any]:
    split: dict[str, list[Any]] = {}
    for name in sorted(entries):
        split.setdefault(f'{table}/{part_of_name(name):02}', []).append(entries[name])
    return split
