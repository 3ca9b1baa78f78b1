"""Weights of a paced worker: staged pieces, loaded layers and orders.

Whether a layer was loaded from wrong pieces is decided by the bytes alone.
"""

import random
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, Final

import gevent
from gevent.event import Event

from script.standins.platform_worker import LAYERS, PIECES, piece_of

WARM_S: Final = 0.3
# A piece that turned bad this recently is no fault of the loaded layer.
_EXCUSED_S: Final = 3.0
_PIECES_PER_LAYER: Final = PIECES // LAYERS


class PacedWeights:
    """Own a worker's staged pieces, its layers and the orders for them.

    layers holds, for each loaded layer, its version and whether it was loaded
    from wrong pieces. is_draining is set while a load of another version waits
    or runs; it begins when idle is set. break_off ends running requests.
    """

    __slots__ = (
        '_fence',
        '_spoilt_s',
        'bad_layers',
        'break_off',
        'idle',
        'is_busy',
        'is_draining',
        'layers',
        'log',
        'on_change',
        'sequence',
        'staged',
    )

    def __init__(self, version: int, break_off: Callable[[], None]) -> None:
        self.staged = {
            index: piece_of(version, index) for index in range(PIECES)
        }
        self._spoilt_s: dict[int, float] = {}
        self.break_off = break_off
        self.on_change: Callable[[], None] = _ignore
        self.bad_layers = 0
        self.log: list[str] = []
        self.idle = Event()
        self.forget()
        self.layers = {layer: (version, False) for layer in range(LAYERS)}

    def forget(self) -> None:
        """Forget all but the staged pieces, as a restart does."""
        self.note('started')
        # A load that waits for the end of requests ends with the restart.
        self.idle.set()
        self.idle = Event()
        self.idle.set()
        self.layers: dict[int, tuple[int, bool]] = {}
        self.sequence = 0
        self._fence = 0
        self.is_busy = False
        self.is_draining = False

    def stage(self, index: int, content: bytes) -> None:
        """Put a piece in place, unchecked."""
        self.staged[index] = content
        self._spoilt_s.pop(index, None)

    def spoil(self, rng: random.Random) -> None:
        """Turn one staged piece bad."""
        index = rng.randrange(PIECES)
        if index not in self._spoilt_s:
            self.staged[index] = bytes(reversed(self.staged[index]))
            self._spoilt_s[index] = time.monotonic()

    def is_token_bad(self) -> bool:
        """Return whether a token made now has a bad layer or two versions."""
        versions = {version for version, _ in self.layers.values()}
        return len(versions) != 1 or any(
            is_bad for _, is_bad in self.layers.values()
        )

    def note(self, text: str) -> None:
        """Add a line with the time of day to the log."""
        now = datetime.now(UTC).isoformat(timespec='milliseconds')
        self.log.append(f'time={now} {text}')

    def report(self) -> dict[str, Any]:
        """Return the weights that the worker reports as loaded."""
        ranges: list[dict[str, int]] = []
        for layer in sorted(self.layers):
            version = self.layers[layer][0]
            last = ranges[-1] if ranges else {'to': -1, 'version': 0}
            if (last['to'], last['version']) == (layer, version):
                last['to'] += 1
            else:
                ranges.append(
                    {'source': layer, 'to': layer + 1, 'version': version}
                )
        models = [
            {'name': 'm', 'version': span['version']} for span in ranges[:1]
        ]
        return {'models': models, 'layers': ranges, 'sequence': self.sequence}

    def accept(self, order: dict[str, Any]) -> int:
        """Begin an order if it fits; return the status of the response."""
        status = self._begin(order)
        self.note(f'order status={status} {order}')
        return status

    def _begin(self, order: dict[str, Any]) -> int:
        fence = int(order.get('fencing_token', self._fence))
        if order.get('operation') != 'start':
            return 400
        if fence < self._fence:
            return 412
        self._fence = fence
        if order.get('precondition', self.sequence) != self.sequence:
            return 409
        version = int(order['version'])
        layers = range(order.get('source', 0), order.get('to', LAYERS))
        if self.is_busy:
            return 409
        if all(self.layers.get(one, (0,))[0] == version for one in layers):
            return 200
        self.sequence += 1
        self.is_busy = True
        # The staged pieces count as they are when the order is accepted.
        loaded = {one: (version, self._is_bad(one, version)) for one in layers}
        bad = [layer for layer in loaded if loaded[layer][1]]
        self.bad_layers += len(bad)
        self.note(f'accepted version={version} bad_layers={bad}')
        gevent.spawn(self._load, loaded, version, order.get('mode'))
        return 202

    def _is_bad(self, layer: int, version: int) -> bool:
        now_s = time.monotonic()
        first = layer * _PIECES_PER_LAYER
        return any(
            self.staged[index] != piece_of(version, index)
            and now_s - self._spoilt_s.get(index, 0) > _EXCUSED_S
            for index in range(first, first + _PIECES_PER_LAYER)
        )

    def _load(self, loaded: Any, version: int, mode: str | None) -> None:
        idle = self.idle
        if any(held != version for held, _ in self.layers.values()):
            self.is_draining = True
            if mode == 'truncate':
                self.break_off()
            idle.wait()
            if idle is not self.idle:
                return
            self.layers = {}
            self.note('dropped all layers')
            self.on_change()
        gevent.sleep(WARM_S * len(loaded) / LAYERS)
        if idle is self.idle:
            self.layers = {**self.layers, **loaded}
            self.note(f'loaded version={version}')
            self.is_busy = False
            self.is_draining = False
            self.on_change()


def _ignore() -> None:
    """Do nothing when layers change."""
