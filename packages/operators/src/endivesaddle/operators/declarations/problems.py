"""What is wrong with a file: file, table, key and what is allowed, all at once."""

from endivesaddle.fleet.errors import UserError

_MOST_TOLD = 20


class Problems:
    """Problems of one file, in the order in which they are met."""

    def __init__(self, file: str) -> None:
        """Start without any."""
        self._file = file
        self._lines: list[str] = []

    def add(self, table: str, key: str, message: str) -> None:
        """Note a problem of a key of a table."""
        place = f'[{table}] {key}' if key else f'[{table}]'
        self._lines.append(f'{self._file}: {place}: {message}')

    def raise_any(self) -> None:
        """Raise ``UserError`` with the problems, if there are any."""
        if not self._lines:
            return
        told = self._lines[:_MOST_TOLD]
        if len(self._lines) > _MOST_TOLD:
            told.append(f'{len(self._lines)} problems in all')
        raise UserError('\n'.join(told))
