"""Command line for the stand-ins.

Usage: python -m script.standins NAME --listen ip:port
"""

from script import patched  # noqa: F401, I001 (must come first)

import pathlib
from typing import Annotated

import typer

from apricotpin.core import Kernel
from script.standins import (
    engine,
    engine_state,
    host_list,
    links,
    log,
    origin,
    plain,
)
from script.standins.contents import Weights, manifest_of
from script.standins.web import serve

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
    kernel = Kernel('log')
    serve(kernel, listen, log.set_up(kernel, appends_per_s, retention_s))


@app.command('host-list')
def run_host_list(
    listen: Listen,
    hosts: pathlib.Path | None = None,
    lag_s: float = 2,
) -> None:
    """Serve the host list; changes become visible after lag_s seconds."""
    kernel = Kernel('host_list')
    serve(kernel, listen, host_list.set_up(kernel, hosts, lag_s))


@app.command('origin')
def run_origin(
    listen: Listen,
    weights: list[str],
    bytes_per_s: float = 0,
    requests_per_s: float = 0,
) -> None:
    """Serve WEIGHTS, each model/version:size_bytes:chunk_bytes."""
    versions = [Weights.from_text(text) for text in weights]
    kernel = Kernel('origin')
    serve(
        kernel,
        listen,
        origin.set_up(kernel, versions, bytes_per_s, requests_per_s),
    )


@app.command('engine')
def run_engine(
    listen: Listen,
    token_s: float = 0.02,
    in_flight_max: int = 16,
    queue_max: int = 64,
    checks_fencing: bool = True,
    serves: str = '',
) -> None:
    """Serve a model engine.

    SERVES is the version that is active at the start, in the form that the
    origin's WEIGHTS have; without it, no version is loaded.
    """
    limits = engine_state.EngineLimits(in_flight_max, queue_max)
    active = None
    if serves:
        weights = Weights.from_text(serves)
        manifest = manifest_of(weights)
        active = engine_state.StoreVersion(
            weights.model, weights.version, manifest['digest'], 0, 0
        )
    service = engine_state.EngineService(limits, active)
    kernel = Kernel('engine')
    serve(
        kernel, listen, engine.set_up(kernel, service, token_s, checks_fencing)
    )


@app.command('plain')
def run_plain(
    listen: Listen,
    service: str = 'plain',
    work_s: float = 0.01,
    echo: bool = True,
) -> None:
    """Serve a plain service."""
    kernel = Kernel('plain')
    serve(kernel, listen, plain.set_up(kernel, service, work_s, echo))


@app.command('links')
def run_links(listen: Listen, plan: pathlib.Path) -> None:
    """Relay between hosts over the rate-limited links of PLAN, a JSON file."""
    kernel = Kernel('links')
    serve(kernel, listen, links.set_up(kernel, plan))


if __name__ == '__main__':
    app()
