"""repeat: the rules that say which requests may be repeated."""

import functools

from endivesaddle.fleet.configuration import Configuration, RepeatRule
from endivesaddle.operators import arguments
from endivesaddle.operators.command import command
from endivesaddle.operators.declarations.tables import REPEAT_CHOICES, repeat_rule
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.editing import edited
from endivesaddle.operators.names import known
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.results import reply_to
from endivesaddle.operators.words import Words

DEFAULT = 'default'
_VERDICTS = (*REPEAT_CHOICES, DEFAULT)
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')


@command(
    'repeat',
    'Say which requests may be repeated: may, never, caller (who may allow it) or default.',
    'repeat service:records method:POST never',
    arguments=(
        arguments.word(
            'verdict',
            'may, never, caller or default (no rule)',
            arguments.one_of(*_VERDICTS),
            choices=_VERDICTS,
        ),
        arguments.field('service', 'a plain service', arguments.named, default=''),
        arguments.field('method', 'an HTTP method', arguments.one_of(*_METHODS), default=''),
        arguments.field('path', 'how the path begins', arguments.anything, default=''),
        arguments.field('model', 'a model', arguments.named, default=''),
    ),
    changes=True,
)
async def run(desk: Desk, words: Words) -> Reply:
    """Put a rule in the place of the one with the same terms, else before all others."""
    if words['service']:
        known(desk, words, 'service', 'services', 'service')
    if words['model']:
        known(desk, words, 'model', 'models', 'model')
    outcome = await edited(desk, words, functools.partial(_ruled, words))
    return reply_to(outcome, words.given.change_id)


def _ruled(words: Words, configuration: Configuration) -> Configuration:
    wanted = (words['service'], words['method'], words['path'], words['model'])
    rules = list(configuration.repeat_rules)
    places = [place for place, rule in enumerate(rules) if _terms(rule) == wanted]
    if words['verdict'] == DEFAULT:
        rules = [rule for rule in rules if _terms(rule) != wanted]
    elif places:
        rules[places[0]] = _rule(words)
    else:
        # The first rule that matches wins: a new one must not be hidden by a wider one.
        rules.insert(0, _rule(words))
    return configuration._replace(repeat_rules=tuple(rules))


def _rule(words: Words) -> RepeatRule:
    return repeat_rule(
        words['verdict'],
        service=words['service'],
        method=words['method'],
        path_prefix=words['path'],
        model=words['model'],
    )


def _terms(rule: RepeatRule) -> tuple[str, str, str, str]:
    return (rule.service, rule.method, rule.path_prefix, rule.model)
