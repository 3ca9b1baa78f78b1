"""The fetch workers of the current transfer and those that wait."""

import gevent

from apricotpin.components.weights.fetcher import run_lane
from apricotpin.core import Kernel, Reply
from apricotpin.messages.transfers import FetchOrder, GetNextFetch, Lane
from apricotpin.settings import Settings

LaneKey = tuple[int, int]


class WaitingLane:
    """Hold a lane that has no fetch and where its next order goes."""

    __slots__ = ('lane', 'reply')

    def __init__(self, lane: Lane, reply: Reply) -> None:
        self.lane = lane
        self.reply = reply


class WorkerPool:
    """Own the worker greenlets of one transfer."""

    __slots__ = ('_kernel', '_settings', '_waiting', '_workers')

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._waiting: dict[LaneKey, WaitingLane] = {}
        self._workers: dict[LaneKey, gevent.Greenlet] = {}

    def start(self, lane: Lane) -> None:
        """Start the worker of a lane unless it runs."""
        key = (lane.stripe, lane.slot)
        if key not in self._workers:
            self._workers[key] = self._kernel.spawn(
                run_lane,
                self._kernel,
                self._settings,
                lane,
            )

    def restart(self, key: LaneKey, transfer_id: int) -> None:
        """End the worker of a lane in mid-fetch and start another."""
        self._workers.pop(key).kill(block=False)
        self.start(Lane(transfer_id, *key))

    def stop(self) -> None:
        """End all workers."""
        self._waiting.clear()
        for worker in self._workers.values():
            worker.kill(block=False)
        self._workers.clear()

    def wait(self, message: GetNextFetch, reply: Reply) -> None:
        """Keep a lane until there is an order for it."""
        lane = message.lane
        self._waiting[lane.stripe, lane.slot] = WaitingLane(lane, reply)

    def waiting(self) -> list[Lane]:
        """Return the lanes without an order, first places first."""
        ordered = sorted(self._waiting, key=lambda key: (key[1], key[0]))
        return [self._waiting[key].lane for key in ordered]

    def give(self, lane: Lane, order: FetchOrder) -> None:
        """Hand an order to a waiting lane."""
        self._waiting.pop((lane.stripe, lane.slot)).reply.ok(order)
