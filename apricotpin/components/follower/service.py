"""Publish the changes that reads of the store's feeds return."""

import time
from collections.abc import Callable
from typing import Any

from loguru import logger

from apricotpin.components.follower import const, decisions
from apricotpin.components.follower.events import (
    CheckOverdueRemovals,
    FeedRead,
)
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
    EntryHostRecordChanged,
    DeclaredVersionReceived,
)
from apricotpin.messages.upstreams import (
    UpstreamEntry,
    UpstreamListed,
    UpstreamUnlisted,
)


class FollowerService:
    """Hold what the store's feeds contained last, and publish changes."""

    __slots__ = (
        '_announced_s',
        '_declared',
        '_kernel',
        '_state',
        '_upstream_list',
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._upstream_list = decisions.UpstreamList()
        # When each upstream was last announced to other services, on the
        # monotonic clock.
        self._announced_s: dict[str, float] = {}
        self._state: DesiredState | None = None
        # When each version of a model was declared, on the boot-time clock;
        # None where unknown.
        self._declared: dict[str, dict[int, float | None]] = {}

    def apply_read(self, message: FeedRead, reply: Reply) -> None:
        """Apply the entries of a read, and publish the changes."""
        self._record_reachable(message)
        if message.page.is_ok():
            entries = message.page.ok_value.entries
            for entry in entries:
                self._apply_entry(message, entry)
            if message.is_snapshot and message.feed is Feed.UPSTREAMS:
                self._remove_unlisted({one.key for one in entries})
        reply.ok()

    def record_declared_version(
        self, message: DeclaredVersionReceived, reply: Reply
    ) -> None:
        """Record a declared version and its age, received from a peer."""
        target = ModelVersion(message.model, message.version)
        self._apply_target(target, message.declared_for_s)
        reply.ok()

    def check_overdue_removals(
        self,
        _message: CheckOverdueRemovals,
        reply: Reply,
    ) -> None:
        """Remove the upstreams whose entries were not restored in time."""
        now_s = time.monotonic()
        for instance_id in decisions.remove_overdue(self._upstream_list, now_s):
            self._publish_unlisted(instance_id, 'entry_did_not_return')
        reply.ok()

    def _record_reachable(self, message: FeedRead) -> None:
        if message.feed is not Feed.UPSTREAMS:
            return
        is_reachable = message.page.is_ok()
        now_s = time.monotonic()
        if decisions.record_reachable(self._upstream_list, is_reachable, now_s):
            bound = logger.bind(dependency=SERVICE_STORE)
            if is_reachable:
                bound.info('dependency_regained')
            else:
                detail = repr(message.page.err_value)
                bound.bind(error=detail).warning('dependency_lost')

    def _apply_entry(self, message: FeedRead, entry: FeedEntry) -> None:
        feed, decoded = message.feed, entry.decoded
        if entry.decode_error:
            logger.bind(
                feed=feed.value,
                key=entry.key,
                error=entry.decode_error,
            ).warning('entry_ignored')
            return
        if decoded is None:
            self._apply_removal(feed, entry.key)
        elif isinstance(decoded, ModelVersion):
            # A snapshot does not say when its entries were written.
            self._apply_target(decoded, -1 if message.is_snapshot else 0)
        else:
            handlers: dict[type, Callable[[Any], None]] = {
                DesiredState: self._apply_state,
                UpstreamEntry: self._apply_upstream,
                EntryHost: self._publish_host,
            }
            handlers[type(decoded)](decoded)

    def _apply_removal(self, feed: Feed, key: str) -> None:
        if feed is Feed.UPSTREAMS:
            self._handle_removed_entry(key)
        elif feed is Feed.HOSTS:
            removed_host = EntryHost(key, '', '')
            self._kernel.publish(EntryHostRecordChanged(removed_host, False))

    def _publish_host(self, host: EntryHost) -> None:
        self._kernel.publish(EntryHostRecordChanged(host, True))

    def _apply_state(self, state: DesiredState) -> None:
        # A snapshot read after a reconnection may hold an older version.
        if self._state is not None and state.version <= self._state.version:
            return
        self._state = state
        logger.bind(
            version=state.version,
            routes=len(state.routes),
        ).info('desired_state_changed')
        self._kernel.publish(DesiredStateChanged(state))

    def _apply_target(
        self, target: ModelVersion, declared_for_s: float
    ) -> None:
        versions = self._declared.setdefault(target.model, {})
        newest = max(versions, default=0)
        now_s = clocks.boot_time_s()
        if not decisions.should_record_age(
            versions, target.version, declared_for_s, now_s
        ):
            return
        versions[target.version] = None
        if declared_for_s >= 0:
            versions[target.version] = now_s - declared_for_s
        logger.bind(
            model=target.model,
            version=target.version,
            known_for_s=round(declared_for_s, 2),
        ).info('model_version_declared')
        announcement: Any = ModelVersionChanged(target, declared_for_s)
        if target.version < newest:
            announcement = EarlierVersionDeclared(target, declared_for_s)
        self._kernel.publish(announcement)

    def _apply_upstream(self, entry: UpstreamEntry) -> None:
        known = self._upstream_list.upstreams.get(entry.instance_id)
        decisions.record_entry(self._upstream_list, entry)
        if known is None or known.draining != entry.draining:
            logger.bind(
                instance=entry.instance_id,
                service=entry.service,
                address=entry.address,
                draining=entry.draining,
            ).info('upstream_listed')
        now_s = time.monotonic()
        announced_s = self._announced_s.get(entry.instance_id, float('-inf'))
        is_changed = known is None or not known.is_equal(entry)
        if is_changed or now_s - announced_s >= const.ANNOUNCE_PERIOD_S:
            self._announced_s[entry.instance_id] = now_s
            self._kernel.publish(UpstreamListed(entry))

    def _remove_unlisted(self, listed_ids: set[str]) -> None:
        for instance_id in decisions.find_unlisted(
            self._upstream_list, listed_ids
        ):
            self._handle_removed_entry(instance_id)

    def _handle_removed_entry(self, instance_id: str) -> None:
        now_s = time.monotonic()
        if decisions.handle_removed_entry(
            self._upstream_list, instance_id, now_s
        ):
            self._publish_unlisted(instance_id, 'entry_removed')

    def _publish_unlisted(self, instance_id: str, reason: str) -> None:
        self._announced_s.pop(instance_id, None)
        logger.bind(instance=instance_id, reason=reason).info('upstream_gone')
        self._kernel.publish(UpstreamUnlisted(instance_id))
