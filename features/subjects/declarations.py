"""Subject: files of declarations, read and checked."""

import pathlib
from collections.abc import Iterator

from hypothesis import example, given, settings
from hypothesis import strategies as some

from endivesaddle.fleet import revisions
from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.errors import UserError
from endivesaddle.fleet.revision_cache import RevisionCache
from endivesaddle.fleet.revision_parts import plain_digest
from endivesaddle.operators.access import token_digest
from endivesaddle.operators.declarations import read_declarations
from endivesaddle.operators.declarations.tables import NAMED, RULE_KEYS

SECRET = 'a-key-in-clear'
_ROOT = pathlib.Path(__file__).parent.parent.parent
_EXAMPLES = 300
_MOST_MADE = 4
_WORDS = some.sampled_from(
    [
        *(f'[{table}]' for table in NAMED),
        *(f'[{table}.one]' for table in NAMED),
        *(key for table in NAMED.values() for key in table.keys),
        *RULE_KEYS,
        '[[repeat_rules]]',
        '[policy]',
        'data_centres',
        '[data_centres]',
    ]
)
_VALUES = some.sampled_from(
    [
        '',
        ' = 1',
        ' = -1',
        ' = "x"',
        ' = []',
        ' = [[1]]',
        ' = {}',
        ' = 1.5',
        ' = 1979-05-27',
        ' = nan',
    ]
)
_LINES = some.lists(some.tuples(_WORDS, _VALUES).map(''.join), max_size=8)


class Declarations:
    """One file, and what reading it comes to."""

    def __init__(self, path: str) -> None:
        """Load the file."""
        self._path = path
        self.document = (_ROOT / path).read_text()
        self.configuration = Configuration()
        self.problems = ''

    def check(self) -> None:
        """Read it."""
        try:
            self.configuration = read_declarations(self.document, self._path)
        except UserError as error:
            self.problems = str(error)

    def replace(self, old: str, new: str) -> None:
        """Change a text of the file."""
        assert old in self.document, old
        self.document = self.document.replace(old, new)
        self.check()

    def key_in_clear(self, account: str) -> None:
        """Write a key where its digest belongs."""
        self.replace(token_digest(f'example-key-{account}'), SECRET)

    def parts(self) -> tuple[revisions.Head, dict[str, bytes]]:
        """Return the head of the configuration and the bodies of its parts."""
        parts = revisions.parts_of(self.configuration)
        head = revisions.empty_head()
        head['parts'] = {part.name: part.digest for part in parts}
        stored = revisions.decode_head(revisions.encode_head(head))
        return stored, {part.digest: part.body for part in parts}

    def kept_alike(self) -> list[str]:
        """Change the configuration step by step; return what a cache makes otherwise."""
        cache, bodies, differing = RevisionCache(), {}, []
        for step, configuration in enumerate(_steps(self.configuration)):
            made = cache.parts_of(configuration)
            bodies.update({part.digest: part.body for part in made.parts})
            whole = {part.name: part.digest for part in revisions.parts_of(configuration)}
            made_bare = {name: plain_digest(digest) for name, digest in made.digests.items()}
            head = revisions.empty_head()
            head.update(revision=configuration.revision, parts=made.digests)
            if made_bare != whole or cache.assemble(head, bodies) != configuration:
                differing.append(f'step {step}')
            if step and len(made.parts) > _MOST_MADE:
                differing.append(f'step {step} made {len(made.parts)} parts')
        return differing

    def broken_parts(self) -> list[str]:
        """Leave out each part, then damage each; return those that were not noticed."""
        head, bodies = self.parts()
        unnoticed = []
        for name, digest in head['parts'].items():
            without = {other: bodies[other] for other in bodies if other != digest}
            damaged = {**bodies, digest: b'[]'}
            for given_bodies in (without, damaged):
                try:
                    revisions.assemble(head, given_bodies)
                except revisions.RevisionError:
                    continue
                unnoticed.append(name)
        return unnoticed


def _steps(start: Configuration) -> Iterator[Configuration]:
    yield start
    server, account = next(iter(start.servers)), next(iter(start.accounts))
    drained = start.servers[server]._replace(leaving=True)
    changed = start._replace(revision=1, servers={**start.servers, server: drained})
    yield changed
    fewer = {name: start.accounts[name] for name in start.accounts if name != account}
    changed = changed._replace(revision=2, accounts=fewer)
    yield changed
    changed = changed._replace(revision=3, repeat_rules=start.repeat_rules[1:], policy={})
    yield changed
    yield start._replace(revision=4, operators={}, accounts=fewer)


def survive_any_file() -> None:
    """Read files at random, made of lines that are nearly right."""

    @settings(derandomize=True, max_examples=_EXAMPLES, database=None, deadline=None)
    @example('a = [' * 9000)
    @example('a = {}'.format('9' * 9000))
    @given(some.one_of(some.text(max_size=40), _LINES.map('\n'.join)))
    def check(document: str) -> None:
        try:
            read_declarations(document, 'any.toml')
        except UserError as error:
            assert str(error).startswith('any.toml: ')

    check()
