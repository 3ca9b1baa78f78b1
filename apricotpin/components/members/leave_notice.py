"""Wait until peers have been told that this host leaves."""

from gevent.event import Event

from apricotpin.const import HOST_LEAVING
from apricotpin.messages.hosts import Heartbeat
from apricotpin.messages.members import PeerCallOrder


class LeaveNotice:
    """Count the heartbeats that still have to report leaving."""

    __slots__ = ('_finished', '_waiting_for')

    def __init__(self) -> None:
        self._finished = Event()
        self._waiting_for = 0

    def expect(self, exchanges: list[PeerCallOrder]) -> None:
        """Wait for the answers to these heartbeats."""
        self._waiting_for = len(exchanges)
        if not exchanges:
            self._finished.set()

    def note_answer(self, exchange: PeerCallOrder) -> None:
        """Count an answer to a heartbeat that reported leaving."""
        request = exchange.request
        if not isinstance(request, Heartbeat):
            return
        if request.host.state == HOST_LEAVING and self._waiting_for:
            self._waiting_for -= 1
            if not self._waiting_for:
                self._finished.set()

    def wait(self, timeout_s: float) -> None:
        """Block until all answers arrived, at most timeout_s."""
        self._finished.wait(timeout_s)
