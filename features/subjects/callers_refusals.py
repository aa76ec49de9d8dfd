"""Subject: docs/REFUSALS.md, and the refusal codes in the source code."""

import ast
import pathlib
import re
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parent.parent.parent
KINDS = frozenset(('Invalid', 'Kind', 'Refusal'))


class RefusalsPage:
    """The refusal codes on the page and in the source code."""

    def __init__(self) -> None:
        """Read the page and the source code."""
        text = (ROOT / 'docs' / 'REFUSALS.md').read_text()
        self.listed = set(re.findall(r'^\| `(\w+)`', text, re.MULTILINE))
        paths = (ROOT / 'packages').glob('*/src/**/*.py')
        self.coded = {
            code for path in paths if 'stand_ins' not in path.parts for code in codes_in(path)
        }


def codes_in(path: pathlib.Path) -> Iterator[str]:
    """Yield the codes of the refusals that a module creates."""
    tree = ast.parse(path.read_text())
    constants = {
        target.id: node.value.value
        for node in tree.body
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant)
        for target in node.targets
        if isinstance(target, ast.Name)
    }
    for call in ast.walk(tree):
        if isinstance(call, ast.Call):
            yield from _code(call, constants)


def _code(call: ast.Call, constants: dict[str, object]) -> Iterator[str]:
    """Yield the code passed to a new or changed refusal."""
    named = [keyword.value for keyword in call.keywords if keyword.arg == 'code']
    made = isinstance(call.func, ast.Name) and call.func.id in KINDS
    changed = isinstance(call.func, ast.Attribute) and call.func.attr == '_replace'
    for given in (named or call.args)[:1] if made else named[:changed]:
        if isinstance(given, ast.Constant):
            yield str(given.value)
        elif isinstance(given, ast.Name) and given.id in constants:
            yield str(constants[given.id])
