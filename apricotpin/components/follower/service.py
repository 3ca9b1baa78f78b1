"""Follow the store's feeds and announce what changes."""

import random
import time
from typing import Any

import gevent
from loguru import logger
from result import Result

from apricotpin.components.follower import decisions
from apricotpin.components.follower.const import (
    CHANGES_PAUSE_S,
    CHANGES_WAIT_S,
    READ_TIMEOUT_S,
    RETRY_FIRST_S,
    RETRY_LONGEST_S,
    UPSTREAMS_PAUSE_S,
)
from apricotpin.const import SERVICE_FOLLOWER, SERVICE_STORE
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.backoff import jittered_pause
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
    ReadChanges,
    ReadSnapshot,
)
from apricotpin.messages.fleet import EntryHostListed, TargetHeard
from apricotpin.messages.upstreams import (
    UpstreamEntry,
    UpstreamListed,
    UpstreamUnlisted,
)


class FeedRead:
    """Carry the outcome of one read; whole holds for a snapshot."""

    __slots__ = ('feed', 'page', 'whole')

    def __init__(
        self,
        feed: Feed,
        page: Result[FeedPage, Failure],
        whole: bool,
    ) -> None:
        self.feed = feed
        self.page = page
        self.whole = whole


class CheckLapsed:
    """Take upstreams as gone whose entries did not return in time."""

    __slots__ = ()


class FollowerService:
    """Own what the store's feeds said last."""

    __slots__ = ('_kernel', '_listing', '_state', '_targets')

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._listing = decisions.Listing()
        self._state: DesiredState | None = None
        self._targets: dict[str, int] = {}

    def take_read(self, message: FeedRead, reply: Reply) -> None:
        """Announce the changes that a read brought."""
        self._note_reachable(message)
        if message.page.is_ok():
            entries = message.page.ok_value.entries
            for entry in entries:
                self._take_entry(message.feed, entry, message.whole)
            if message.whole and message.feed is Feed.UPSTREAMS:
                self._drop_missing({entry.key for entry in entries})
        reply.ok()

    def hear_target(self, message: TargetHeard, reply: Reply) -> None:
        """Take a version that another entry host knows, with its age."""
        target = ModelVersion(message.model, message.version)
        self._take_target(target, message.known_for_s)
        reply.ok()

    def check_lapsed(self, _message: CheckLapsed, reply: Reply) -> None:
        """Announce the upstreams whose entries did not return."""
        now_s = time.monotonic()
        for instance_id in decisions.take_overdue(self._listing, now_s):
            self._announce_gone(instance_id, 'entry_did_not_return')
        reply.ok()

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


def follow(kernel: Kernel, feed: Feed) -> None:
    """Read a feed over and over; a read that fails is repeated soon."""
    pause_s = jittered_pause(RETRY_FIRST_S, RETRY_LONGEST_S, random.random)
    wait_s = 0 if feed is Feed.UPSTREAMS else CHANGES_WAIT_S
    rest_s = CHANGES_PAUSE_S if wait_s else UPSTREAMS_PAUSE_S
    offset = -1
    failures = 0
    while True:
        page = _read(kernel, feed, offset, wait_s)
        kernel.send(SERVICE_FOLLOWER, FeedRead(feed, page, offset < 0))
        if page.is_ok():
            failures = 0
            offset = page.ok_value.next_offset
            gevent.sleep(rest_s)
            continue
        failures += 1
        if page.err_value.kind is ErrorKind.LOG_OFFSET_EXPIRED:
            offset = -1
        gevent.sleep(pause_s(failures))


def _read(
    kernel: Kernel,
    feed: Feed,
    offset: int,
    wait_s: float,
) -> Any:
    message: Any = ReadSnapshot(feed)
    if offset >= 0:
        message = ReadChanges(feed, offset, wait_s)
    return kernel.call(SERVICE_STORE, message, READ_TIMEOUT_S)
