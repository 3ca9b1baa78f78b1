"""Output and exit codes shared by the commands."""

from typing import Any, Final, NoReturn

import typer
from result import Result

from apricotpin.errors import Failure

EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2


def fail(failure: Failure, exit_code: int = EXIT_FAILED) -> NoReturn:
    """Print a failure on one line and exit with a code."""
    detail = ' '.join(failure.detail.split())
    typer.echo(f'error={failure.kind.value} {detail}', err=True)
    raise typer.Exit(exit_code)


def value_or_exit(outcome: Result[Any, Failure]) -> Any:
    """Return the value of a result, or print its failure and exit."""
    if outcome.is_err():
        fail(outcome.err_value)
    return outcome.ok_value
