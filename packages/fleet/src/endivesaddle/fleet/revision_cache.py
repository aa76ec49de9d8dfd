"""Encode and assemble the parts of a configuration incrementally.

With 9,000 accounts, encoding or assembling all parts takes about 20 ms without
interruption, during which a router relays no tokens.  A change affects one of about 80
parts, so the others are reused from the previous revision, and an unchanged table
remains the same object.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from endivesaddle.fleet import revision_parts
from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.revisions import Head


class _Table(NamedTuple):
    digests: Mapping[str, str]
    entries: Any


class PreparedParts(NamedTuple):
    """The digests of all parts by name, and the parts that had to be encoded."""

    digests: dict[str, str]
    parts: list[revision_parts.Part]


class RevisionCache:
    """Caches the tables of the latest configuration and the contents of its parts."""

    def __init__(self) -> None:
        """Initialize with an empty cache."""
        self._contents: dict[str, Any] = {}
        self._tables: dict[str, _Table] = {}

    def assemble(self, head: Head, bodies: Mapping[str, bytes]) -> Configuration:
        """Return the configuration of a head, like ``revisions.assemble``."""
        contents: dict[str, Any] = {}
        digests: dict[str, dict[str, str]] = {table: {} for table in revision_parts.TABLES}
        for name, digest in head['parts'].items():
            if digest not in self._contents:
                self._contents[digest] = revision_parts.content_of(name, digest, bodies)
            contents[digest] = self._contents[digest]
            digests.setdefault(revision_parts.table_of(name), {})[name] = digest
        self._contents = contents
        self._tables = {
            table: self._table(table, digests[table]) for table in revision_parts.TABLES
        }
        entries = {table: self._tables[table].entries for table in self._tables}
        return Configuration(revision=head['revision'], **entries)

    def parts_of(self, configuration: Configuration) -> PreparedParts:
        """Return the parts of a configuration; only new and changed ones have a body."""
        prepared = PreparedParts({}, [])
        for table in revision_parts.TABLES:
            entries = getattr(configuration, table)
            cached = self._tables.get(table)
            if cached is not None and cached.entries is entries:
                prepared.digests.update(cached.digests)
            else:
                self._prepare_table(table, entries, configuration.revision, prepared)
        return prepared

    def _prepare_table(
        self, table: str, entries: Any, revision: int, prepared: PreparedParts
    ) -> None:
        cached_digests = self._tables.get(table, _Table({}, None)).digests
        for name, content in revision_parts.contents_of_table(table, entries).items():
            digest = cached_digests.get(name, '')
            if digest in self._contents and self._contents[digest] == content:
                prepared.digests[name] = digest
                continue
            part = revision_parts.part_of(name, content)
            prepared.digests[name] = revision_parts.versioned_digest(part.digest, revision)
            prepared.parts.append(part._replace(digest=prepared.digests[name]))

    def _table(self, table: str, digests: Mapping[str, str]) -> _Table:
        cached = self._tables.get(table)
        if cached is not None and cached.digests == digests:
            return cached
        contents = [self._contents[digest] for digest in digests.values()]
        return _Table(digests, revision_parts.table_from(table, contents))
