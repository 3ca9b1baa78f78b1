"""Follow the store's feeds and announce what changes."""

import time

from loguru import logger

from apricotpin.components.follower import decisions, reading
from apricotpin.components.follower.events import (
    CheckLapsed,
    FeedRead,
    GetPeers,
    GetRecords,
)
from apricotpin.const import SERVICE_STORE
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from apricotpin.messages.desired import (
    DesiredState,
    DesiredStateChanged,
    ModelVersion,
    ModelVersionChanged,
)
from apricotpin.messages.feeds import (
    EntryHost,
    Feed,
    FeedEntry,
    FeedPage,
    FeedRecord,
    FeedRecords,
    ReadFeed,
)
from apricotpin.messages.fleet import (
    ConfigHeard,
    EntryHostListed,
    EntryHostsChanged,
    TargetHeard,
)
from apricotpin.messages.upstreams import (
    UpstreamEntry,
    UpstreamListed,
    UpstreamUnlisted,
)


class FollowerService:
    """Own what the store's feeds said last."""

    __slots__ = (
        '_asked_version',
        '_kernel',
        '_listing',
        '_offsets',
        '_peers',
        '_records',
        '_state',
        '_targets',
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._listing = decisions.Listing()
        self._state: DesiredState | None = None
        self._targets: dict[str, int] = {}
        self._peers: tuple[str, ...] = ()
        self._asked_version = 0
        self._records: dict[Feed, dict[str, bytes]] = {}
        self._offsets: dict[Feed, int] = {}

    def take_read(self, message: FeedRead, reply: Reply) -> None:
        """Announce the changes that a read brought."""
        self._note_reachable(message)
        if message.page.is_ok():
            entries = message.page.ok_value.entries
            self._remember(message.feed, message.page.ok_value, message.whole)
            for entry in entries:
                self._take_entry(message.feed, entry, message.whole)
            if message.whole and message.feed is Feed.UPSTREAMS:
                self._drop_missing({entry.key for entry in entries})
        reply.ok()

    def records(self, message: GetRecords, reply: Reply) -> None:
        """Answer with the records of a feed as they were read last."""
        known = self._records.get(message.feed, {})
        if not known:
            fault = ErrorKind.LOG_UNAVAILABLE.value
            reply.ok(FeedRecords(0, [], fault))
            return
        records = [FeedRecord(key, text) for key, text in known.items()]
        reply.ok(FeedRecords(self._offsets[message.feed], records))

    def hear_target(self, message: TargetHeard, reply: Reply) -> None:
        """Take a version that another entry host knows, with its age."""
        target = ModelVersion(message.model, message.version)
        self._take_target(target, message.known_for_s)
        reply.ok()

    def hear_config(self, message: ConfigHeard, reply: Reply) -> None:
        """Fetch a newer desired state from the host that has it."""
        known = 0 if self._state is None else self._state.version
        if message.version > max(known, self._asked_version):
            self._asked_version = message.version
            logger.bind(
                version=message.version,
                entry_host=message.peer_address,
                known=known,
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

    def check_lapsed(self, _message: CheckLapsed, reply: Reply) -> None:
        """Announce the upstreams whose entries did not return."""
        now_s = time.monotonic()
        for instance_id in decisions.take_overdue(self._listing, now_s):
            self._announce_gone(instance_id, 'entry_did_not_return')
        reply.ok()

    def _remember(self, feed: Feed, page: FeedPage, whole: bool) -> None:
        known = {} if whole else self._records.get(feed, {})
        for entry in page.entries:
            if entry.content:
                known[entry.key] = entry.content
            else:
                known.pop(entry.key, None)
        self._records[feed] = known
        self._offsets[feed] = page.next_offset

    def _note_reachable(self, message: FeedRead) -> None:
        if message.feed is not Feed.UPSTREAMS:
            return
        reachable = message.page.is_ok()
        now_s = time.monotonic()
        if decisions.note_reachable(self._listing, reachable, now_s):
            bound = logger.bind(dependency=SERVICE_STORE)
            if reachable:
                bound.info('dependency_regained')
            else:
                detail = repr(message.page.err_value)
                bound.bind(error=detail).warning('dependency_lost')

    def _take_entry(self, feed: Feed, entry: FeedEntry, whole: bool) -> None:
        meaning = entry.meaning
        if entry.fault:
            logger.bind(
                feed=feed.value,
                key=entry.key,
                error=entry.fault,
            ).warning('entry_ignored')
            return
        if isinstance(meaning, DesiredState):
            self._take_state(meaning)
        elif isinstance(meaning, ModelVersion):
            # A snapshot does not tell when its entries were written.
            self._take_target(meaning, -1 if whole else 0)
        elif isinstance(meaning, UpstreamEntry):
            self._take_upstream(meaning)
        elif isinstance(meaning, EntryHost):
            self._kernel.publish(EntryHostListed(meaning, True))
        elif feed is Feed.UPSTREAMS:
            self._drop(entry.key)
        elif feed is Feed.HOSTS:
            gone = EntryHost(entry.key, '', '')
            self._kernel.publish(EntryHostListed(gone, False))

    def _take_state(self, state: DesiredState) -> None:
        # Reads after a reconnection may bring versions that are older.
        if self._state is not None and state.version <= self._state.version:
            return
        self._state = state
        logger.bind(
            version=state.version,
            routes=len(state.routes),
        ).info('desired_state_changed')
        self._kernel.publish(DesiredStateChanged(state))

    def _take_target(self, target: ModelVersion, known_for_s: float) -> None:
        if target.version <= self._targets.get(target.model, 0):
            return
        self._targets[target.model] = target.version
        logger.bind(
            model=target.model,
            version=target.version,
            known_for_s=round(known_for_s, 2),
        ).info('model_version_declared')
        self._kernel.publish(ModelVersionChanged(target, known_for_s))

    def _take_upstream(self, entry: UpstreamEntry) -> None:
        known = self._listing.known.get(entry.instance_id)
        decisions.note_listed(self._listing, entry)
        if known is None or known.draining != entry.draining:
            logger.bind(
                instance=entry.instance_id,
                service=entry.service,
                address=entry.address,
                draining=entry.draining,
            ).info('upstream_listed')
        self._kernel.publish(UpstreamListed(entry))

    def _drop_missing(self, listed: set[str]) -> None:
        for instance_id in decisions.missing_from(self._listing, listed):
            self._drop(instance_id)

    def _drop(self, instance_id: str) -> None:
        now_s = time.monotonic()
        if decisions.note_vanished(self._listing, instance_id, now_s):
            self._announce_gone(instance_id, 'entry_removed')

    def _announce_gone(self, instance_id: str, reason: str) -> None:
        logger.bind(instance=instance_id, reason=reason).info('upstream_gone')
        self._kernel.publish(UpstreamUnlisted(instance_id))
