"""Read the store for other entry hosts, and let them read for this one."""

import time
from typing import Final

import gevent
from loguru import logger

from apricotpin.components.follower import decisions, readers, reading
from apricotpin.components.follower.events import (
    FeedRead,
    GetPeers,
    GetRecords,
    ConfigHeardAgain,
    ReadsItself,
)
from apricotpin.const import SERVICE_CONFIGURATION
from apricotpin.core import Kernel, Reply
from apricotpin.helpers.metrics import count
from apricotpin.messages.desired import DesiredState, DesiredStateChanged
from apricotpin.messages.feeds import Feed, ReadFeed
from apricotpin.messages.fleet import ConfigHeard, EntryHostsChanged

_MS_PER_S: Final = 1000


class PeerReads:
    """Own what was read last and which entry hosts may be asked."""

    __slots__ = ('_read_state', '_kernel', '_memory', '_postponed')

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._memory = decisions.Memory()
        self._read_state = readers.ReadState()
        self._postponed = False

    def remember(self, message: FeedRead) -> None:
        """Keep what a read brought."""
        if message.feed is Feed.OPERATOR:
            self._read_state.failing = message.page.is_err()
            self._log_failure(message)
        if message.page.is_ok():
            self._note_copy(message)
            decisions.remember(
                self._memory,
                message.feed,
                message.page.ok_value,
                message.whole,
            )

    def change_state(self, message: DesiredStateChanged, reply: Reply) -> None:
        """Note which desired state this host has."""
        readers.note_known(self._read_state, message.state.version)
        reply.ok()

    def reads_itself(self, _message: ReadsItself, reply: Reply) -> None:
        """Answer whether this host reads the operator's records itself."""
        reply.ok(readers.reads_itself(self._read_state, time.monotonic()))

    def records(self, message: GetRecords, reply: Reply) -> None:
        """Answer with the records of a feed as they were read last."""
        reply.ok(decisions.recall(self._memory, message.feed))

    def hear_config(self, message: ConfigHeard, reply: Reply) -> None:
        """Fetch a newer desired state from the host that has it."""
        reply.ok()
        now_s = time.monotonic()
        address = message.peer_address
        readers.note_heard(self._read_state, message.version, now_s)
        behind = message.version > self._read_state.known
        if not behind or not readers.is_wanted_from(
            self._read_state, address, now_s
        ):
            return
        pause_s = readers.pause_left_s(self._read_state, now_s)
        if pause_s:
            self._postpone(message, pause_s)
            return
        self._read_state.asked_s = now_s
        logger.bind(
            version=message.version,
            entry_host=address,
            known=self._read_state.known,
        ).info('desired_state_heard')
        self._kernel.spawn(reading.fetch_from_peer, self._kernel, address)

    def hear_again(self, message: ConfigHeardAgain, reply: Reply) -> None:
        """Come back to a host that had a newer desired state."""
        self._postponed = False
        self.hear_config(message.heard, reply)

    def change_hosts(self, message: EntryHostsChanged, reply: Reply) -> None:
        """Learn which entry hosts are there; this one is the first."""
        self._read_state.hosts = message.hosts
        reply.ok()

    def peers(self, _message: GetPeers, reply: Reply) -> None:
        """Answer with the addresses of other entry hosts."""
        others = self._read_state.hosts[1:]
        reply.ok(tuple(host.peer_address for host in others))

    def read_feed(self, message: ReadFeed, reply: Reply) -> None:
        """Read a feed for another entry host."""
        self._kernel.spawn(reading.read_for_peer, self._kernel, message, reply)

    def _log_failure(self, message: FeedRead) -> None:
        if message.page.is_ok():
            return
        logger.bind(
            source=message.source,
            took_ms=int(message.took_s * _MS_PER_S),
            known=self._read_state.known,
            error=repr(message.page.err_value),
        ).warning('desired_state_not_read')

    def _note_copy(self, message: FeedRead) -> None:
        """Tell where a copy of a desired state came from, and how late."""
        for entry in message.page.ok_value.entries:
            if not isinstance(entry.meaning, DesiredState):
                continue
            state, size_bytes = self._read_state, len(entry.content)
            lacked_s = readers.lacking_for_s(state, time.monotonic())
            logger.bind(
                version=entry.meaning.version,
                known=state.known,
                source=message.source,
                size_bytes=size_bytes,
                took_ms=int(message.took_s * _MS_PER_S),
                lacked_ms=int(lacked_s * _MS_PER_S),
            ).info('desired_state_read')
            place = readers.place_of(state, message.source)
            count(self._kernel, 'desired_state_bytes_total', place, size_bytes)

    def _postpone(self, message: ConfigHeard, pause_s: float) -> None:
        if self._postponed:
            return
        self._postponed = True
        gevent.spawn_later(
            pause_s,
            self._kernel.send,
            SERVICE_CONFIGURATION,
            ConfigHeardAgain(message),
        )
