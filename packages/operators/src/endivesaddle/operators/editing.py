"""Commands that change one item of the configuration."""

from endivesaddle.operators.access import token_digest
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.outcomes import ANY_REVISION, Asked, Edit, Outcome
from endivesaddle.operators.words import Words


def asked(words: Words, base_revision: int = ANY_REVISION) -> Asked:
    """Return the change that a command asks for."""
    content = f'{words.line}\n{words.given.document}'
    return Asked(
        change_id=words.given.change_id,
        who=words.given.operator,
        summary=words.line,
        content_digest=token_digest(content),
        base_revision=base_revision,
    )


async def edited(desk: Desk, words: Words, edit: Edit) -> Outcome:
    """Change the configuration as a command asks."""
    return await desk.changes.change(asked(words), edit, desk.deadline_unix_s())
