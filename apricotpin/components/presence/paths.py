"""How much slower than usual the paths between data centres are.

Clocks of hosts differ, so only the change of the time between a greeting's
sending and its arrival tells anything: the least of it over some time is that
of an empty link.
"""

import statistics
from collections import defaultdict, deque

from apricotpin.components.presence import const
from apricotpin.messages.fleet import EntryHello, PathDelay

_MS_PER_S = 1000


class Sample:
    """Hold when a greeting came and how far apart the two clocks were."""

    __slots__ = ('came_s', 'offset_s')

    def __init__(self, came_s: float, offset_s: float) -> None:
        self.came_s = came_s
        self.offset_s = offset_s


class Heard:
    """Hold the greetings of one host."""

    __slots__ = ('data_centre', 'samples', 'told')

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.samples: deque[Sample] = deque()
        # What the host measured of datagrams from each data centre.
        self.told: list[PathDelay] = []


def note_greeting(
    hosts: dict[str, Heard],
    hello: EntryHello,
    now_s: float,
) -> None:
    """Take a greeting; now_s is of the clock that counts suspensions."""
    if not hello.sent_ms:
        return
    heard = hosts.setdefault(hello.host_id, Heard(hello.data_centre))
    heard.told = hello.paths
    sent_s = hello.sent_ms / _MS_PER_S
    heard.samples.append(Sample(now_s, now_s - sent_s))
    while heard.samples[0].came_s < now_s - const.PATH_BASE_S:
        heard.samples.popleft()


def delays_from(hosts: dict[str, Heard], now_s: float) -> dict[str, float]:
    """Return the delay in seconds of what comes from each data centre.

    The median of its hosts, as one of them may be late by itself, or known
    only since the link filled.
    """
    found = defaultdict(list)
    for heard in hosts.values():
        recent = _recent(heard, now_s)
        if recent:
            usual_s = min(sample.offset_s for sample in heard.samples)
            latest_s = min(sample.offset_s for sample in recent)
            found[heard.data_centre].append(latest_s - usual_s)
    return {place: statistics.median(few) for place, few in found.items()}


def delays_to(
    hosts: dict[str, Heard],
    data_centre: str,
    now_s: float,
) -> dict[str, float]:
    """Return the delay in seconds of what goes from a data centre to others.

    The hosts there measure it, and tell it by their greetings.
    """
    found = defaultdict(list)
    for heard in hosts.values():
        if not _recent(heard, now_s):
            continue
        found[heard.data_centre].extend(
            path.delay_ms / _MS_PER_S
            for path in heard.told
            if path.data_centre == data_centre
        )
    return {
        place: statistics.median(few) for place, few in found.items() if few
    }


def round_trips(
    hosts: dict[str, Heard],
    data_centre: str,
    now_s: float,
) -> dict[str, float]:
    """Return the delay in seconds to and from each other data centre."""
    there = delays_to(hosts, data_centre, now_s)
    back = delays_from(hosts, now_s)
    return {
        place: there.get(place, 0) + back.get(place, 0)
        for place in there.keys() | back.keys()
        if place != data_centre
    }


def as_told(delays_s: dict[str, float]) -> list[PathDelay]:
    """Return delays as greetings tell them."""
    return [
        PathDelay(place, round(delay_s * _MS_PER_S))
        for place, delay_s in delays_s.items()
    ]


def _recent(heard: Heard, now_s: float) -> list[Sample]:
    return [
        sample
        for sample in heard.samples
        if sample.came_s >= now_s - const.PATH_RECENT_S
    ]
