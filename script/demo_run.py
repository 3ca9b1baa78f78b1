"""The demo: a rollout across three data centres in the middle of load.

All figures come from stand-ins and callers, none from the code under test.
"""

from script import patched  # noqa: F401, I001 (must come first)

import subprocess
import sys
import time
from collections.abc import Sequence
from typing import Annotated, Any, Final

import gevent
import typer

from script import calls, figures
from script import topology as plans
from script.cluster import Cluster, get_all, send_json
from script.load import Load, LoadPlan, LoadReport, perform
from script.processes import ROOT, wait_until
from script.standins.contents import Weights

_SIZE_BYTES: Final = 8000000
_CHUNK_BYTES: Final = 65536
_TOKENS: Final = 16
# Part of the orders that callers send again under the same key.
_REPEAT_RATIO: Final = 0.2
# The whole demo ends within 60 s, setup of the environment apart.
_READY_S: Final = 15.0
_LOAD_S: Final = 50.0
_BEFORE_S: Final = 4.0
_ROLLOUT_S: Final = 30.0
_AFTER_S: Final = 3.0
_POLL_S: Final = 0.2
_POLLS_PER_LINE: Final = 5
_COMMAND_S: Final = 10.0
_EXAMPLES: Final = ROOT / 'docs/examples'
# Paths of the services beside the model, in the order of the site's table.
_ORDER_PATHS: Final = {'karatsu': '/timber', 'qalem': '/stamps'}
_READ_PATHS: Final = {'karatsu': '/berths', 'qalem': '/franchises'}


def main(
    site: Annotated[str, typer.Option(help='karatsu or qalem.')] = 'karatsu',
    net: Annotated[
        str,
        typer.Option(help='First two numbers of all IPs.'),
    ] = '127.20',
) -> None:
    """Roll a new version out to every engine while callers send requests."""
    if site not in plans.SITES:
        typer.echo(f'error=usage site={site} expected=karatsu,qalem', err=True)
        raise typer.Exit(2)
    model = plans.SITES[site].model
    old, new = [
        Weights(model, version, _SIZE_BYTES, _CHUNK_BYTES)
        for version in ('v1', 'v2')
    ]
    with Cluster(plans.site_topology(site, net), [old, new]) as cluster:
        start_cluster(cluster, old)
        load = Load(load_plan(cluster), _LOAD_S)
        gevent.sleep(_BEFORE_S)
        rollout = run_rollout(cluster, load, new)
        gevent.sleep(_AFTER_S)
        report = load.finish()
        summary = summarise(cluster, rollout, report)
        replicas_wanted = len(cluster.topology.replicas)
    for problem in report.problems:
        typer.echo(problem)
    typer.echo(figures.describe_load(report))
    typer.echo(figures.line_of(summary))
    if summary['replicas'] < replicas_wanted or any(
        summary[name] for name in figures.MUST_BE_ZERO
    ):
        raise typer.Exit(1)


def start_cluster(cluster: Cluster, old: Weights) -> None:
    """Start all processes and wait until the first request is answered."""
    cluster.start_platform(serving=old)
    typer.echo('platform=started')
    options = [
        f'--overlay={site}={_EXAMPLES / site}.json' for site in plans.SITES
    ]
    log_url = cluster.topology.platform_url(plans.LOG_PORT)
    base = f'--base={_EXAMPLES}/base.json'
    run_command('config', 'publish', base, *options, f'--log-url={log_url}')
    cluster.start_hosts()
    cluster.wait_ready(_READY_S)
    hosts = len(cluster.topology.hosts)
    typer.echo(f'hosts_ready={hosts}')
    wait_until(
        lambda: all(_serves(cluster, entry) for entry in entries_of(cluster)),
        _READY_S,
        'every entry host answers a request for each service',
    )


def run_command(*arguments: str) -> None:
    """Run the program and print its answer; raise RuntimeError if it fails."""
    finished = subprocess.run(
        [sys.executable, '-m', 'apricotpin', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=_COMMAND_S,
        check=False,
    )
    typer.echo(f'command="{" ".join(arguments[:2])}" {finished.stdout.strip()}')
    if finished.returncode:
        raise RuntimeError(finished.stderr)


def entries_of(cluster: Cluster) -> list[str]:
    """Return the addresses at which callers reach the entry hosts."""
    return [
        entry.address(plans.FRONTEND_PORT) for entry in cluster.topology.entries
    ]


def load_plan(cluster: Cluster) -> LoadPlan:
    """Return the mix of requests of a site."""
    return LoadPlan(entries_of(cluster), makers_of(cluster.topology.site))


def makers_of(site: str) -> list[calls.MakeCall]:
    """Return the kinds of requests that a site's callers send."""
    model, orders, others = [
        service for service, _ in plans.SITES[site].services
    ]
    return [
        calls.generations(model, _TOKENS, streamed=True),
        calls.generations(model, _TOKENS, streamed=False),
        calls.orders(orders, _ORDER_PATHS[site], _REPEAT_RATIO),
        calls.reads(others, _READ_PATHS[site]),
    ]


def run_rollout(cluster: Cluster, load: Load, new: Weights) -> Any:
    """Start a rollout and follow it until every engine serves the version."""
    rollout = figures.Rollout(cluster.topology, cluster.versions)
    rollout.note_links(_counters(cluster, plans.LINKS_PORT))
    log_url = cluster.topology.platform_url(plans.LOG_PORT)
    origin_url = cluster.topology.platform_url(plans.ORIGIN_PORT)
    run_command(
        'rollout',
        'start',
        f'--model={new.model}',
        f'--version={new.version}',
        f'--log-url={log_url}',
        f'--origin-url={origin_url}',
    )
    rollout.started_ms = _last_record_ms(log_url)
    polls = int(_ROLLOUT_S / _POLL_S)
    for poll in range(polls):
        statuses = cluster.engine_statuses()
        rollout.note_engines(statuses, time.time())
        if poll % _POLLS_PER_LINE == 0 or rollout.complete():
            origin = _counters(cluster, plans.ORIGIN_PORT)
            typer.echo(rollout.progress(origin, load.report()))
        if rollout.complete():
            return rollout
        gevent.sleep(_POLL_S)
    return rollout


def summarise(
    cluster: Cluster,
    rollout: figures.Rollout,
    report: LoadReport,
) -> dict[str, Any]:
    """Return the figures of the last line."""
    rollout.note_engines(cluster.engine_statuses(), time.time())
    plain = [host for host in cluster.topology.agents if not host.model]
    executions = get_all(plain, cluster.upstream_url, '/executions')
    links = _counters(cluster, plans.LINKS_PORT)
    origin = _counters(cluster, plans.ORIGIN_PORT)
    return {
        **rollout.summary(origin, links),
        **figures.summary_of_load(report, executions),
        'mixed_hosts': len(rollout.mixed),
    }


def _serves(cluster: Cluster, entry: str) -> bool:
    makers: Sequence[calls.MakeCall] = makers_of(cluster.topology.site)
    return all(
        perform(make_call('first'), entry).verdict == calls.RIGHT
        for make_call in makers
    )


def _counters(cluster: Cluster, port: int) -> Any:
    return send_json('GET', f'{cluster.topology.platform_url(port)}/counters')


def _last_record_ms(log_url: str) -> int:
    page = send_json('GET', f'{log_url}/streams/config/records?from=0')
    publishes = [
        record
        for record in page['records']
        if record['value'].get('kind') == 'publish'
    ]
    return int(publishes[-1]['appended_ms'])


if __name__ == '__main__':
    typer.run(main)
