"""Wait until peers have been notified that this host is leaving."""

from gevent.event import Event

from apricotpin.const import HOST_LEAVING
from apricotpin.messages.hosts import Heartbeat
from apricotpin.messages.members import PeerCallOrder


class LeaveNotice:
    """Track the calls that notify peers that this host is leaving."""

    __slots__ = ('_all_ended', '_pending_count')

    def __init__(self) -> None:
        self._all_ended = Event()
        self._pending_count = 0

    def expect_results(self, orders: list[PeerCallOrder]) -> None:
        """Set the heartbeats whose results wait() waits for."""
        self._pending_count = len(orders)
        if not orders:
            self._all_ended.set()

    def record_result(self, order: PeerCallOrder) -> None:
        """Record that a call ended, if it reported the state `leaving`."""
        request = order.request
        if not isinstance(request, Heartbeat):
            return
        if request.host.state == HOST_LEAVING and self._pending_count:
            self._pending_count -= 1
            if not self._pending_count:
                self._all_ended.set()

    def wait(self, timeout_s: float) -> None:
        """Block until all expected calls have ended, at most timeout_s."""
        self._all_ended.wait(timeout_s)
