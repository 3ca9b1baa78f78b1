"""Measure the cost of membership for an entry host: script/bench membership.

Runs the decisions of the members component and the wire encoding of one entry
host at several fleet sizes, in one process without a network, so that the
figures are bytes and processor time of this code alone. TCP and IP headers are
added by formula: 40 bytes for each packet, two packets in each direction for
each call.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Iterator
from typing import Any, Final

import typer
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.transport import TCyMemoryBuffer

from apricotpin.components.members import (
    const,
    orders,
    reports,
    sweeping,
    syncing,
    table,
)
from apricotpin.helpers.wire import PEER_IDL, from_wire, to_wire
from apricotpin.messages.hosts import (
    Heartbeat,
    HeartbeatAnswer,
    Host,
    SyncHosts,
)

_DATA_CENTRES: Final = 15
_REGIONS: Final = 5
# Numbers of entry hosts and agents; the last pair is the planned fleet.
_SIZES: Final = ((30, 150), (120, 600), (390, 1800))
_CALL_NAME_BYTES: Final = 30
_HEADER_BYTES: Final = 4 * 40
_ROUNDS: Final = 30
_BUDGET_CORE_PERCENT: Final = 4.4
_BUDGET_BYTES_PER_S: Final = 16000
_BUDGET_MEMORY_BYTES: Final = 64_000_000
_HOST_LIST_ENTRY_BYTES: Final = 230

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


class Fleet:
    """Hold the hosts of a fleet and the host table of one entry host."""

    def __init__(self, entries: int, agents: int) -> None:
        self.entries = entries
        self.agents = agents
        self.now_s = 1000.0
        self.known = table.HostTable(1, self.now_s)
        self.own = _host(0, 'entry')
        self.rounds = orders.RoundState([])
        self.senders: list[Host] = []

    def fill(self) -> None:
        """Add every host to the table of the entry host."""
        for host in self.hosts():
            if host.host_id == self.own.host_id:
                reports.apply_own_record(self.known, host, self.now_s)
            else:
                reports.apply_peer_record(self.known, host, self.now_s)

    def hosts(self) -> Iterator[Host]:
        """Yield all hosts of the fleet."""
        for index in range(self.entries):
            yield _host(index, 'entry')
        for index in range(self.agents):
            yield _host(index, 'agent')

    def find_senders(self) -> None:
        """Collect the hosts that send their heartbeats to this entry host."""
        entries = list(table.live_entry_hosts(self.known))
        for row in self.known.rows.values():
            if row.host.data_centre != self.own.data_centre:
                continue
            receivers = orders.peer_selection.heartbeat_receivers(
                row.host, entries
            )
            first = receivers[: const.PEERS_PER_ROUND]
            if any(entry.host_id == self.own.host_id for entry in first):
                self.senders.append(row.host)


def _host(index: int, role: str) -> Host:
    data_centre = index % _DATA_CENTRES
    return Host(
        f'{role}-host-{index:05}',
        role,
        region=f'region-{data_centre % _REGIONS}',
        data_centre=f'data-centre-{data_centre}',
        peer_address=f'10.{data_centre}.{index // 250}.{index % 250}:20100',
        upstream_address=f'10.{data_centre}.{index // 250}.{index % 250}:20103',
        service_name='canoe-advice' if role == 'agent' else '',
        state='live',
        incarnation=1796374233530 + index,
        heartbeat_count=1,
        model='canoe' if role == 'agent' else '',
        version='2026-12-04-r1' if role == 'agent' else '',
    )


def _encode(message: Any) -> bytes:
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    protocol.write_struct(to_wire(message))
    protocol.write_message_end()
    return buffer.getvalue()


def _decode(encoded: bytes, name: str) -> Any:
    struct = getattr(PEER_IDL, name)()
    TCyBinaryProtocol(TCyMemoryBuffer(encoded)).read_struct(struct)
    return from_wire(struct)


def _call_bytes(request: Any, response: Any) -> int:
    payload = len(_encode(request)) + len(_encode(response))
    return payload + 2 * _CALL_NAME_BYTES + _HEADER_BYTES


def _heartbeat_s(fleet: Fleet) -> float:
    """Return the processor time to receive and answer one heartbeat."""
    senders = fleet.senders or [_host(0, 'agent')]
    encoded = [_encode(Heartbeat(host)) for host in senders]
    started_s = time.process_time()
    for _ in range(_ROUNDS):
        for content in encoded:
            heartbeat = _decode(content, 'Heartbeat')
            reports.apply_heartbeat(fleet.known, heartbeat.host, fleet.now_s)
            _encode(HeartbeatAnswer(1, 2))
    return (time.process_time() - started_s) / (_ROUNDS * len(encoded))


def _periodic_work_s(fleet: Fleet) -> float:
    """Return the processor time of the work that is due each second."""
    started_s = time.process_time()
    for _ in range(_ROUNDS):
        fleet.now_s += 1
        for host in fleet.senders:
            fleet.known.rows[host.host_id].last_heartbeat_s = fleet.now_s
        sweeping.sweep_hosts(fleet.known, fleet.now_s, list_is_fresh=True)
        fleet.rounds.round_number += 1
        arguments = (fleet.own, fleet.known, fleet.rounds, fleet.now_s)
        orders.update_monitoring(*arguments)
        for exchange in (
            *orders.heartbeat_orders(*arguments),
            *orders.pull_orders(*arguments),
        ):
            _encode(exchange.request)
    return (time.process_time() - started_s) / _ROUNDS


def _pull_s(fleet: Fleet) -> float:
    """Return the processor time to answer one pull without changes."""
    request = _encode(SyncHosts(fleet.known.change_number, 1, []))
    started_s = time.process_time()
    for _ in range(_ROUNDS):
        decoded = _decode(request, 'SyncHosts')
        _encode(syncing.changes_since(fleet.known, decoded))
    return (time.process_time() - started_s) / _ROUNDS


def _host_list_s(fleet: Fleet) -> float:
    """Return the processor time to apply the host list once."""
    entries = [
        reports.ListedHost(host, leaving=False) for host in fleet.hosts()
    ]
    started_s = time.process_time()
    reports.apply_host_list(fleet.known, entries, fleet.now_s)
    return time.process_time() - started_s


def _memory_bytes(entries: int, agents: int) -> int:
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    fleet = Fleet(entries, agents)
    fleet.fill()
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    return used_bytes


def _measure(entries: int, agents: int) -> dict[str, float]:
    memory_bytes = _memory_bytes(entries, agents)
    fleet = Fleet(entries, agents)
    fleet.fill()
    fleet.find_senders()
    heartbeat_s = _heartbeat_s(fleet)
    round_s = _periodic_work_s(fleet)
    pull_s = _pull_s(fleet)
    list_s = _host_list_s(fleet)
    hosts = entries + agents
    list_period_s = max(
        const.HOST_LIST_PERIOD_S,
        hosts * _HOST_LIST_ENTRY_BYTES / const.HOST_LIST_BYTES_PER_S,
    )
    heartbeat = Heartbeat(_host(1, 'agent'))
    heartbeat_bytes = _call_bytes(heartbeat, HeartbeatAnswer(1, 2))
    empty = syncing.changes_since(
        fleet.known,
        SyncHosts(fleet.known.change_number, 1, []),
    )
    pull_bytes = _call_bytes(SyncHosts(fleet.known.change_number, 1, []), empty)
    # Each second, every host sends two heartbeats to entry hosts, an entry host
    # pulls changes twice, and an agent pulls changes once.
    received = 2 * hosts / entries
    answered = (2 * entries + agents) / entries
    bytes_per_s = (
        (received + 2) * heartbeat_bytes
        + (answered + 2) * pull_bytes
        + hosts * _HOST_LIST_ENTRY_BYTES / list_period_s
    )
    core_s = (
        received * heartbeat_s
        + answered * pull_s
        + round_s
        + list_s / list_period_s
    )
    return {
        'entries': entries,
        'agents': agents,
        'heartbeat_bytes': heartbeat_bytes,
        'heartbeat_us': round(heartbeat_s * 1e6, 1),
        'empty_pull_bytes': pull_bytes,
        'empty_pull_us': round(pull_s * 1e6, 1),
        'round_us': round(round_s * 1e6, 1),
        'host_list_us': round(list_s * 1e6, 1),
        'heartbeats_received_per_s': round(received, 2),
        'pulls_answered_per_s': round(answered, 2),
        'table_bytes': memory_bytes,
        'bytes_per_host': round(memory_bytes / hosts),
        'node_bytes_per_s': round(bytes_per_s),
        'node_core_percent': round(core_s * 100, 3),
    }


@app.command()
def main() -> None:
    """Print one key=value line for each fleet size, and one of the budget."""
    random.seed(1)
    for entries, agents in _SIZES:
        measured = _measure(entries, agents)
        typer.echo(
            ' '.join(f'{key}={found}' for key, found in measured.items())
        )
    typer.echo(
        f'budget_bytes_per_s={_BUDGET_BYTES_PER_S} '
        f'budget_core_percent={_BUDGET_CORE_PERCENT} '
        f'budget_memory_bytes={_BUDGET_MEMORY_BYTES}',
    )


if __name__ == '__main__':
    app()
