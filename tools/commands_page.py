"""Write the list of commands in docs/COMMANDS.md from what the commands declare."""

import pathlib

from endivesaddle.operators.command import Command
from endivesaddle.operators.commands import COMMANDS
from endivesaddle.operators.local import LOCAL

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'COMMANDS.md'
BEGIN = '<!-- written by tools/commands_page.py -->\n'
END = '<!-- end -->\n'


def listing() -> str:
    """Return the list as Markdown."""
    entries = [_at_router(COMMANDS.find(name)) for name in COMMANDS]
    local = [_local(name) for name in LOCAL if name not in list(COMMANDS)]
    return '\n'.join([*entries, *local])


def _at_router(entry: Command) -> str:
    role = 'operator' if entry.changes else 'support, operator'
    lines = [f'### {entry.name}', '', entry.summary, '', f'    {entry.usage}', '']
    lines.extend(f'- `{one.usage}`: {one.meaning}' for one in entry.arguments)
    if entry.fields is not None:
        fields = ', '.join(f'`{name}:`' for name in sorted(entry.fields))
        lines.append(f'- terms: {fields}')
    lines.extend([f'- role: {role}', f'- example: `endivesaddle {entry.example}`', ''])
    return '\n'.join(lines)


def _local(name: str) -> str:
    entry = LOCAL.find(name)
    lines = [f'### {name}', '', entry.summary, '', '- runs without a router']
    return '\n'.join([*lines, f'- example: `endivesaddle {entry.example}`', ''])


def page(before: str) -> str:
    """Return the page with its list written anew."""
    head, _, rest = before.partition(BEGIN)
    return f'{head}{BEGIN}\n{listing()}\n{END}{rest.partition(END)[2]}'


if __name__ == '__main__':
    PAGE.write_text(page(PAGE.read_text()))
