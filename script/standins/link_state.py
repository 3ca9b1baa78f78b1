"""Paced links between hosts and regions: buckets, counters and faults."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

import gevent

from apricotpin.core import Reply
from apricotpin.errors import ErrorKind
from script.standins.pacing import Bucket

LINKS: Final = 'links'
# Lets a link catch up after a greenlet woke late; with 0.05 s on a busy
# machine 81 links of 1 MB/s carried 0.82 MB/s each, with 0.2 s the full rate.
_BURST_S: Final = 0.2


class LinkHost:
    """Describe a host and the rates of its own link in bytes/s."""

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
    """Describe all links; a rate of 0 means no limit."""

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
        """Return the one-way delay; callers without an address have none."""
        if sender not in self.hosts or receiver not in self.hosts:
            return 0
        source, target = self.hosts[sender], self.hosts[receiver]
        delay_s: float = 0
        if source.region != target.region:
            delay_s += self.region_delay_s
        if source.data_centre != target.data_centre:
            delay_s += self.data_centre_delay_s
        return delay_s

    def crosses(self, sender: str, receiver: str) -> tuple[str, str] | None:
        """Return the regions left and entered, or None within one region."""
        if sender not in self.hosts or receiver not in self.hosts:
            return None
        left = self.hosts[sender].region
        entered = self.hosts[receiver].region
        return None if left == entered else (left, entered)


class LinkFaults:
    """Hold the names of hosts and regions that are cut, stalled or dropped.

    A region is affected where traffic enters or leaves it. Cut connections
    are reset and new ones closed. Stalled bytes wait. Dropped bytes are lost,
    and their connections stay silent for good.
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
        """Return the names by kind of fault."""
        return {name: getattr(self, name) for name in self.__slots__}


class Connect:
    """Announce a connection and the greenlet that serves it."""

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


class Disconnect:
    """Announce the end of a connection."""

    __slots__ = ('connect',)

    def __init__(self, connect: Connect) -> None:
        self.connect = connect


class Pass:
    """Ask when bytes may pass; the reply is held while the link stalls."""

    __slots__ = ('receiver', 'sender', 'size_bytes')

    def __init__(self, sender: str, receiver: str, size_bytes: int) -> None:
        self.sender = sender
        self.receiver = receiver
        self.size_bytes = size_bytes


class Passage:
    """Tell how long bytes take, or that they are lost."""

    __slots__ = ('delay_s', 'lost', 'wait_s')

    def __init__(
        self,
        wait_s: float,
        delay_s: float,
        lost: bool = False,
    ) -> None:
        self.wait_s = wait_s
        self.delay_s = delay_s
        self.lost = lost


class GetCounters:
    """Ask for the bytes carried so far."""

    __slots__ = ()


class LinkService:
    """Own the buckets, the counters, the faults and the open connections."""

    __slots__ = (
        '_buckets',
        '_clock',
        '_connections',
        '_faults',
        '_plan',
        '_sent',
        '_stalled',
    )

    def __init__(self, plan: LinkPlan, clock: Callable[[], float]) -> None:
        self._plan = plan
        self._clock = clock
        self._faults = LinkFaults([], [], [])
        self._connections: set[Connect] = set()
        self._stalled: list[tuple[Pass, Reply]] = []
        self._buckets = dict(_buckets_of(plan))
        self._sent = dict.fromkeys(self._buckets, 0)

    def connect(self, message: Connect, reply: Reply) -> None:
        """Admit a connection unless the link is cut."""
        if self._affects(self._faults.cut, message.sender, message.receiver):
            reply.err(ErrorKind.PEER_UNAVAILABLE, 'cut')
            return
        self._connections.add(message)
        delay_s = self._plan.delay_s(message.sender, message.receiver)
        reply.ok(Passage(delay_s, delay_s))

    def disconnect(self, message: Disconnect, reply: Reply) -> None:
        """Forget a connection."""
        self._connections.discard(message.connect)
        reply.ok()

    def set_faults(self, message: LinkFaults, reply: Reply) -> None:
        """Change the faults: end cut connections, go on with stalled ones."""
        known = set(self._plan.hosts)
        known.update(self._plan.regions())
        named = {*message.cut, *message.stall, *message.drop}
        if not named <= known:
            unknown = sorted(named - known)
            reply.err(ErrorKind.UNKNOWN_NAME, f'no such links: {unknown}')
            return
        self._faults = message
        for connect in list(self._connections):
            if self._affects(message.cut, connect.sender, connect.receiver):
                connect.greenlet.kill(block=False)
        stalled = self._stalled
        self._stalled = []
        for waiting, waiting_reply in stalled:
            self.pass_bytes(waiting, waiting_reply)
        reply.ok(message)

    def report_faults(self, _message: 'GetLinkFaults', reply: Reply) -> None:
        """Answer with the faults."""
        reply.ok(self._faults)

    def pass_bytes(self, message: Pass, reply: Reply) -> None:
        """Commit bytes to each link on their way."""
        sender, receiver = message.sender, message.receiver
        if self._affects(self._faults.drop, sender, receiver):
            reply.ok(Passage(0, 0, lost=True))
            return
        if self._affects(self._faults.stall, sender, receiver):
            self._stalled.append((message, reply))
            return
        now_s = self._clock()
        wait_s: float = 0
        for name in _links_on_way(self._plan, sender, receiver):
            bucket = self._buckets.get(name)
            if bucket is not None:
                self._sent[name] += message.size_bytes
                needed_s = bucket.reserve(message.size_bytes, now_s)
                wait_s = max(wait_s, needed_s)
        reply.ok(Passage(wait_s, self._plan.delay_s(sender, receiver)))

    def report(self, _message: GetCounters, reply: Reply) -> None:
        """Answer with bytes by host and by region, in each direction."""
        counters: dict[str, Any] = {'hosts': {}, 'regions': {}}
        for (kind, name, direction), sent in self._sent.items():
            counters[kind].setdefault(name, {})[direction] = sent
        counters['connections'] = len(self._connections)
        reply.ok(counters)

    def _affects(self, names: list[str], sender: str, receiver: str) -> bool:
        if not names:
            return False
        if sender in names or receiver in names:
            return True
        crossed = self._plan.crosses(sender, receiver)
        return crossed is not None and not set(names).isdisjoint(crossed)


class GetLinkFaults:
    """Ask for the present faults."""

    __slots__ = ()


LinkName = tuple[str, str, str]


def _buckets_of(plan: LinkPlan) -> Iterator[tuple[LinkName, Bucket]]:
    for host in plan.hosts.values():
        up = Bucket(host.up_bytes_per_s, _BURST_S)
        down = Bucket(host.down_bytes_per_s, _BURST_S)
        yield ('hosts', host.host_id, 'up_bytes'), up
        yield ('hosts', host.host_id, 'down_bytes'), down
    for region in plan.regions():
        for direction in ('out_bytes', 'in_bytes'):
            shared = Bucket(plan.shared_bytes_per_s, _BURST_S)
            yield ('regions', region, direction), shared


def _links_on_way(
    plan: LinkPlan,
    sender: str,
    receiver: str,
) -> Iterator[LinkName]:
    yield ('hosts', sender, 'up_bytes')
    yield ('hosts', receiver, 'down_bytes')
    crossed = plan.crosses(sender, receiver)
    if crossed is not None:
        yield ('regions', crossed[0], 'out_bytes')
        yield ('regions', crossed[1], 'in_bytes')
