"""keys: make a caller key or an operator token; only its digest goes into declarations."""

import secrets

from endivesaddle.fleet.errors import UserError
from endivesaddle.operators.access import token_digest
from endivesaddle.operators.local_command import Invocation, local_command
from endivesaddle.operators.reply import Reply

_BYTES = 32
_KINDS = ('caller', 'operator')


@local_command(
    'keys', 'Make a caller key or an operator token; it is shown this once.', 'keys caller'
)
def keys(invocation: Invocation) -> Reply:
    """Make a secret here: it travels to no router and is kept nowhere."""
    kind = invocation.words[1] if len(invocation.words) > 1 else _KINDS[0]
    if kind not in _KINDS or len(invocation.words) > 2:
        raise UserError(f'keys makes one of: {", ".join(_KINDS)}')
    secret = f'es-{kind}-{secrets.token_urlsafe(_BYTES)}'
    digest = token_digest(secret)
    line = f'token_digest = "{digest}"' if kind == 'operator' else f'key_digests = ["{digest}"]'
    messages = [f'{kind} key, shown this once: {secret}', f'in declarations: {line}']
    return Reply(messages, details={'secret': secret, 'digest': digest})
