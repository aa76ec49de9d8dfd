"""Constants of the messages about requests: states, verdicts, outcomes and steps."""

from typing import Final

# States of a record.
CLAIMED: Final = 'claimed'
DISPATCHED: Final = 'dispatched'
ENDED: Final = 'ended'
REFUSED: Final = 'refused'
UNKNOWN: Final = 'unknown'

# Verdicts on a claim or a start; REFUSED and UNKNOWN are used as well.
GRANTED: Final = 'granted'
KNOWN: Final = 'known'
NOT_HOLDER: Final = 'not_holder'
WAITING: Final = 'waiting'
STARTED: Final = 'started'

# Verdicts on a query to another data centre; KNOWN and NOT_HOLDER are used as well.
MARKED: Final = 'marked'
YIELD: Final = 'yield'
UNSURE: Final = 'unsure'

# Outcomes of a request; REFUSED and UNKNOWN are used as well.
ANSWERED: Final = 'answered'
CANCELLED: Final = 'cancelled'
FAILED: Final = 'failed'

# Steps that the code acts on; other steps are only for support engineers.
NEVER_SENT: Final = 'never_sent'
REFUSED_START: Final = 'refused_start'
LOST: Final = 'lost'
LEFT: Final = 'left'
TOLD: Final = 'told'
BILLED_ELSEWHERE: Final = 'billed_elsewhere'

# Reasons for a rejected note or settlement that a router acts on.
NO_COPY: Final = 'no_copy'
OTHERS_ATTACHED: Final = 'others_attached'
NO_RECORD: Final = 'no_record'
OUTRUN: Final = 'outrun'
OLD_EPOCH: Final = 'old_epoch'
