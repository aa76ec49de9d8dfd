"""When answers to requests with a subject last began at this instance."""

MAX_SUBJECTS = 4096


class RecentAnswers:
    """The subjects that were answered last; beyond ``MAX_SUBJECTS`` the oldest are dropped."""

    def __init__(self) -> None:
        """Initialize with none."""
        self._began_unix_s: dict[str, float] = {}

    def add(self, subject: str, began_unix_s: float) -> None:
        """Record an answer that began at a time."""
        latest_unix_s = max(began_unix_s, self._began_unix_s.pop(subject, 0.0))
        self._began_unix_s[subject] = latest_unix_s
        if len(self._began_unix_s) > MAX_SUBJECTS:
            del self._began_unix_s[next(iter(self._began_unix_s))]

    def last_unix_s(self, subject: str) -> float:
        """Return when the latest answer began, 0 if none is known."""
        return self._began_unix_s.get(subject, 0.0)
