"""An all-knowing ledger: which refusals were false, and how much was overspent.

It knows at once, whatever the fleet's instances know of each other, what was paid
in and what every request cost.
"""

from typing import NamedTuple

from subjects.trace_replay import Asked, Paid, Played, Try

OVERHEAD_TOKENS = 16
"""Added to a prompt's bound for the prompt and for each message."""


class Refused(NamedTuple):
    """A refused try and what the ledger had left at that moment."""

    asked: Asked
    done: Try
    left_tokens: int
    bound_tokens: int

    @property
    def false(self) -> bool:
        """Tell whether the worst case would have fit."""
        return self.bound_tokens <= self.left_tokens


class Ledger:
    """Looks back at a played trace."""

    def __init__(self, played: Played) -> None:
        """Look at what was paid in, asked and spent."""
        self._played = played

    def refused_tries(self) -> list[Refused]:
        """Return every refused try."""
        return [
            self._refused(asked, done)
            for asked in self._played.asked
            for done in asked.tries
            if done.outcome.startswith('refused')
        ]

    def refused_requests(self) -> list[Refused]:
        """Return every request that was refused in the end."""
        return [
            self._refused(asked, asked.tries[-1])
            for asked in self._played.asked
            if asked.outcome.startswith('refused')
        ]

    def overspent_tokens(self, account: str) -> int:
        """Return by how much the bills of an account were ever above what was paid in.

        A bill counts from the end of its request, a top-up from the moment it was
        asked for: its answer may be lost after it took effect.
        """
        paid = [(one.asked_s, one.tokens) for one in self._paid(account)]
        bills = [
            (asked.tries[-1].ended_s, -self._played.bills.get(asked.request_key, 0))
            for asked in self._asked(account)
        ]
        left_tokens = self._played.firm.accounts[account]
        lowest = left_tokens
        for _, tokens in sorted([*paid, *bills]):
            left_tokens += tokens
            lowest = min(lowest, left_tokens)
        return max(0, -lowest)

    def cost_tokens(self, asked: Asked) -> int:
        """Return what a request costs when it runs."""
        line = asked.line
        if 'method' in line:
            return self._played.firm.cost_tokens
        return line['words'] + min(line['max_tokens'], self._played.firm.answer_tokens)

    def bound_tokens(self, asked: Asked) -> int:
        """Return the worst case of a request: a token for each byte of its prompt."""
        line = asked.line
        if 'method' in line:
            return self._played.firm.cost_tokens
        prompt_bytes = len(line['key']) + 1 + len(' w') * (line['words'] - 1)
        return prompt_bytes + 2 * OVERHEAD_TOKENS + line['max_tokens'] + len('user\n\n')

    def _refused(self, asked: Asked, done: Try) -> Refused:
        account = asked.line['account']
        paid_tokens = sum(
            one.tokens for one in self._paid(account) if one.accepted_s <= done.began_s
        )
        spent_tokens = sum(
            self.cost_tokens(other)
            for other in self._asked(account)
            if self._played.runs[other.request_key] and other.tries[0].began_s <= done.ended_s
        )
        left_tokens = self._played.firm.accounts[account] + paid_tokens - spent_tokens
        return Refused(asked, done, left_tokens, self.bound_tokens(asked))

    def _asked(self, account: str) -> list[Asked]:
        return [one for one in self._played.asked if one.line['account'] == account]

    def _paid(self, account: str) -> list[Paid]:
        return [one for one in self._played.paid if one.account == account]
