"""Settings as arguments of the command line: the part that needs its library.

A process whose settings come from a file has no command line and does not load the library:
a router imports in 0.37 to 0.48 s of processor time, with it in 0.58 to 0.68 s (three starts).
"""

from collections.abc import Callable
from typing import Any

import cappa

from endivesaddle.fleet.errors import EXIT_USAGE
from endivesaddle.fleet.settings import REQUIRED, variable


def argument(
    flag: str,
    help_text: str,
    default: Any = REQUIRED,
    parse: Callable[[str], Any] | None = None,
) -> Any:
    """Declare a setting: ``--flag``, its variable, its default and its check.

    ``parse`` takes the text and raises ``ValueError`` that says what is allowed.
    """
    fallback = _required(flag) if default is REQUIRED else lambda: default
    checked: dict[str, Any] = {}
    if parse is not None:
        checked['parse'] = _naming(flag, parse)
    return cappa.Arg(
        long=f'--{flag}',
        default=cappa.Default(cappa.Env(variable(flag)), cappa.ValueFrom(fallback)),
        help=f'{help_text} [{variable(flag)}]',
        **checked,
    )


def _required(flag: str) -> Callable[[], Any]:
    def fail() -> Any:
        raise cappa.Exit(f'--{flag} ({variable(flag)}) has to be given', code=EXIT_USAGE)

    return fail


def _naming(flag: str, parse: Callable[[str], Any]) -> Callable[[str], Any]:
    def checked(text: str) -> Any:
        try:
            return parse(text)
        except ValueError as error:
            raise cappa.Exit(
                f'--{flag} ({variable(flag)}): {text!r} is not allowed; {error}',
                code=EXIT_USAGE,
            ) from None

    return checked
