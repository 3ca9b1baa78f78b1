"""Follow the store's feeds and announce what changes."""

import time
from collections.abc import Callable
from typing import Any

from loguru import logger

from apricotpin.components.follower import decisions
from apricotpin.components.follower.events import CheckLapsed, FeedRead
from apricotpin.const import SERVICE_STORE
from apricotpin.core import Kernel, Reply
from apricotpin.helpers import clocks
from apricotpin.messages.desired import (
    DesiredState,
    DesiredStateChanged,
    EarlierVersionDeclared,
    ModelVersion,
    ModelVersionChanged,
)
from apricotpin.messages.feeds import EntryHost, Feed, FeedEntry
from apricotpin.messages.fleet import (
    DeclaredVersionReceived,
    EntryHostRecordChanged,
)
from apricotpin.messages.upstreams import (
    UpstreamEntry,
    UpstreamListed,
    UpstreamUnlisted,
)


class FollowerService:
    """Own what the store's feeds said last."""

    __slots__ = ('_declared', '_kernel', '_listing', '_state')

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._listing = decisions.Listing()
        self._state: DesiredState | None = None
        # When each version of a model was declared, None where unknown.
        self._declared: dict[str, dict[int, float | None]] = {}

    def take_read(self, message: FeedRead, reply: Reply) -> None:
        """Announce the changes that a read brought."""
        self._note_reachable(message)
        if message.page.is_ok():
            entries = message.page.ok_value.entries
            for entry in entries:
                self._take_entry(message, entry)
            if message.whole and message.feed is Feed.UPSTREAMS:
                self._drop_missing({one.key for one in entries})
        reply.ok()

    def hear_target(
        self, message: DeclaredVersionReceived, reply: Reply
    ) -> None:
        """Take a version that another entry host knows, with its age."""
        target = ModelVersion(message.model, message.version)
        self._take_target(target, message.declared_for_s)
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

    def _take_entry(self, message: FeedRead, entry: FeedEntry) -> None:
        feed, meaning = message.feed, entry.decoded
        if entry.decode_error:
            logger.bind(
                feed=feed.value,
                key=entry.key,
                error=entry.decode_error,
            ).warning('entry_ignored')
            return
        if meaning is None:
            self._take_removal(feed, entry.key)
        elif isinstance(meaning, ModelVersion):
            # A snapshot does not tell when its entries were written.
            self._take_target(meaning, -1 if message.whole else 0)
        else:
            takers: dict[type, Callable[[Any], None]] = {
                DesiredState: self._take_state,
                UpstreamEntry: self._take_upstream,
                EntryHost: self._take_host,
            }
            takers[type(meaning)](meaning)

    def _take_removal(self, feed: Feed, key: str) -> None:
        if feed is Feed.UPSTREAMS:
            self._drop(key)
        elif feed is Feed.HOSTS:
            gone = EntryHost(key, '', '')
            self._kernel.publish(EntryHostRecordChanged(gone, False))

    def _take_host(self, host: EntryHost) -> None:
        self._kernel.publish(EntryHostRecordChanged(host, True))

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
        versions = self._declared.setdefault(target.model, {})
        newest = max(versions, default=0)
        now_s = clocks.boot_time_s()
        if not decisions.takes_age(
            versions, target.version, known_for_s, now_s
        ):
            return
        versions[target.version] = None
        if known_for_s >= 0:
            versions[target.version] = now_s - known_for_s
        logger.bind(
            model=target.model,
            version=target.version,
            known_for_s=round(known_for_s, 2),
        ).info('model_version_declared')
        announced: Any = ModelVersionChanged(target, known_for_s)
        if target.version < newest:
            announced = EarlierVersionDeclared(target, known_for_s)
        self._kernel.publish(announced)

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
