"""Decide which hellos are due at a tick.

With a hello to every host in each period, the datagrams of a fleet would grow
with the square of its size. A host therefore sends a bounded number of hellos
to other data centres in a period, and says in each hello when the next comes.
"""

import zlib
from collections.abc import Iterable

from apricotpin.components.presence import const


class Receiver:
    """Hold the address of a host that gets hellos, and its data centre."""

    __slots__ = ('address', 'is_local')

    def __init__(self, address: str, is_local: bool) -> None:
        self.address = address
        self.is_local = is_local


class HelloSchedule:
    """Hold in how many ticks each local and each remote host gets a hello."""

    __slots__ = ('local_ticks', 'remote_ticks')

    def __init__(self, local_ticks: int, remote_ticks: int) -> None:
        self.local_ticks = local_ticks
        self.remote_ticks = remote_ticks

    def ticks_of(self, is_local: bool) -> int:
        """Return in how many ticks a host gets one hello."""
        return self.local_ticks if is_local else self.remote_ticks

    def period_ms(self, is_local: bool) -> int:
        """Return the time between two hellos to a host."""
        return round(self.ticks_of(is_local) * const.HELLO_PERIOD_S * 1000)


def schedule_to_entry_hosts(remote_count: int) -> HelloSchedule:
    """Return the schedule of the hellos to other entry hosts."""
    return HelloSchedule(const.SLOW_HELLO_TICKS, _remote_ticks(remote_count))


def schedule_to_agents(
    local_entry_hosts: int, remote_count: int
) -> HelloSchedule:
    """Return the schedule of the hellos to agents.

    The entry hosts of a data centre share the hellos to its agents.
    """
    local_ticks = -(-local_entry_hosts // const.LOCAL_SENDERS_PER_TICK)
    return HelloSchedule(
        min(max(1, local_ticks), const.SLOW_HELLO_TICKS),
        _remote_ticks(remote_count),
    )


def select_due(
    receivers: Iterable[Receiver],
    schedule: HelloSchedule,
    own_id: str,
    tick: int,
) -> list[Receiver]:
    """Return the hosts to which a hello is due at a tick.

    Hosts that start together tick together; the hash spreads their hellos.
    """
    due = []
    for receiver in receivers:
        ticks = schedule.ticks_of(receiver.is_local)
        place = zlib.crc32(f'{own_id} {receiver.address}'.encode())
        if (place + tick) % ticks == 0:
            due.append(receiver)
    return due


def _remote_ticks(remote_count: int) -> int:
    rounds = max(1, -(-remote_count // const.REMOTE_HELLOS_MAX))
    return rounds * const.SLOW_HELLO_TICKS
