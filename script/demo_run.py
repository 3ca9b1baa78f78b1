"""Demo of a rollout across three data centres under load.

All figures are measured by stand-ins and callers, not by the code under test.
"""

from script import patched  # noqa: F401, I001 (must come first)

import subprocess
import sys
import time
from collections.abc import Sequence
from typing import Annotated, Any, Final

import gevent
import typer

from script import caller_requests, figures
from script import topology as plans
from script.cluster import Cluster, get_from_all, send_json
from script.load import LoadGenerator, LoadPlan, LoadResults, send_and_check
from script.processes import ROOT, wait_until
from script.standins.contents import Weights

_SIZE_BYTES: Final = 8000000
_CHUNK_BYTES: Final = 65536
_TOKENS: Final = 16
# Share of the non-idempotent requests that callers repeat with the same key.
_REPEAT_RATIO: Final = 0.2
# The demo has to end within 60 s, not counting the setup of the environment, so
# it stops waiting for the rollout this long after its start.
_ROLLOUT_DEADLINE_S: Final = 52.0
_READY_TIMEOUT_S: Final = 15.0
_LOAD_MAX_S: Final = 50.0
_LOAD_BEFORE_S: Final = 4.0
_LOAD_AFTER_S: Final = 3.0
_POLL_S: Final = 0.2
_POLLS_PER_LINE: Final = 5
_COMMAND_TIMEOUT_S: Final = 10.0
_EXAMPLES: Final = ROOT / 'docs/examples'
# Paths of the plain services of each site: the non-idempotent one, then the
# idempotent one, in the order of SITES.
_ORDER_PATHS: Final = {'karatsu': '/timber', 'qalem': '/stamps'}
_READ_PATHS: Final = {'karatsu': '/berths', 'qalem': '/franchises'}


def main(
    site: Annotated[str, typer.Option(help='karatsu or qalem.')] = 'karatsu',
    net: Annotated[
        str,
        typer.Option(help='First two numbers of all IP addresses.'),
    ] = '127.20',
) -> None:
    """Roll out a new version to every engine while callers send requests."""
    if site not in plans.SITES:
        typer.echo(f'error=usage site={site} expected=karatsu,qalem', err=True)
        raise typer.Exit(2)
    started_s = time.monotonic()
    model = plans.SITES[site].model
    old, new = [
        Weights(model, version, _SIZE_BYTES, _CHUNK_BYTES)
        for version in ('v1', 'v2')
    ]
    with Cluster(plans.site_topology(site, net), [old, new]) as cluster:
        start_cluster(cluster, old)
        load = LoadGenerator(load_plan(cluster), _LOAD_MAX_S)
        gevent.sleep(_LOAD_BEFORE_S)
        rollout = run_rollout(
            cluster, load, new, started_s + _ROLLOUT_DEADLINE_S
        )
        gevent.sleep(_LOAD_AFTER_S)
        results = load.finish()
        summary = summarize(cluster, rollout, results)
        replicas_expected = len(cluster.topology.replicas)
    for problem in results.problems:
        typer.echo(problem)
    typer.echo(figures.describe_load(results))
    typer.echo(f'demo_s={time.monotonic() - started_s:.1f}')
    typer.echo(figures.line_of(summary))
    if summary['replicas'] < replicas_expected or any(
        summary[name] for name in figures.MUST_BE_ZERO
    ):
        raise typer.Exit(1)


def start_cluster(cluster: Cluster, old: Weights) -> None:
    """Start all processes and wait until every entry host serves requests."""
    cluster.start_platform(serving=old)
    typer.echo('platform=started')
    options = [
        f'--overlay={site}={_EXAMPLES / site}.json' for site in plans.SITES
    ]
    log_url = cluster.topology.platform_url(plans.LOG_PORT)
    base = f'--base={_EXAMPLES}/base.json'
    run_command('config', 'publish', base, *options, f'--log-url={log_url}')
    cluster.start_hosts()
    cluster.wait_ready(_READY_TIMEOUT_S)
    hosts = len(cluster.topology.hosts)
    typer.echo(f'hosts_ready={hosts}')
    wait_until(
        lambda: all(
            _serves_all(cluster, entry) for entry in entries_of(cluster)
        ),
        _READY_TIMEOUT_S,
        'every entry host serves a request for each service',
    )


def run_command(*arguments: str) -> None:
    """Run a command of the program and print its output.

    Raise RuntimeError with its error output if it fails.
    """
    finished = subprocess.run(
        [sys.executable, '-m', 'apricotpin', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=_COMMAND_TIMEOUT_S,
        check=False,
    )
    typer.echo(f'command="{" ".join(arguments[:2])}" {finished.stdout.strip()}')
    if finished.returncode:
        raise RuntimeError(finished.stderr)


def entries_of(cluster: Cluster) -> list[str]:
    """Return the addresses at which entry hosts accept requests."""
    return [
        entry.address(plans.FRONTEND_PORT) for entry in cluster.topology.entries
    ]


def load_plan(cluster: Cluster) -> LoadPlan:
    """Return the load on the site of the cluster."""
    return LoadPlan(entries_of(cluster), factories_of(cluster.topology.site))


def factories_of(site: str) -> list[caller_requests.RequestFactory]:
    """Return a factory for each kind of request of a site."""
    model, order_service, read_service = [
        service for service, _ in plans.SITES[site].services
    ]
    return [
        caller_requests.generation_factory(model, _TOKENS, streamed=True),
        caller_requests.generation_factory(model, _TOKENS, streamed=False),
        caller_requests.order_factory(
            order_service, _ORDER_PATHS[site], _REPEAT_RATIO
        ),
        caller_requests.read_factory(read_service, _READ_PATHS[site]),
    ]


def run_rollout(
    cluster: Cluster,
    load: LoadGenerator,
    new: Weights,
    deadline_s: float,
) -> figures.Rollout:
    """Start a rollout and wait until every engine serves the version.

    Stop waiting at deadline_s on the monotonic clock.
    """
    rollout = figures.Rollout(cluster.topology, cluster.versions)
    rollout.record_initial_links(_get_counters(cluster, plans.LINKS_PORT))
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
    rollout.started_ms = _last_publish_ms(log_url)
    poll = 0
    while time.monotonic() < deadline_s:
        statuses = cluster.engine_statuses()
        rollout.record_engines(statuses, time.time())
        if poll % _POLLS_PER_LINE == 0 or rollout.is_complete():
            origin = _get_counters(cluster, plans.ORIGIN_PORT)
            typer.echo(rollout.progress(origin, load.results()))
        if rollout.is_complete():
            return rollout
        gevent.sleep(_POLL_S)
        poll += 1
    return rollout


def summarize(
    cluster: Cluster,
    rollout: figures.Rollout,
    results: LoadResults,
) -> dict[str, Any]:
    """Return the figures that are printed last."""
    rollout.record_engines(cluster.engine_statuses(), time.time())
    plain_hosts = [host for host in cluster.topology.agents if not host.model]
    executions = get_from_all(plain_hosts, cluster.upstream_url, '/executions')
    links = _get_counters(cluster, plans.LINKS_PORT)
    origin = _get_counters(cluster, plans.ORIGIN_PORT)
    return {
        **rollout.summary(origin, links),
        **figures.summary_of_load(results, executions),
        'mixed_hosts': len(rollout.mixed_hosts),
    }


def _serves_all(cluster: Cluster, entry: str) -> bool:
    factories: Sequence[caller_requests.RequestFactory] = factories_of(
        cluster.topology.site
    )
    return all(
        send_and_check(make_request('first'), entry).verdict
        == caller_requests.RIGHT
        for make_request in factories
    )


def _get_counters(cluster: Cluster, port: int) -> Any:
    return send_json('GET', f'{cluster.topology.platform_url(port)}/counters')


def _last_publish_ms(log_url: str) -> int:
    page = send_json('GET', f'{log_url}/streams/config/records?from=0')
    publishes = [
        record
        for record in page['records']
        if record['value'].get('kind') == 'publish'
    ]
    return int(publishes[-1]['appended_ms'])


if __name__ == '__main__':
    typer.run(main)
