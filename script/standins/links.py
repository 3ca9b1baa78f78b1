"""TCP relay that applies link rates, delays and faults between hosts.

Each host advertises an address on which this relay listens. The sender is
identified by its source address, or by the port where each sender has its own.
"""

import contextlib
import json
import pathlib
from collections.abc import Callable, Mapping
from typing import Any, Final

import gevent
from gevent import socket as net
from gevent.queue import Queue
from gevent.server import StreamServer

from apricotpin.core import Kernel
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.listeners import open_listener
from script.standins import link_state as state
from script.standins.web import Request, Response, Route, call_service

# Maximum bytes per read; at 1 MB/s a part occupies a link for 16 ms.
_READ_MAX_BYTES: Final = 16384
# Small socket buffers make the link's rate limit block the sender early.
_BUFFER_BYTES: Final = 65536
_PARTS_IN_TRANSIT_MAX: Final = 16
_CONNECT_TIMEOUT_S: Final = 5.0
_STALL_MAX_S: Final = 3600.0
_MAILBOX_SIZE: Final = 65536


class RelayPort:
    """Describe one listening address of the relay."""

    __slots__ = ('listen', 'receiver', 'sender', 'target')

    def __init__(self, fields: Mapping[str, Any]) -> None:
        self.listen: str = fields['listen']
        self.target = Address.from_text(fields['target'])
        self.receiver: str = fields['receiver']
        # Empty if the source address identifies the sender.
        self.sender: str = fields.get('sender', '')


def set_up(kernel: Kernel, plan_path: pathlib.Path) -> list[Route]:
    """Start the relay and return its routes.

    The plan file lists hosts, rates, delays and ports.
    """
    fields = json.loads(plan_path.read_text())
    plan = state.LinkPlan(fields)
    service = state.LinkService(plan, gevent.get_hub().loop.now)
    host_id_by_ip = {host.ip: host.host_id for host in plan.hosts.values()}
    servers = [
        _open_port(kernel, RelayPort(port), host_id_by_ip)
        for port in fields['ports']
    ]

    def close_ports() -> None:
        for server in servers:
            server.close()

    kernel.register(
        state.LINKS,
        {
            state.RegisterConnection: service.register_connection,
            state.UnregisterConnection: service.unregister_connection,
            state.ReserveTransfer: service.reserve_transfer,
            state.LinkFaults: service.set_faults,
            state.GetLinkFaults: service.report_faults,
            state.GetCounters: service.report_counters,
        },
        mailbox_size=_MAILBOX_SIZE,
        on_stop=close_ports,
    )
    return _routes(kernel)


def _routes(kernel: Kernel) -> list[Route]:
    def counters_endpoint(_request: Request) -> Response:
        return Response.with_json(
            call_service(kernel, state.LINKS, state.GetCounters())
        )

    def get_endpoint(_request: Request) -> Response:
        faults = call_service(kernel, state.LINKS, state.GetLinkFaults())
        return Response.with_json(faults.as_fields())

    def set_endpoint(request: Request) -> Response:
        current = call_service(
            kernel, state.LINKS, state.GetLinkFaults()
        ).as_fields()
        faults = state.LinkFaults(**{**current, **request.document()})
        return Response.with_json(
            call_service(kernel, state.LINKS, faults).as_fields()
        )

    return [
        ('GET', '/counters', counters_endpoint),
        ('GET', '/faults', get_endpoint),
        ('POST', '/faults', set_endpoint),
    ]


def _open_port(
    kernel: Kernel,
    port: RelayPort,
    host_id_by_ip: Mapping[str, str],
) -> StreamServer:
    listener = open_listener(Address.from_text(port.listen)).unwrap()
    listener.setsockopt(net.SOL_SOCKET, net.SO_RCVBUF, _BUFFER_BYTES)

    def handle(incoming: net.socket, peer: tuple[str, int]) -> None:
        sender = port.sender or host_id_by_ip.get(peer[0], peer[0])
        connection = state.RegisterConnection(
            sender, port.receiver, gevent.getcurrent()
        )
        admitted = kernel.call(state.LINKS, connection)
        if admitted.is_err():
            return
        # Setting up a connection takes one round trip.
        gevent.sleep(admitted.ok_value.delay_s * 2)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(
                kernel.send, state.LINKS, state.UnregisterConnection(connection)
            )
            # If the target is unreachable, the connection is closed.
            cleanup.enter_context(contextlib.suppress(OSError))
            _relay(kernel, incoming, connection, port.target)

    server = StreamServer(listener, handle)
    server.start()
    return server


def _relay(
    kernel: Kernel,
    incoming: net.socket,
    connection: state.RegisterConnection,
    target: Address,
) -> None:
    outgoing = net.create_connection(target.as_tuple(), _CONNECT_TIMEOUT_S)
    outgoing.settimeout(None)
    with contextlib.closing(incoming), contextlib.closing(outgoing):
        for side in (incoming, outgoing):
            side.setsockopt(net.IPPROTO_TCP, net.TCP_NODELAY, 1)
            side.setsockopt(net.SOL_SOCKET, net.SO_SNDBUF, _BUFFER_BYTES)
        forward = _make_reserve(kernel, connection.sender, connection.receiver)
        backward = _make_reserve(kernel, connection.receiver, connection.sender)
        gevent.joinall(
            [
                gevent.spawn(_copy_stream, incoming, outgoing, forward),
                gevent.spawn(_copy_stream, outgoing, incoming, backward),
            ]
        )


def _make_reserve(
    kernel: Kernel, sender: str, receiver: str
) -> Callable[..., Any]:
    def reserve(size_bytes: int) -> Any:
        message = state.ReserveTransfer(sender, receiver, size_bytes)
        return kernel.call(state.LINKS, message, _STALL_MAX_S).unwrap()

    return reserve


def _copy_stream(
    source: net.socket,
    target: net.socket,
    reserve: Callable[..., Any],
) -> None:
    in_transit: Queue = Queue(maxsize=_PARTS_IN_TRANSIT_MAX)
    writer = gevent.spawn(_write_parts, source, target, in_transit)
    if _read_parts(source, in_transit, reserve):
        writer.join()
    else:
        writer.kill()


def _read_parts(
    source: net.socket,
    in_transit: Queue,
    reserve: Callable[..., Any],
) -> bool:
    """Read and queue the stream's parts; return False if bytes were lost.

    An empty part marks the end of the stream.
    """
    now = gevent.get_hub().loop.now
    is_lost = False
    part = _receive(source)
    while part:
        transfer = reserve(len(part))
        is_lost = is_lost or transfer.is_lost
        gevent.sleep(transfer.wait_s)
        if not is_lost:
            in_transit.put((now() + transfer.delay_s, part))
        part = _receive(source)
    if not is_lost:
        in_transit.put((now(), part))
    return not is_lost


def _write_parts(
    source: net.socket, target: net.socket, in_transit: Queue
) -> None:
    """Send parts when their delay has passed, up to the empty end marker.

    After a send failure, the source is shut down and the remaining parts are
    discarded, so that the reader does not block on a full queue.
    """
    now = gevent.get_hub().loop.now
    part = b'-'
    while part:
        due_s, part = in_transit.get()
        gevent.sleep(max(0, due_s - now()))
        try:
            _send(target, part)
        except OSError:
            with contextlib.suppress(OSError):
                source.shutdown(net.SHUT_RDWR)


def _receive(source: net.socket) -> bytes:
    try:
        return source.recv(_READ_MAX_BYTES)
    except OSError:
        return b''


def _send(target: net.socket, part: bytes) -> None:
    if part:
        target.sendall(part)
    else:
        target.shutdown(net.SHUT_WR)
