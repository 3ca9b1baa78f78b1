"""The command line, with one command for each role and task."""

from typing import Annotated

import typer

from apricotpin.commands import (
    config,
    explain,
    fleet_status,
    processes,
    rollout,
    rollout_status,
)
from apricotpin.const import PROGRAM, VERSION

ShowVersion = Annotated[
    bool,
    typer.Option('--version', help='Show the version.'),
]

app = typer.Typer(
    name=PROGRAM,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    # Print errors on one line, since scripts parse them.
    rich_markup_mode=None,
    help='Distribute model weights in bursts while requests are served.',
)
app.command('entry')(processes.entry)
app.command('agent')(processes.agent)
app.command('explain')(explain.explain)
app.command('status')(fleet_status.status)
rollout.app.command('status')(rollout_status.status)
app.add_typer(config.app, name='config')
app.add_typer(rollout.app, name='rollout')


@app.callback(invoke_without_command=True)
def show_version(version: ShowVersion = False) -> None:
    """Distribute model weights in bursts while requests are served."""
    if version:
        typer.echo(f'{PROGRAM} {VERSION}')
        raise typer.Exit


def main() -> None:
    """Run the program."""
    app()
