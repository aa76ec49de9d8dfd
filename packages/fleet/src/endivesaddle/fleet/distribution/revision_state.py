"""The revision in force in one process, and its parts."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from endivesaddle.fleet import revisions
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.distribution import events
from endivesaddle.wire import members_pb2


class CurrentRevision(NamedTuple):
    """One revision: its raw and decoded head, and the bodies of its parts by digest."""

    raw: bytes
    head: revisions.Head
    bodies: Mapping[str, bytes]


class RevisionState:
    """The current revision; it is only replaced by a complete, higher one."""

    def __init__(self, clock: Clock) -> None:
        """Initialize at revision 0."""
        self._clock = clock
        self.current = CurrentRevision(b'', revisions.empty_head(), {})
        self.previous_digests: frozenset[str] = frozenset()
        """Digests of the previous revision: a push has only the parts not among them."""
        self.configuration = Configuration()
        self.in_force_unix_s = 0.0
        self.listeners: list[Callable[[Configuration], None]] = []
        self._logged_format = 0
        self._logged_older: set[tuple[int, str]] = set()

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.current.head['revision']

    def decode_next(self, raw: bytes, source: str) -> revisions.Head | None:
        """Return the decoded head if it may come into force; otherwise log why and return None."""
        try:
            head = revisions.decode_head(raw)
        except revisions.RevisionError as error:
            events.UNREADABLE.log(error=str(error), source=source)
            return None
        if head['format'] > revisions.FORMAT:
            self._log_newer_format(head, source)
            return None
        return head if self._is_next(head, raw, source) else None

    def missing_parts(self, head: revisions.Head) -> dict[str, str]:
        """Return name and digest of the parts of a head that this process lacks."""
        return revisions.missing(head, self.current.bodies)

    def adopt(self, raw: bytes, head: revisions.Head, new: Mapping[str, bytes]) -> bool:
        """Bring a revision into force if it is complete and still higher; return whether it was."""
        if head['revision'] <= self.revision:
            return False
        known = {**self.current.bodies, **new}
        try:
            configuration = revisions.assemble(head, known)
        except revisions.RevisionError as error:
            events.UNREADABLE.log(error=str(error), revision=head['revision'])
            return False
        self.previous_digests = frozenset(self.current.bodies)
        digests = set(head['parts'].values())
        bodies = {digest: body for digest, body in known.items() if digest in digests}
        self.current = CurrentRevision(raw, head, bodies)
        self.configuration = configuration
        self.in_force_unix_s = self._clock.now_s()
        events.IN_FORCE.log(revision=head['revision'])
        for listener in self.listeners:
            listener(configuration)
        return True

    def parts(self, have: Iterable[str]) -> list[members_pb2.Part]:
        """Return the parts that a peer with the digests ``have`` lacks."""
        wanted = revisions.missing(self.current.head, have)
        return [
            members_pb2.Part(name=name, digest=digest, body=self.current.bodies[digest])
            for name, digest in wanted.items()
        ]

    def _is_next(self, head: revisions.Head, raw: bytes, source: str) -> bool:
        revision = head['revision']
        if revision > self.revision:
            return True
        # A store restored from a backup has an older head: applying it would bring back
        # budgets and servers that operators have changed since.
        older = revision < self.revision
        if (older or raw != self.current.raw) and (revision, source) not in self._logged_older:
            self._logged_older.add((revision, source))
            event = events.OLDER_IN_STORE if older else events.FORKED
            event.log(seen=revision, in_force=self.revision, source=source)
        return False

    def _log_newer_format(self, head: revisions.Head, source: str) -> None:
        if head['revision'] > self._logged_format:
            self._logged_format = head['revision']
            events.NEWER_FORMAT.log(
                revision=head['revision'],
                format=head['format'],
                reads=revisions.FORMAT,
                source=source,
            )
