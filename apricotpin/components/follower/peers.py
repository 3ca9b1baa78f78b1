"""Read the store for other entry hosts, and let them read for this one."""

import time

from loguru import logger

from apricotpin.components.follower import decisions, reading
from apricotpin.components.follower.events import (
    FeedRead,
    GetPeers,
    GetRecords,
)
from apricotpin.core import Kernel, Reply
from apricotpin.messages.desired import DesiredStateChanged
from apricotpin.messages.feeds import ReadFeed
from apricotpin.messages.fleet import ConfigHeard, EntryHostsChanged


class PeerReads:
    """Own what was read last and which entry hosts may be asked."""

    __slots__ = (
        '_asked_s',
        '_asked_version',
        '_kernel',
        '_memory',
        '_peers',
        '_version',
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._memory = decisions.Memory()
        self._peers: tuple[str, ...] = ()
        self._version = 0
        self._asked_version = 0
        self._asked_s = float('-inf')

    def remember(self, message: FeedRead) -> None:
        """Keep what a read brought."""
        if message.page.is_ok():
            decisions.remember(
                self._memory,
                message.feed,
                message.page.ok_value,
                message.whole,
            )

    def change_state(self, message: DesiredStateChanged, reply: Reply) -> None:
        """Note which desired state this host has."""
        self._version = message.state.version
        reply.ok()

    def records(self, message: GetRecords, reply: Reply) -> None:
        """Answer with the records of a feed as they were read last."""
        reply.ok(decisions.recall(self._memory, message.feed))

    def hear_config(self, message: ConfigHeard, reply: Reply) -> None:
        """Fetch a newer desired state from the host that has it."""
        now_s = time.monotonic()
        asked = decisions.is_asked(
            self._asked_version,
            now_s - self._asked_s,
            message.version,
        )
        if message.version > self._version and not asked:
            self._asked_version = message.version
            self._asked_s = now_s
            logger.bind(
                version=message.version,
                entry_host=message.peer_address,
                known=self._version,
            ).info('desired_state_heard')
            self._kernel.spawn(
                reading.fetch_from_peer,
                self._kernel,
                message.peer_address,
            )
        reply.ok()

    def change_hosts(self, message: EntryHostsChanged, reply: Reply) -> None:
        """Learn which entry hosts may read for this one."""
        self._peers = tuple(host.peer_address for host in message.hosts[1:])
        reply.ok()

    def peers(self, _message: GetPeers, reply: Reply) -> None:
        """Answer with the addresses of other entry hosts."""
        reply.ok(self._peers)

    def read_feed(self, message: ReadFeed, reply: Reply) -> None:
        """Read a feed for another entry host."""
        self._kernel.spawn(reading.read_for_peer, self._kernel, message, reply)
