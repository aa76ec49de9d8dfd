"""completion and complete: let a shell complete commands and their fields."""

from collections.abc import Sequence

from endivesaddle.fleet.errors import UserError
from endivesaddle.operators.commands import COMMANDS
from endivesaddle.operators.local_command import LOCAL, Invocation, local_command
from endivesaddle.operators.reply import Reply

_BASH = """_endivesaddle() {
    local words
    words="$(endivesaddle complete "${COMP_WORDS[@]:1:COMP_CWORD-1}" "${COMP_WORDS[COMP_CWORD]}")"
    COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -o nospace -F _endivesaddle endivesaddle"""
_ZSH = """_endivesaddle() {
    compadd -S '' -- $(endivesaddle complete "${words[@]:1:$((CURRENT-1))}")
    _files
}
compdef _endivesaddle endivesaddle"""
_FISH = """function __endivesaddle
    set -l words (commandline -opc) (commandline -ct)
    endivesaddle complete $words[2..-1]
end
complete -c endivesaddle -a '(__endivesaddle)'"""
_SCRIPTS = (('bash', _BASH), ('zsh', _ZSH), ('fish', _FISH))


@local_command('completion', 'Print the completion for bash, zsh or fish.', 'completion bash')
def completion(invocation: Invocation) -> Reply:
    """Print the script of a shell."""
    scripts = dict(_SCRIPTS)
    shell = ' '.join(invocation.words[1:])
    if shell not in scripts:
        raise UserError(f'completion takes one of: {", ".join(scripts)}')
    return Reply(scripts[shell].split('\n'))


@local_command('complete', 'List what may follow; the completion calls it.', 'complete req')
def complete(invocation: Invocation) -> Reply:
    """List the words that the last one may become."""
    typed = list(invocation.words[1:]) or ['']
    begun = typed.pop()
    return Reply([word for word in _candidates(typed) if word.startswith(begun)])


def _candidates(before: Sequence[str]) -> list[str]:
    if not before:
        return sorted({*COMMANDS, *LOCAL})
    if before[0] not in list(COMMANDS):
        return []
    entry = COMMANDS.find(before[0])
    named = [f'{argument.name}:' for argument in entry.arguments if argument.names]
    chosen = [choice for argument in entry.arguments for choice in argument.choices]
    return sorted({*named, *chosen, *(f'{name}:' for name in entry.fields or ())})
