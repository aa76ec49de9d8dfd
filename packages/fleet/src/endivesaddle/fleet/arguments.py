"""Command-line arguments for settings; the only module that imports ``cappa``.

A process that reads its settings from a file has no command line and doesn't import the
library: a router then needs 0.37 to 0.48 s of processor time for its imports, instead of
0.58 to 0.68 s.
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
    """Return the command-line argument of a setting.

    It has the flag ``--flag``, its environment variable, a default and a check.  ``parse``
    converts the text and raises ``ValueError`` with a message that says what is allowed.
    """
    fallback = _fail_if_missing(flag) if default is REQUIRED else lambda: default
    checked: dict[str, Any] = {}
    if parse is not None:
        checked['parse'] = _check_with_flag_name(flag, parse)
    return cappa.Arg(
        long=f'--{flag}',
        default=cappa.Default(cappa.Env(variable(flag)), cappa.ValueFrom(fallback)),
        help=f'{help_text} [{variable(flag)}]',
        **checked,
    )


def _fail_if_missing(flag: str) -> Callable[[], Any]:
    def fail() -> Any:
        raise cappa.Exit(f'--{flag} ({variable(flag)}) is required', code=EXIT_USAGE)

    return fail


def _check_with_flag_name(flag: str, parse: Callable[[str], Any]) -> Callable[[str], Any]:
    def checked(text: str) -> Any:
        try:
            return parse(text)
        except ValueError as error:
            raise cappa.Exit(
                f'--{flag} ({variable(flag)}): {text!r} is not allowed; {error}',
                code=EXIT_USAGE,
            ) from None

    return checked
