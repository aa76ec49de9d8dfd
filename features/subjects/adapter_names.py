"""Subject: the names of the users' platform in the adapter's source, and whether tests use them."""

import ast
import pathlib
import re
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parent.parent.parent
READ_METHODS = frozenset(('get', 'pop'))
TEST_FILES = ('features/subjects/*.py', 'features/steps/*.py', 'features/*.feature')
OWN_NAMES = frozenset(('ENDIVESADDLE_NODE_FILE',))
"""Environment variables, which are not names in the platform's documents."""


def known() -> dict[str, str]:
    """Return the names that the adapter reads or writes, each with its module."""
    found: dict[str, str] = {}
    for path in sorted((ROOT / 'platform').glob('*.py')):
        names = set(_names(ast.parse(path.read_text()))) - OWN_NAMES
        found.update(dict.fromkeys(names, path.name))
    return found


def untested() -> dict[str, str]:
    """Return the names that occur in no test, each with its module."""
    texts = [path.read_text() for pattern in TEST_FILES for path in ROOT.glob(pattern)]
    words_in_tests = set(re.findall(r'[\w-]+', '\n'.join(texts)))
    found = known()
    return {name: found[name] for name in set(found) - words_in_tests}


def _names(tree: ast.Module) -> Iterator[str]:
    for node in ast.walk(tree):
        yield from _named(node)


def _named(node: ast.AST) -> Iterator[str]:
    match node:
        case ast.Subscript():
            yield from _texts([node.slice])
        case ast.Call():
            yield from _called(node)
        case ast.Dict():
            yield from _texts([key for key in node.keys if key is not None])
        case ast.ClassDef() if _is_entry(node):
            fields = [one.target for one in node.body if isinstance(one, ast.AnnAssign)]
            yield from (field.id for field in fields if isinstance(field, ast.Name))


def _called(call: ast.Call) -> Iterator[str]:
    """Yield the names that a call reads, and the values of the table of header names."""
    if isinstance(call.func, ast.Attribute) and call.func.attr in READ_METHODS:
        yield from _texts(call.args[:1])
    elif isinstance(call.func, ast.Name) and call.func.id == 'HeaderNames':
        yield from _texts([keyword.value for keyword in call.keywords])


def _is_entry(node: ast.ClassDef) -> bool:
    return any(isinstance(base, ast.Attribute) and base.attr == 'Struct' for base in node.bases)


def _texts(nodes: list[ast.expr]) -> Iterator[str]:
    for node in nodes:
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value
