"""The fetchers of a transfer: their greenlets, and those that await orders."""

import gevent

from apricotpin.components.weights.fetcher import run_fetcher
from apricotpin.core import Kernel, Reply
from apricotpin.messages.transfers import FetchOrder, Fetcher, GetNextFetch
from apricotpin.settings import Settings

FetcherKey = tuple[int, int]


class WaitingFetcher:
    """Hold a fetcher that awaits an order, and the reply for that order."""

    __slots__ = ('fetcher', 'reply')

    def __init__(self, fetcher: Fetcher, reply: Reply) -> None:
        self.fetcher = fetcher
        self.reply = reply


class FetcherPool:
    """Own the greenlets of the fetchers of one transfer."""

    __slots__ = ('_kernel', '_settings', '_waiting', '_workers')

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._waiting: dict[FetcherKey, WaitingFetcher] = {}
        self._workers: dict[FetcherKey, gevent.Greenlet] = {}

    def start(self, fetcher: Fetcher) -> None:
        """Start the greenlet of a fetcher unless it runs."""
        key = (fetcher.stripe, fetcher.index)
        if key not in self._workers:
            self._workers[key] = self._kernel.spawn(
                run_fetcher,
                self._kernel,
                self._settings,
                fetcher,
            )

    def restart(self, key: FetcherKey, transfer_id: int) -> None:
        """Kill a fetcher's greenlet during its fetch and start a new one."""
        self._workers.pop(key).kill(block=False)
        self.start(Fetcher(transfer_id, *key))

    def stop(self) -> None:
        """Kill all greenlets and forget the waiting fetchers."""
        self._waiting.clear()
        for worker in self._workers.values():
            worker.kill(block=False)
        self._workers.clear()

    def add_waiting(self, message: GetNextFetch, reply: Reply) -> None:
        """Keep the reply to a fetcher until there is an order for it."""
        fetcher = message.fetcher
        self._waiting[fetcher.stripe, fetcher.index] = WaitingFetcher(
            fetcher, reply
        )

    def waiting_fetchers(self) -> list[Fetcher]:
        """Return the waiting fetchers, by window index, then stripe."""
        ordered = sorted(self._waiting, key=lambda key: (key[1], key[0]))
        return [self._waiting[key].fetcher for key in ordered]

    def assign(self, fetcher: Fetcher, order: FetchOrder) -> None:
        """Reply to a waiting fetcher with its order."""
        self._waiting.pop((fetcher.stripe, fetcher.index)).reply.ok(order)
