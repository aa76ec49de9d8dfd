"""Make parts and put them together at the cost of what changed.

At nine thousand accounts, making or joining all parts takes some twenty
milliseconds, in one piece: a router would relay no token for as long.  A change
touches one part of some eighty, so the rest is kept from the revision before, and
a table that did not change stays the same object.
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
    """The digests of all parts by name, and those parts that had to be made."""

    digests: dict[str, str]
    parts: list[revision_parts.Part]


class RevisionCache:
    """Keeps the tables of the last configuration, and the contents of its parts."""

    def __init__(self) -> None:
        """Start with nothing kept."""
        self._contents: dict[str, Any] = {}
        self._tables: dict[str, _Table] = {}

    def assemble(self, head: Head, bodies: Mapping[str, bytes]) -> Configuration:
        """Return the configuration of a head, as ``revisions.assemble`` does."""
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
        """Return the parts of a configuration, those alone with a body that it brings in."""
        prepared = PreparedParts({}, [])
        for table in revision_parts.TABLES:
            entries = getattr(configuration, table)
            known = self._tables.get(table)
            if known is not None and known.entries is entries:
                prepared.digests.update(known.digests)
            else:
                self._make(table, entries, configuration.revision, prepared)
        return prepared

    def _make(self, table: str, entries: Any, revision: int, prepared: PreparedParts) -> None:
        known = self._tables.get(table, _Table({}, None)).digests
        for name, content in revision_parts.contents_of_table(table, entries).items():
            digest = known.get(name, '')
            if digest in self._contents and self._contents[digest] == content:
                prepared.digests[name] = digest
                continue
            part = revision_parts.part_of(name, content)
            prepared.digests[name] = revision_parts.versioned_digest(part.digest, revision)
            prepared.parts.append(part._replace(digest=prepared.digests[name]))

    def _table(self, table: str, digests: Mapping[str, str]) -> _Table:
        known = self._tables.get(table)
        if known is not None and known.digests == digests:
            return known
        contents = [self._contents[digest] for digest in digests.values()]
        return _Table(digests, revision_parts.table_from(table, contents))
