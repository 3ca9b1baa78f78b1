"""Measure how many bytes/s the links stand-in forwards for N hosts.

    python -m script.measure_links --hosts 81 --regions 5

Each host sends to the next host of its region at the rate of its link.
"""

from script import patched  # noqa: F401, I001 (must come first)

import json
import pathlib
import tempfile
import time
from typing import Annotated, Final

import psutil
import typer
from gevent import server, sleep, socket, spawn, wait

from apricotpin.helpers.addresses import Address
from script import topology as plans
from script.cluster import STANDINS, send_json
from script.processes import ProcessGroup, responds_ok, wait_until

_BLOCK: Final = bytes(65536)
_READY_TIMEOUT_S: Final = 15.0
# Time for all connections to open before the measurement starts.
_WARM_UP_S: Final = 1.0
_BYTES_PER_MB: Final = 1000000

Net = Annotated[
    str,
    typer.Option(help='First two numbers of all IP addresses.'),
]

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command('all')
def measure(
    hosts: int = 81,
    regions: int = 5,
    seconds: float = 10,
    net: Net = '127.20',
) -> None:
    """Start the links stand-in, senders and receivers, and print rates."""
    topology = plans.bench_topology(hosts, regions, net, 0)
    plan = plans.link_plan_of(topology)
    with (
        tempfile.TemporaryDirectory() as name,
        ProcessGroup(pathlib.Path(name)) as group,
    ):
        path = group.directory / 'links.json'
        path.write_text(json.dumps(plan))
        listen = topology.platform_address(plans.LINKS_PORT)
        links = group.start(
            'links',
            [STANDINS, 'links', f'--listen={listen}', str(path)],
        )
        options = [str(hosts), str(regions), net]
        url = topology.platform_url(plans.LINKS_PORT)
        ready_url = f'{url}/faults'
        wait_until(
            lambda: responds_ok(ready_url),
            _READY_TIMEOUT_S,
            'the links stand-in responds',
        )
        group.start('receive', ['script.measure_links', 'receive', *options])
        wait_until(
            lambda: _accepts_connections(topology),
            _READY_TIMEOUT_S,
            'the receivers accept connections',
        )
        group.start('send', ['script.measure_links', 'send', *options])
        wait_until(
            lambda: _has_sent_from_all(url, hosts),
            _READY_TIMEOUT_S,
            'every host has sent data',
        )
        sleep(_WARM_UP_S)
        _print_rates(url, links.pid, seconds)


@app.command()
def receive(hosts: int, regions: int, net: str) -> None:
    """Receive and discard data at the peer address of every host."""
    topology = plans.bench_topology(hosts, regions, net, 0)
    servers = [
        server.StreamServer((host.ip, plans.PEER_PORT), _discard)
        for host in topology.hosts
    ]
    for listening in servers:
        listening.start()
    wait()


@app.command()
def send(hosts: int, regions: int, net: str) -> None:
    """Send data from every host to the next host of its region."""
    topology = plans.bench_topology(hosts, regions, net, 0)
    for region in topology.regions:
        members = [host for host in topology.hosts if host.region == region]
        for index, host in enumerate(members):
            receiver = members[(index + 1) % len(members)]
            advertised = receiver.address(plans.ADVERTISED_PORT)
            spawn(_send, host.ip, advertised)
    wait()


def _discard(connection: socket.socket, _peer: object) -> None:
    while connection.recv(len(_BLOCK)):
        sleep(0)


def _send(source_ip: str, address: str) -> None:
    connection = socket.create_connection(
        Address.from_text(address).as_tuple(),
        source_address=(source_ip, 0),
    )
    while True:
        connection.sendall(_BLOCK)


def _accepts_connections(topology: plans.Topology) -> bool:
    last = Address.from_text(topology.hosts[-1].address(plans.PEER_PORT))
    try:
        socket.create_connection(last.as_tuple(), 1).close()
    except OSError:
        return False
    return True


def _has_sent_from_all(url: str, hosts: int) -> bool:
    counters = send_json('GET', f'{url}/counters')['hosts'].values()
    return sum(bool(host['up_bytes']) for host in counters) >= hosts


def _print_rates(url: str, links_pid: int, seconds: float) -> None:
    links = psutil.Process(links_pid)
    links.cpu_percent()
    before = send_json('GET', f'{url}/counters')['hosts']
    started_s = time.monotonic()
    sleep(seconds)
    after = send_json('GET', f'{url}/counters')['hosts']
    elapsed_s = time.monotonic() - started_s
    cpu_percent = links.cpu_percent()
    rates = sorted(
        (after[name]['up_bytes'] - before[name]['up_bytes']) / elapsed_s
        for name in before
        if name != 'origin'
    )
    typer.echo(
        f'hosts={len(rates)} total_mb_per_s={sum(rates) / _BYTES_PER_MB:.1f} '
        f'slowest_mb_per_s={rates[0] / _BYTES_PER_MB:.3f} '
        f'fastest_mb_per_s={rates[-1] / _BYTES_PER_MB:.3f} '
        f'relay_cpu_percent={cpu_percent:.0f}'
    )


if __name__ == '__main__':
    app()
