"""Read the store for other entry hosts, and let them read for this one."""

import time
from typing import Final

import gevent
from loguru import logger

from apricotpin.components.follower import const, decisions, readers, reading
from apricotpin.components.follower.events import (
    CheckBehind,
    FeedRead,
    FetchEnded,
    GetPeers,
    GetRecords,
    ReadsItself,
)
from apricotpin.const import SERVICE_CONFIGURATION
from apricotpin.core import Kernel, Reply
from apricotpin.helpers.metrics import count
from apricotpin.messages.desired import DesiredState, DesiredStateChanged
from apricotpin.messages.feeds import Feed, ReadFeed
from apricotpin.messages.fleet import ConfigVersionReceived, EntryHostsChanged

_MS_PER_S: Final = 1000


class PeerReads:
    """Own what was read last and which entry hosts may be asked."""

    __slots__ = ('_check_sent', '_kernel', '_memory', '_read_state')

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._memory = decisions.Memory()
        self._read_state = readers.ReadState()
        self._check_sent = False

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

    def hear_config(self, message: ConfigVersionReceived, reply: Reply) -> None:
        """Fetch a newer desired state from a host that has it."""
        reply.ok()
        readers.note_heard(
            self._read_state,
            message.peer_address,
            message.version,
            time.monotonic(),
        )
        self._fetch_if_due()

    def check_behind(self, _message: CheckBehind, reply: Reply) -> None:
        """Look again for a host to ask."""
        self._check_sent = False
        self._fetch_if_due()
        reply.ok()

    def end_fetch(self, message: FetchEnded, reply: Reply) -> None:
        """Ask another host if the one asked had nothing newer."""
        self._read_state.fetching.discard(message.address)
        self._fetch_if_due()
        reply.ok()

    def change_hosts(self, message: EntryHostsChanged, reply: Reply) -> None:
        """Learn which entry hosts are there; this one is the first."""
        readers.note_hosts(self._read_state, message.hosts)
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
            if not isinstance(entry.decoded, DesiredState):
                continue
            state, size_bytes = self._read_state, len(entry.content)
            lacked_s = readers.lacking_for_s(state, time.monotonic())
            logger.bind(
                version=entry.decoded.version,
                known=state.known,
                source=message.source,
                size_bytes=size_bytes,
                took_ms=int(message.took_s * _MS_PER_S),
                lacked_ms=int(lacked_s * _MS_PER_S),
            ).info('desired_state_read')
            place = readers.place_of(state, message.source)
            count(self._kernel, 'desired_state_bytes_total', place, size_bytes)
            # Noted here, or the copy is asked for again until all that waits
            # in this mailbox has been handled.
            readers.note_known(state, entry.decoded.version)

    def _fetch_if_due(self) -> None:
        state, now_s = self._read_state, time.monotonic()
        if not state.lacking:
            return
        address = readers.choose_source(state, now_s)
        if address is not None:
            logger.bind(
                version=state.heard[address],
                entry_host=address,
                known=state.known,
            ).info('desired_state_heard')
            readers.note_asked(state, address, now_s)
            self._kernel.spawn(reading.fetch_from_peer, self._kernel, address)
        self._check_later()

    def _check_later(self) -> None:
        # The host that has it may greet this one no more.
        if self._check_sent:
            return
        self._check_sent = True
        gevent.spawn_later(
            const.BEHIND_CHECK_S,
            self._kernel.send,
            SERVICE_CONFIGURATION,
            CheckBehind(),
        )
