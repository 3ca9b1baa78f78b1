"""Rate-limited links between hosts and regions: counters and faults."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

import gevent

from apricotpin.core import Reply
from apricotpin.errors import ErrorKind
from script.standins.pacing import TokenBucket

LINKS: Final = 'links'
# Allows a link to catch up after a greenlet was scheduled late. On a busy
# machine, 81 links of 1 MB/s carried 0.82 MB/s each with 0.05 s, and the full
# rate with 0.2 s.
_BURST_S: Final = 0.2


class LinkHost:
    """Describe a host and the rates of its uplink and downlink in bytes/s."""

    __slots__ = (
        'data_centre',
        'down_bytes_per_s',
        'host_id',
        'ip',
        'region',
        'up_bytes_per_s',
    )

    def __init__(self, fields: Mapping[str, Any]) -> None:
        self.host_id: str = fields['host_id']
        self.ip: str = fields['ip']
        self.region: str = fields['region']
        self.data_centre: str = fields['data_centre']
        self.up_bytes_per_s: float = fields['up_bytes_per_s']
        self.down_bytes_per_s: float = fields['down_bytes_per_s']


class LinkPlan:
    """Describe the hosts, link rates and delays; a rate of 0 means no limit.

    shared_bytes_per_s is the rate of each region's link to other regions, in
    each direction. A delay is added when the path leaves the region or the
    data centre.
    """

    __slots__ = (
        'data_centre_delay_s',
        'hosts',
        'region_delay_s',
        'shared_bytes_per_s',
    )

    def __init__(self, fields: Mapping[str, Any]) -> None:
        hosts = [LinkHost(host) for host in fields['hosts']]
        self.hosts = {host.host_id: host for host in hosts}
        self.shared_bytes_per_s: float = fields['shared_bytes_per_s']
        self.region_delay_s: float = fields['region_delay_s']
        self.data_centre_delay_s: float = fields['data_centre_delay_s']

    def regions(self) -> list[str]:
        """Return the names of all regions."""
        return sorted({host.region for host in self.hosts.values()})

    def delay_s(self, sender: str, receiver: str) -> float:
        """Return the one-way delay in seconds.

        It is 0 if either side is not a host of the plan, such as a caller.
        """
        if sender not in self.hosts or receiver not in self.hosts:
            return 0
        source, target = self.hosts[sender], self.hosts[receiver]
        delay_s: float = 0
        if source.region != target.region:
            delay_s += self.region_delay_s
        if source.data_centre != target.data_centre:
            delay_s += self.data_centre_delay_s
        return delay_s

    def crossed_regions(
        self, sender: str, receiver: str
    ) -> tuple[str, str] | None:
        """Return the regions that a path leaves and enters, if they differ.

        Return None within a region or if either side is not in the plan.
        """
        if sender not in self.hosts or receiver not in self.hosts:
            return None
        region_left = self.hosts[sender].region
        region_entered = self.hosts[receiver].region
        return (
            None
            if region_left == region_entered
            else (region_left, region_entered)
        )


class LinkFaults:
    """List the hosts and regions whose traffic is cut, stalled or dropped.

    A region's name affects only the traffic that enters or leaves the region.
    With cut, open connections are reset and new ones are closed. With stall,
    bytes wait until the fault is removed. With drop, bytes are lost, and
    connections that lost bytes stay silent also after the fault is removed.
    """

    __slots__ = ('cut', 'drop', 'stall')

    def __init__(
        self,
        cut: list[str],
        stall: list[str],
        drop: list[str],
    ) -> None:
        self.cut = cut
        self.stall = stall
        self.drop = drop

    def as_fields(self) -> dict[str, list[str]]:
        """Return the names of hosts and regions by kind of fault."""
        return {name: getattr(self, name) for name in self.__slots__}


class RegisterConnection:
    """Register a connection and the greenlet that relays it."""

    __slots__ = ('greenlet', 'receiver', 'sender')

    def __init__(
        self,
        sender: str,
        receiver: str,
        greenlet: gevent.Greenlet,
    ) -> None:
        self.sender = sender
        self.receiver = receiver
        self.greenlet = greenlet


class UnregisterConnection:
    """Remove a connection that has ended."""

    __slots__ = ('connection',)

    def __init__(self, connection: RegisterConnection) -> None:
        self.connection = connection


class ReserveTransfer:
    """Request when bytes may be sent; a stalled link delays the reply."""

    __slots__ = ('receiver', 'sender', 'size_bytes')

    def __init__(self, sender: str, receiver: str, size_bytes: int) -> None:
        self.sender = sender
        self.receiver = receiver
        self.size_bytes = size_bytes


class TransferDelay:
    """Describe the delays of a transfer, or its loss.

    wait_s is the time that the rate limits impose before the bytes are sent;
    delay_s is the one-way delay of the path.
    """

    __slots__ = ('delay_s', 'is_lost', 'wait_s')

    def __init__(
        self,
        wait_s: float,
        delay_s: float,
        is_lost: bool = False,
    ) -> None:
        self.wait_s = wait_s
        self.delay_s = delay_s
        self.is_lost = is_lost


class GetCounters:
    """Request the bytes transferred and the number of open connections."""

    __slots__ = ()


class LinkService:
    """Own the buckets, the counters, the faults and the open connections."""

    __slots__ = (
        '_buckets',
        '_clock',
        '_connections',
        '_faults',
        '_plan',
        '_sent_bytes',
        '_stalled',
    )

    def __init__(self, plan: LinkPlan, clock: Callable[[], float]) -> None:
        self._plan = plan
        self._clock = clock
        self._faults = LinkFaults([], [], [])
        self._connections: set[RegisterConnection] = set()
        self._stalled: list[tuple[ReserveTransfer, Reply]] = []
        self._buckets = dict(_buckets_of(plan))
        self._sent_bytes = dict.fromkeys(self._buckets, 0)

    def register_connection(
        self, message: RegisterConnection, reply: Reply
    ) -> None:
        """Accept a connection unless its path is cut."""
        if self._is_affected(
            self._faults.cut, message.sender, message.receiver
        ):
            reply.err(ErrorKind.PEER_UNAVAILABLE, 'cut')
            return
        self._connections.add(message)
        delay_s = self._plan.delay_s(message.sender, message.receiver)
        reply.ok(TransferDelay(delay_s, delay_s))

    def unregister_connection(
        self, message: UnregisterConnection, reply: Reply
    ) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(message.connection)
        reply.ok()

    def set_faults(self, message: LinkFaults, reply: Reply) -> None:
        """Replace the faults: close cut connections, resume stalled ones."""
        known = set(self._plan.hosts)
        known.update(self._plan.regions())
        named = {*message.cut, *message.stall, *message.drop}
        if not named <= known:
            unknown = sorted(named - known)
            reply.err(ErrorKind.UNKNOWN_NAME, f'no such links: {unknown}')
            return
        self._faults = message
        for connection in list(self._connections):
            if self._is_affected(
                message.cut, connection.sender, connection.receiver
            ):
                connection.greenlet.kill(block=False)
        stalled = self._stalled
        self._stalled = []
        for transfer, transfer_reply in stalled:
            self.reserve_transfer(transfer, transfer_reply)
        reply.ok(message)

    def report_faults(self, _message: 'GetLinkFaults', reply: Reply) -> None:
        """Reply with the current faults."""
        reply.ok(self._faults)

    def reserve_transfer(self, message: ReserveTransfer, reply: Reply) -> None:
        """Reserve bytes on each link of their path and count them."""
        sender, receiver = message.sender, message.receiver
        if self._is_affected(self._faults.drop, sender, receiver):
            reply.ok(TransferDelay(0, 0, is_lost=True))
            return
        if self._is_affected(self._faults.stall, sender, receiver):
            self._stalled.append((message, reply))
            return
        now_s = self._clock()
        wait_s: float = 0
        for name in _links_on_path(self._plan, sender, receiver):
            bucket = self._buckets.get(name)
            if bucket is not None:
                self._sent_bytes[name] += message.size_bytes
                link_wait_s = bucket.reserve(message.size_bytes, now_s)
                wait_s = max(wait_s, link_wait_s)
        reply.ok(TransferDelay(wait_s, self._plan.delay_s(sender, receiver)))

    def report_counters(self, _message: GetCounters, reply: Reply) -> None:
        """Reply with bytes by host, region and direction."""
        counters: dict[str, Any] = {'hosts': {}, 'regions': {}}
        for (kind, name, direction), sent_bytes in self._sent_bytes.items():
            counters[kind].setdefault(name, {})[direction] = sent_bytes
        counters['connections'] = len(self._connections)
        reply.ok(counters)

    def _is_affected(
        self, names: list[str], sender: str, receiver: str
    ) -> bool:
        if not names:
            return False
        if sender in names or receiver in names:
            return True
        crossed = self._plan.crossed_regions(sender, receiver)
        return crossed is not None and not set(names).isdisjoint(crossed)


class GetLinkFaults:
    """Request the current faults."""

    __slots__ = ()


LinkName = tuple[str, str, str]


def _buckets_of(plan: LinkPlan) -> Iterator[tuple[LinkName, TokenBucket]]:
    for host in plan.hosts.values():
        up = TokenBucket(host.up_bytes_per_s, _BURST_S)
        down = TokenBucket(host.down_bytes_per_s, _BURST_S)
        yield ('hosts', host.host_id, 'up_bytes'), up
        yield ('hosts', host.host_id, 'down_bytes'), down
    for region in plan.regions():
        for direction in ('out_bytes', 'in_bytes'):
            shared = TokenBucket(plan.shared_bytes_per_s, _BURST_S)
            yield ('regions', region, direction), shared


def _links_on_path(
    plan: LinkPlan,
    sender: str,
    receiver: str,
) -> Iterator[LinkName]:
    yield ('hosts', sender, 'up_bytes')
    yield ('hosts', receiver, 'down_bytes')
    crossed = plan.crossed_regions(sender, receiver)
    if crossed is not None:
        yield ('regions', crossed[0], 'out_bytes')
        yield ('regions', crossed[1], 'in_bytes')
