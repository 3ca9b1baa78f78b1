"""Run one stand-in: python -m script.standins NAME --listen ip:port."""

# The standard library is patched before anything that uses sockets.
from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
from typing import Annotated  # noqa: E402

import typer  # noqa: E402

from script.standins import (  # noqa: E402
    engine,
    engine_state,
    host_list,
    log,
    origin,
    plain,
)
from script.standins.contents import Weights  # noqa: E402

Listen = Annotated[str, typer.Option('--listen', help='ip:port.')]

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help='Stand-ins for the platform, one process each.',
)


@app.command('log')
def run_log(
    listen: Listen,
    appends_per_s: float = 300,
    retention_s: float = 7200,
) -> None:
    """Serve the append-only log."""
    log.run(listen, appends_per_s, retention_s)


@app.command('host-list')
def run_host_list(
    listen: Listen,
    hosts: pathlib.Path | None = None,
    lag_s: float = 2,
) -> None:
    """Serve the list of hosts; changes show after lag_s."""
    host_list.run(listen, hosts, lag_s)


@app.command('origin')
def run_origin(
    listen: Listen,
    weights: list[str],
    bytes_per_s: float = 0,
    requests_per_s: float = 0,
) -> None:
    """Serve WEIGHTS, each model/version:size_bytes:chunk_bytes."""
    versions = [Weights.from_text(text) for text in weights]
    origin.run(listen, versions, bytes_per_s, requests_per_s)


@app.command('engine')
def run_engine(
    listen: Listen,
    token_s: float = 0.02,
    in_flight_max: int = 16,
    queue_max: int = 64,
    checks_fencing: bool = True,
) -> None:
    """Serve a model engine."""
    limits = engine_state.EngineLimits(in_flight_max, queue_max, checks_fencing)
    engine.run(listen, engine_state.EngineService(limits), token_s)


@app.command('plain')
def run_plain(
    listen: Listen,
    service: str = 'plain',
    work_s: float = 0.01,
    echo: bool = True,
) -> None:
    """Serve a plain service."""
    plain.run(listen, service, work_s, echo)


if __name__ == '__main__':
    app()
