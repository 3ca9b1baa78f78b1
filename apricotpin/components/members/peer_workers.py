"""Workers that call peers, each with its own connections."""

from typing import Any

from gevent.queue import Queue
from result import Result

from apricotpin.components.members.const import PEER_TIMEOUT_S
from apricotpin.const import SERVICE_MEMBERS
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.members import PeerCallDone, PeerCallOrder


class PeerWorker:
    """Hold the next order of one worker."""

    __slots__ = ('_orders',)

    def __init__(self) -> None:
        self._orders: Queue = Queue(maxsize=1)

    def offer(self, exchange: PeerCallOrder) -> None:
        """Order an exchange in place of one that has not started yet."""
        if self._orders.full():
            self._orders.get_nowait()
        self._orders.put_nowait(exchange)

    def run(self, kernel: Kernel, source_ip: str) -> None:
        """Carry out orders until killed."""
        client = PeerClient(source_ip)
        for exchange in self._orders:
            outcome = _call(client, exchange)
            kernel.send(SERVICE_MEMBERS, PeerCallDone(exchange, outcome))


def _call(client: PeerClient, exchange: PeerCallOrder) -> Result[Any, Failure]:
    return client.call(
        exchange.address,
        exchange.method,
        exchange.request,
        PEER_TIMEOUT_S,
    )
