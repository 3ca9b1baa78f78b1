"""Relay for paced links between hosts.

Each host advertises an address on which this relay listens. The sender is
known by its source address, or by the port where each sender has its own.
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
from script.standins.web import Answer, Request, Route, ask

# Bytes read at once; at 1 MB/s a part holds a link for 16 ms.
_PART_BYTES: Final = 16384
# Small buffers let the sender feel the pace of the link.
_BUFFER_BYTES: Final = 65536
_PARTS_IN_FLIGHT: Final = 16
_CONNECT_TIMEOUT_S: Final = 5.0
_STALL_MAX_S: Final = 3600.0
_MAILBOX_SIZE: Final = 65536


class Port:
    """Describe one listening address of the relay."""

    __slots__ = ('listen', 'receiver', 'sender', 'target')

    def __init__(self, fields: Mapping[str, Any]) -> None:
        self.listen: str = fields['listen']
        self.target = Address.from_text(fields['target'])
        self.receiver: str = fields['receiver']
        # Empty where the source address tells the sender.
        self.sender: str = fields.get('sender', '')


def set_up(kernel: Kernel, plan_path: pathlib.Path) -> list[Route]:
    """Start to relay and return the routes; the plan names hosts and rates."""
    fields = json.loads(plan_path.read_text())
    plan = state.LinkPlan(fields)
    service = state.LinkService(plan, gevent.get_hub().loop.now)
    senders = {host.ip: host.host_id for host in plan.hosts.values()}
    servers = [
        _open_port(kernel, Port(port), senders) for port in fields['ports']
    ]

    def close_ports() -> None:
        for server in servers:
            server.close()

    kernel.register(
        state.LINKS,
        {
            state.Connect: service.connect,
            state.Disconnect: service.disconnect,
            state.Pass: service.pass_bytes,
            state.LinkFaults: service.set_faults,
            state.GetLinkFaults: service.report_faults,
            state.GetCounters: service.report,
        },
        mailbox_size=_MAILBOX_SIZE,
        on_stop=close_ports,
    )
    return _pages(kernel)


def _pages(kernel: Kernel) -> list[Route]:
    def counters_page(_request: Request) -> Answer:
        return Answer.with_json(ask(kernel, state.LINKS, state.GetCounters()))

    def get_page(_request: Request) -> Answer:
        faults = ask(kernel, state.LINKS, state.GetLinkFaults())
        return Answer.with_json(faults.as_fields())

    def set_page(request: Request) -> Answer:
        present = ask(kernel, state.LINKS, state.GetLinkFaults()).as_fields()
        faults = state.LinkFaults(**{**present, **request.document()})
        return Answer.with_json(ask(kernel, state.LINKS, faults).as_fields())

    return [
        ('GET', '/counters', counters_page),
        ('GET', '/faults', get_page),
        ('POST', '/faults', set_page),
    ]


def _open_port(
    kernel: Kernel,
    port: Port,
    senders: Mapping[str, str],
) -> StreamServer:
    listener = open_listener(Address.from_text(port.listen)).unwrap()
    listener.setsockopt(net.SOL_SOCKET, net.SO_RCVBUF, _BUFFER_BYTES)

    def handle(incoming: net.socket, peer: tuple[str, int]) -> None:
        sender = port.sender or senders.get(peer[0], peer[0])
        connect = state.Connect(sender, port.receiver, gevent.getcurrent())
        admitted = kernel.call(state.LINKS, connect)
        if admitted.is_err():
            return
        # The sender waits one round trip for the connection.
        gevent.sleep(admitted.ok_value.delay_s * 2)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(
                kernel.send, state.LINKS, state.Disconnect(connect)
            )
            # An unreachable target shows as a connection that closes.
            cleanup.enter_context(contextlib.suppress(OSError))
            _relay(kernel, incoming, connect, port.target)

    server = StreamServer(listener, handle)
    server.start()
    return server


def _relay(
    kernel: Kernel,
    incoming: net.socket,
    connect: state.Connect,
    target: Address,
) -> None:
    outgoing = net.create_connection(target.as_tuple(), _CONNECT_TIMEOUT_S)
    outgoing.settimeout(None)
    with contextlib.closing(incoming), contextlib.closing(outgoing):
        for end in (incoming, outgoing):
            end.setsockopt(net.IPPROTO_TCP, net.TCP_NODELAY, 1)
            end.setsockopt(net.SOL_SOCKET, net.SO_SNDBUF, _BUFFER_BYTES)
        there = _passing(kernel, connect.sender, connect.receiver)
        back = _passing(kernel, connect.receiver, connect.sender)
        gevent.joinall(
            [
                gevent.spawn(_pump, incoming, outgoing, there),
                gevent.spawn(_pump, outgoing, incoming, back),
            ]
        )


def _passing(kernel: Kernel, sender: str, receiver: str) -> Callable[..., Any]:
    def pass_bytes(size_bytes: int) -> Any:
        message = state.Pass(sender, receiver, size_bytes)
        return kernel.call(state.LINKS, message, _STALL_MAX_S).unwrap()

    return pass_bytes


def _pump(
    source: net.socket,
    target: net.socket,
    pass_bytes: Callable[..., Any],
) -> None:
    on_way: Queue = Queue(maxsize=_PARTS_IN_FLIGHT)
    writer = gevent.spawn(_write_parts, source, target, on_way)
    if _read_parts(source, on_way, pass_bytes):
        writer.join()
    else:
        writer.kill()


def _read_parts(
    source: net.socket,
    on_way: Queue,
    pass_bytes: Callable[..., Any],
) -> bool:
    """Read to the end of the stream; return False if bytes were lost."""
    now = gevent.get_hub().loop.now
    lost = False
    part = _receive(source)
    while part:
        passage = pass_bytes(len(part))
        lost = lost or passage.lost
        gevent.sleep(passage.wait_s)
        if not lost:
            on_way.put((now() + passage.delay_s, part))
        part = _receive(source)
    if not lost:
        on_way.put((now(), part))
    return not lost


def _write_parts(source: net.socket, target: net.socket, on_way: Queue) -> None:
    """Send parts when they are due, until the empty one that ends a stream.

    After a failure the source is closed and the rest is discarded, so that
    the reader does not wait for a place in the queue.
    """
    now = gevent.get_hub().loop.now
    part = b'-'
    while part:
        due_s, part = on_way.get()
        gevent.sleep(max(0, due_s - now()))
        try:
            _send(target, part)
        except OSError:
            with contextlib.suppress(OSError):
                source.shutdown(net.SHUT_RDWR)


def _receive(source: net.socket) -> bytes:
    try:
        return source.recv(_PART_BYTES)
    except OSError:
        return b''


def _send(target: net.socket, part: bytes) -> None:
    if part:
        target.sendall(part)
    else:
        target.shutdown(net.SHUT_WR)
