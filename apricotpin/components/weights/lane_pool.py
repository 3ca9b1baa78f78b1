"""Greenlets that run the lanes of a transfer, and lanes that wait for work."""

import gevent

from apricotpin.components.weights.fetcher import run_lane
from apricotpin.core import Kernel, Reply
from apricotpin.messages.transfers import FetchOrder, GetNextFetch, Lane
from apricotpin.settings import Settings

LaneKey = tuple[int, int]


class WaitingLane:
    """Describe a lane without a fetch and the reply for its next order."""

    __slots__ = ('lane', 'reply')

    def __init__(self, lane: Lane, reply: Reply) -> None:
        self.lane = lane
        self.reply = reply


class LanePool:
    """Own the greenlets that run the lanes of one transfer."""

    __slots__ = ('_greenlets', '_kernel', '_settings', '_waiting')

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._waiting: dict[LaneKey, WaitingLane] = {}
        self._greenlets: dict[LaneKey, gevent.Greenlet] = {}

    def start(self, lane: Lane) -> None:
        """Start the greenlet of a lane unless it runs."""
        key = (lane.stripe, lane.slot)
        if key not in self._greenlets:
            self._greenlets[key] = self._kernel.spawn(
                run_lane,
                self._kernel,
                self._settings,
                lane,
            )

    def restart(self, key: LaneKey, transfer_id: int) -> None:
        """Kill the greenlet of a lane during its fetch and start a new one."""
        self._greenlets.pop(key).kill(block=False)
        self.start(Lane(transfer_id, *key))

    def stop(self) -> None:
        """Kill all greenlets and forget the waiting lanes."""
        self._waiting.clear()
        for greenlet in self._greenlets.values():
            greenlet.kill(block=False)
        self._greenlets.clear()

    def add_waiting(self, message: GetNextFetch, reply: Reply) -> None:
        """Keep the reply to a lane until there is an order for it."""
        lane = message.lane
        self._waiting[lane.stripe, lane.slot] = WaitingLane(lane, reply)

    def waiting_lanes(self) -> list[Lane]:
        """Return the lanes without an order, sorted by slot, then stripe."""
        ordered = sorted(self._waiting, key=lambda key: (key[1], key[0]))
        return [self._waiting[key].lane for key in ordered]

    def assign(self, lane: Lane, order: FetchOrder) -> None:
        """Reply to a waiting lane with its order."""
        self._waiting.pop((lane.stripe, lane.slot)).reply.ok(order)
