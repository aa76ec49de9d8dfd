"""Subject: docs/EVENTS.md and the tool that writes it."""

import pathlib
import runpy

ROOT = pathlib.Path(__file__).parent.parent.parent


class EventsPage:
    """The page as the code would have it, and as it is on file."""

    def __init__(self) -> None:
        """Make the page and read the file."""
        tool = runpy.run_path(str(ROOT / 'tools' / 'events_page.py'))
        self.made: str = tool['page']()
        self.on_file = (ROOT / 'docs' / 'EVENTS.md').read_text()

    def column(self, index: int) -> list[str]:
        """Return one column of the table."""
        rows = [line.split('|') for line in self.made.splitlines() if line.startswith('| ')]
        return [cells[index].strip() for cells in rows[1:]]
