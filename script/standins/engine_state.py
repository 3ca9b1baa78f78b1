"""State of the model engine stand-in: versions, fencing number and slots."""

import heapq
from typing import Any, Final

from apricotpin.core import Handlers, Reply
from apricotpin.errors import ErrorKind

ENGINE: Final = 'engine'


class AcquireSlot:
    """Request a slot for a generation; the reply comes when one is free.

    A lower priority value is served first.
    """

    __slots__ = ('priority',)

    def __init__(self, priority: int) -> None:
        self.priority = priority


class ServedVersion:
    """Identify the version that serves an admitted generation."""

    __slots__ = ('digest', 'version')

    def __init__(self, version: str, digest: str) -> None:
        self.version = version
        self.digest = digest


class ReleaseSlot:
    """Return a slot, with the number of tokens that were generated."""

    __slots__ = ('tokens',)

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens


class StoreVersion:
    """Store a version whose bytes matched the digest."""

    __slots__ = ('digest', 'fencing_number', 'model', 'size_bytes', 'version')

    def __init__(
        self,
        model: str,
        version: str,
        digest: str,
        fencing_number: int,
        size_bytes: int,
    ) -> None:
        self.model = model
        self.version = version
        self.digest = digest
        self.fencing_number = fencing_number
        self.size_bytes = size_bytes


class Activate:
    """Serve a stored version from now on."""

    __slots__ = ('fencing_number', 'model', 'version')

    def __init__(self, model: str, version: str, fencing_number: int) -> None:
        self.model = model
        self.version = version
        self.fencing_number = fencing_number


class Order:
    """Execute an order, with or without a check of its fencing number."""

    __slots__ = ('checks_fencing', 'order')

    def __init__(
        self,
        order: StoreVersion | Activate,
        checks_fencing: bool,
    ) -> None:
        self.order = order
        self.checks_fencing = checks_fencing


class GetStatus:
    """Request the active version, fencing number and used slots."""

    __slots__ = ()


class GetCounters:
    """Request the counters of requests, tokens and orders."""

    __slots__ = ()


class EngineLimits:
    """Carry the maximum numbers of running and of queued generations."""

    __slots__ = ('in_flight_max', 'queue_max')

    def __init__(self, in_flight_max: int, queue_max: int) -> None:
        self.in_flight_max = in_flight_max
        self.queue_max = queue_max


class EngineService:
    """Own the stored versions, the slots and the queue of generations."""

    __slots__ = (
        '_active',
        '_counters',
        '_fencing_number',
        '_in_flight',
        '_limits',
        '_queue',
        '_stored',
    )

    def __init__(
        self,
        limits: EngineLimits,
        active: StoreVersion | None = None,
    ) -> None:
        self._limits = limits
        self._active = active
        self._stored: dict[tuple[str, str], StoreVersion] = {}
        if active is not None:
            self._stored[active.model, active.version] = active
        self._fencing_number = -1
        self._in_flight = 0
        self._queue: list[Any] = []
        self._counters = {
            'requests': 0,
            'refused': 0,
            'tokens': 0,
            'load_bytes': 0,
            'orders_refused': 0,
            'activations': 0,
        }

    def acquire_slot(self, message: AcquireSlot, reply: Reply) -> None:
        """Reply when a slot is free; the lowest priority value is first.

        Refuse if the queue is full or no version is active.
        """
        self._counters['requests'] += 1
        is_full = self._in_flight >= self._limits.in_flight_max
        if self._active is None or (
            is_full and len(self._queue) >= self._limits.queue_max
        ):
            self._counters['refused'] += 1
            detail = 'no place is free' if is_full else 'no version is active'
            reply.err(ErrorKind.OVERLOADED, detail)
            return
        # The request count keeps first-in, first-out order within a priority.
        rank = (message.priority, self._counters['requests'])
        heapq.heappush(self._queue, (rank, reply))
        self._admit_queued()

    def release_slot(self, message: ReleaseSlot, reply: Reply) -> None:
        """Free a slot and give it to the next queued generation."""
        self._in_flight -= 1
        self._counters['tokens'] += message.tokens
        self._admit_queued()
        reply.ok()

    def execute_order(self, message: Order, reply: Reply) -> None:
        """Store or activate a version; refuse a stale fencing number."""
        order = message.order
        if isinstance(order, StoreVersion):
            self._counters['load_bytes'] += order.size_bytes
        if message.checks_fencing and self._refuse_if_stale(order, reply):
            return
        if isinstance(order, StoreVersion):
            self._stored[order.model, order.version] = order
            reply.ok({'version': order.version, 'digest': order.digest})
        else:
            self._activate(order, reply)

    def status(self, _message: GetStatus, reply: Reply) -> None:
        """Reply with the active version, fencing number and used slots."""
        active = self._active
        reply.ok(
            {
                'model': active.model if active else '',
                'version': active.version if active else '',
                'digest': active.digest if active else '',
                'fencing_number': self._fencing_number,
                'in_flight': self._in_flight,
            }
        )

    def counters(self, _message: GetCounters, reply: Reply) -> None:
        """Reply with the counters."""
        reply.ok(dict(self._counters))

    def _activate(self, order: Activate, reply: Reply) -> None:
        stored = self._stored.get((order.model, order.version))
        if stored is None:
            detail = f'version {order.version} is not loaded'
            reply.err(ErrorKind.VERSION_UNKNOWN, detail)
            return
        self._active = stored
        self._counters['activations'] += 1
        self._fencing_number = order.fencing_number
        reply.ok({'version': stored.version, 'digest': stored.digest})

    def _refuse_if_stale(
        self, order: StoreVersion | Activate, reply: Reply
    ) -> bool:
        """Refuse a fencing number below the highest one; record a higher one.

        Return whether the order was refused.
        """
        if order.fencing_number >= self._fencing_number:
            self._fencing_number = order.fencing_number
            return False
        self._counters['orders_refused'] += 1
        detail = (
            f'fencing number {order.fencing_number} is below '
            f'{self._fencing_number}'
        )
        reply.err(ErrorKind.ENGINE_REFUSED, detail)
        return True

    def _admit_queued(self) -> None:
        active = self._active
        if active is None:
            return
        while self._queue and self._in_flight < self._limits.in_flight_max:
            _, reply = heapq.heappop(self._queue)
            self._in_flight += 1
            reply.ok(ServedVersion(active.version, active.digest))


def handlers_of(service: EngineService) -> Handlers:
    """Return the message handlers of an engine service."""
    return {
        AcquireSlot: service.acquire_slot,
        ReleaseSlot: service.release_slot,
        Order: service.execute_order,
        GetStatus: service.status,
        GetCounters: service.counters,
    }
