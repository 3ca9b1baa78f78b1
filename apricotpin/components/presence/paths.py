"""Measure how much slower than usual the paths between data centres are.

The clocks of hosts differ, so the transit time of a hello is known only up to
a constant: the offset of the two clocks. The minimum over a longer time
stands for an idle link, and the delay of a path is the increase over it.
"""

import statistics
from collections import defaultdict, deque

from apricotpin.components.presence import const
from apricotpin.messages.fleet import EntryHello, PathDelay

_MS_PER_S = 1000


class TransitSample:
    """Hold the time of receipt of a hello and its apparent transit time.

    apparent_s is receive time minus send time, each on the boot-time clock of
    its host, so it contains the offset between the two clocks.
    """

    __slots__ = ('apparent_s', 'received_s')

    def __init__(self, received_s: float, apparent_s: float) -> None:
        self.received_s = received_s
        self.apparent_s = apparent_s


class HostTimings:
    """Hold what is measured of the hellos of one host, and what it reports."""

    __slots__ = ('data_centre', 'reported', 'samples')

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.samples: deque[TransitSample] = deque()
        # Delays that the host measured from each data centre to itself.
        self.reported: list[PathDelay] = []


def record_hello(
    hosts: dict[str, HostTimings],
    hello: EntryHello,
    now_s: float,
) -> None:
    """Record the transit time of a hello; now_s is on the boot-time clock."""
    if not hello.sent_ms:
        return
    timings = hosts.setdefault(hello.host_id, HostTimings(hello.data_centre))
    timings.reported = hello.paths
    sent_s = hello.sent_ms / _MS_PER_S
    timings.samples.append(TransitSample(now_s, now_s - sent_s))
    while timings.samples[0].received_s < now_s - const.PATH_BASELINE_WINDOW_S:
        timings.samples.popleft()


def delays_from(
    hosts: dict[str, HostTimings],
    now_s: float,
) -> dict[str, float]:
    """Return the delay in seconds of datagrams from each data centre.

    It is the median over the hosts there. A single host may be slow itself,
    or may have been known only since the link became congested.
    """
    found = defaultdict(list)
    for timings in hosts.values():
        recent = _recent(timings, now_s)
        if recent:
            baseline_s = min(sample.apparent_s for sample in timings.samples)
            recent_s = min(sample.apparent_s for sample in recent)
            found[timings.data_centre].append(recent_s - baseline_s)
    return {
        data_centre: statistics.median(delays_s)
        for data_centre, delays_s in found.items()
    }


def delays_to(
    hosts: dict[str, HostTimings],
    data_centre: str,
    now_s: float,
) -> dict[str, float]:
    """Return the delay in seconds of datagrams from data_centre to others.

    The hosts of the other data centres measure it and report it in hellos.
    """
    found = defaultdict(list)
    for timings in hosts.values():
        if not _recent(timings, now_s):
            continue
        found[timings.data_centre].extend(
            path.delay_ms / _MS_PER_S
            for path in timings.reported
            if path.data_centre == data_centre
        )
    return {
        other: statistics.median(delays_s)
        for other, delays_s in found.items()
        if delays_s
    }


def round_trip_delays(
    hosts: dict[str, HostTimings],
    data_centre: str,
    now_s: float,
) -> dict[str, float]:
    """Return the sum of both directions' delays for each other data centre."""
    outbound_s = delays_to(hosts, data_centre, now_s)
    inbound_s = delays_from(hosts, now_s)
    return {
        other: outbound_s.get(other, 0) + inbound_s.get(other, 0)
        for other in outbound_s.keys() | inbound_s.keys()
        if other != data_centre
    }


def to_messages(delays_s: dict[str, float]) -> list[PathDelay]:
    """Return delays in the form in which hellos carry them."""
    return [
        PathDelay(data_centre, round(delay_s * _MS_PER_S))
        for data_centre, delay_s in delays_s.items()
    ]


def _recent(timings: HostTimings, now_s: float) -> list[TransitSample]:
    return [
        sample
        for sample in timings.samples
        if sample.received_s >= now_s - const.PATH_RECENT_WINDOW_S
    ]
