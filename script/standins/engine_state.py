"""Versions, fencing number and admission of the model engine stand-in."""

import heapq
from typing import Any, Final

from apricotpin.core import Handlers, Reply
from apricotpin.errors import ErrorKind

ENGINE: Final = 'engine'


class Admit:
    """Ask to run a generation; the reply comes when a place is free."""

    __slots__ = ('priority',)

    def __init__(self, priority: int) -> None:
        self.priority = priority


class Generation:
    """Name the version that serves an admitted generation."""

    __slots__ = ('digest', 'version')

    def __init__(self, version: str, digest: str) -> None:
        self.version = version
        self.digest = digest


class Release:
    """Give a place back."""

    __slots__ = ('tokens',)

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens


class StoreVersion:
    """Hold a version whose digest was checked."""

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
    """Serve a version that is held."""

    __slots__ = ('fencing_number', 'model', 'version')

    def __init__(self, model: str, version: str, fencing_number: int) -> None:
        self.model = model
        self.version = version
        self.fencing_number = fencing_number


class Order:
    """Carry out an order, with or without a check of its fencing number."""

    __slots__ = ('checks_fencing', 'order')

    def __init__(
        self,
        order: StoreVersion | Activate,
        checks_fencing: bool,
    ) -> None:
        self.order = order
        self.checks_fencing = checks_fencing


class GetStatus:
    """Ask what the engine serves."""

    __slots__ = ()


class GetCounters:
    """Ask for the counters."""

    __slots__ = ()


class EngineLimits:
    """Hold the settings of an engine; in_flight_max and queue_max count."""

    __slots__ = ('in_flight_max', 'queue_max')

    def __init__(self, in_flight_max: int, queue_max: int) -> None:
        self.in_flight_max = in_flight_max
        self.queue_max = queue_max


class EngineService:
    """Own the versions held, the places and the waiting generations."""

    __slots__ = (
        '_active',
        '_counters',
        '_fencing_number',
        '_held',
        '_in_flight',
        '_limits',
        '_waiting',
    )

    def __init__(
        self,
        limits: EngineLimits,
        active: StoreVersion | None = None,
    ) -> None:
        self._limits = limits
        self._active = active
        self._held: dict[tuple[str, str], StoreVersion] = {}
        if active is not None:
            self._held[active.model, active.version] = active
        self._fencing_number = -1
        self._in_flight = 0
        self._waiting: list[Any] = []
        self._counters = {
            'requests': 0,
            'refused': 0,
            'tokens': 0,
            'load_bytes': 0,
            'orders_refused': 0,
            'activations': 0,
        }

    def admit(self, message: Admit, reply: Reply) -> None:
        """Give a place now or later, the most urgent priority first."""
        self._counters['requests'] += 1
        full = self._in_flight >= self._limits.in_flight_max
        if self._active is None or (
            full and len(self._waiting) >= self._limits.queue_max
        ):
            self._counters['refused'] += 1
            detail = 'no place is free' if full else 'no version is active'
            reply.err(ErrorKind.OVERLOADED, detail)
            return
        # The count of requests keeps the order within a priority.
        rank = (message.priority, self._counters['requests'])
        heapq.heappush(self._waiting, (rank, reply))
        self._start_waiting()

    def release(self, message: Release, reply: Reply) -> None:
        """Take a place back and give it to the next that waits."""
        self._in_flight -= 1
        self._counters['tokens'] += message.tokens
        self._start_waiting()
        reply.ok()

    def carry_out(self, message: Order, reply: Reply) -> None:
        """Hold or serve a version, unless the fencing number is too low."""
        order = message.order
        if isinstance(order, StoreVersion):
            self._counters['load_bytes'] += order.size_bytes
        if message.checks_fencing and self._is_old(order, reply):
            return
        if isinstance(order, StoreVersion):
            self._held[order.model, order.version] = order
            reply.ok({'version': order.version, 'digest': order.digest})
        else:
            self._activate(order, reply)

    def status(self, _message: GetStatus, reply: Reply) -> None:
        """Answer with what is served."""
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
        """Answer with the counters."""
        reply.ok(dict(self._counters))

    def _activate(self, order: Activate, reply: Reply) -> None:
        held = self._held.get((order.model, order.version))
        if held is None:
            detail = f'version {order.version} is not loaded'
            reply.err(ErrorKind.VERSION_UNKNOWN, detail)
            return
        self._active = held
        self._counters['activations'] += 1
        self._fencing_number = order.fencing_number
        reply.ok({'version': held.version, 'digest': held.digest})

    def _is_old(self, order: StoreVersion | Activate, reply: Reply) -> bool:
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

    def _start_waiting(self) -> None:
        active = self._active
        if active is None:
            return
        while self._waiting and self._in_flight < self._limits.in_flight_max:
            _, reply = heapq.heappop(self._waiting)
            self._in_flight += 1
            reply.ok(Generation(active.version, active.digest))


def handlers_of(service: EngineService) -> Handlers:
    """Return the handlers to register for an engine."""
    return {
        Admit: service.admit,
        Release: service.release,
        Order: service.carry_out,
        GetStatus: service.status,
        GetCounters: service.counters,
    }
