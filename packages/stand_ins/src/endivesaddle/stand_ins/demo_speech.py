"""What the demo says, line by line, as it happens."""

import sys


def say(*lines: str) -> None:
    """Write lines to standard output, at once."""
    for line in lines:
        sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
