"""Tasks that call peers, each with its own connections."""

from typing import Any

from gevent.queue import Queue
from result import Result

from apricotpin.components.members.const import PEER_TIMEOUT_S
from apricotpin.const import SERVICE_MEMBERS
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.members import PeerCallDone, PeerCallOrder


class PeerCallTask:
    """Carry out peer calls one after the other, with one order waiting."""

    __slots__ = ('_orders',)

    def __init__(self) -> None:
        self._orders: Queue = Queue(maxsize=1)

    def submit(self, order: PeerCallOrder) -> None:
        """Submit an order; it replaces one that has not been started yet."""
        if self._orders.full():
            self._orders.get_nowait()
        self._orders.put_nowait(order)

    def run(self, kernel: Kernel, source_ip: str) -> None:
        """Carry out orders and report their outcomes until killed."""
        client = PeerClient(source_ip)
        for order in self._orders:
            outcome = _call(client, order)
            kernel.send(SERVICE_MEMBERS, PeerCallDone(order, outcome))


def _call(client: PeerClient, order: PeerCallOrder) -> Result[Any, Failure]:
    return client.call(
        order.address,
        order.method,
        order.request,
        PEER_TIMEOUT_S,
    )
