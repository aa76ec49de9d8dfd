"""Turn what became of a change into a reply; never a yes that is not known."""

from operator import attrgetter

from endivesaddle.fleet.errors import EXIT_CONFLICT, EXIT_FAILED, EXIT_UNKNOWN
from endivesaddle.operators import audit
from endivesaddle.operators.changes import told
from endivesaddle.operators.outcomes import Accepted, ChangeConflict, NotAccepted, Outcome
from endivesaddle.operators.reply import Reply


def reply_to(outcome: Outcome, change_id: str) -> Reply:
    """Return the reply to a change of the configuration."""
    match outcome:
        case Accepted():
            return _accepted(outcome, change_id)
        case ChangeConflict(reason, other):
            messages = [f'conflict, nothing changed: {reason}']
            if other is not None:
                messages.append(f'the other change: {told(other)}')
            details = {} if other is None else {'other': dict(other)}
            return Reply(messages=messages, status=EXIT_CONFLICT, details=details)
        case NotAccepted(reason):
            return not_accepted(reason)
    return unknown(outcome.reason, change_id)


def not_accepted(reason: str) -> Reply:
    """Return the reply to a change that took no effect, nor will."""
    return Reply(messages=[f'not accepted, nothing changed: {reason}'], status=EXIT_FAILED)


def unknown(reason: str, change_id: str) -> Reply:
    """Return the reply to a change whose fate can't be told yet."""
    message = f'unknown, ask again with --change-id {change_id}: {reason}'
    return Reply(messages=[message], status=EXIT_UNKNOWN)


def _accepted(accepted: Accepted, change_id: str) -> Reply:
    again = ' before, by this same change' if accepted.repeated else ''
    heading = f'accepted{again}: revision {accepted.revision} (change {change_id})'
    lines = audit.lines(accepted.found, attrgetter('line'))
    details = {'revision': accepted.revision, 'repeated': accepted.repeated}
    return Reply(messages=[heading, *lines], details=details)
