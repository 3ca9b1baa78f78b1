"""Read the desired state, the upstreams and the entry hosts from the store."""

from result import Ok, Result

from apricotpin.components.follower import (
    const,
    decisions,
    events,
    read_waits,
)
from apricotpin.components.follower.confirmation import ConfirmationTracker
from apricotpin.components.follower.feed_reads import read_feed_forever
from apricotpin.components.follower.list_sharing import ListSharing
from apricotpin.components.follower.peer_exchange import PeerExchange
from apricotpin.components.follower.service import FollowerService
from apricotpin.const import SERVICE_CONFIGURATION
from apricotpin.core import Kernel, Reply, Started
from apricotpin.errors import Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages.desired import DesiredStateChanged
from apricotpin.messages.feeds import Feed, ReadFeed, ReadSharedList
from apricotpin.messages.fleet import (
    ConfigVersionConfirmed,
    ConfigVersionReceived,
    EntryHostsChanged,
    DeclaredVersionReceived,
)
from apricotpin.messages.upstreams import UpstreamUnlisted


def setup(kernel: Kernel, settings: HostSettings) -> Result[None, Failure]:
    """Register the follower, which reads from the start of the process on."""
    service = FollowerService(kernel)
    list_age_max_s = decisions.shared_list_age_max_s(
        settings.limits.drain_limit_s
    )
    peers = PeerExchange(kernel, list_age_max_s)
    sharing = ListSharing(list_age_max_s)
    long_poll_s = read_waits.checked_long_poll_s(settings.limits)
    tracker = ConfirmationTracker(kernel, long_poll_s)

    def handle_state(message: DesiredStateChanged, reply: Reply) -> None:
        tracker.record_state(message)
        peers.record_state(message, reply)

    def handle_read(message: events.FeedRead, reply: Reply) -> None:
        peers.record_read(message)
        service.apply_read(message, reply)
        sharing.record_read(message)
        # After a new state was published, so that no hello names the old one
        # as confirmed.
        tracker.record_read(message)

    def start(_message: Started, reply: Reply) -> None:
        for feed in Feed:
            kernel.spawn(read_feed_forever, kernel, feed, long_poll_s)
        kernel.send_every(
            SERVICE_CONFIGURATION,
            events.CheckOverdueRemovals(),
            const.RESTORE_CHECK_PERIOD_S,
        )
        kernel.send_every(
            SERVICE_CONFIGURATION,
            events.CheckConfirmation(),
            const.CONFIRMATION_CHECK_PERIOD_S,
        )
        reply.ok()

    kernel.register(
        SERVICE_CONFIGURATION,
        {
            Started: start,
            events.FeedRead: handle_read,
            DesiredStateChanged: handle_state,
            ConfigVersionConfirmed: tracker.record_peer,
            events.CheckConfirmation: tracker.check,
            DeclaredVersionReceived: service.record_declared_version,
            ConfigVersionReceived: peers.record_peer_version,
            events.CheckFetchDue: peers.check_fetch_due,
            events.FetchEnded: peers.end_fetch,
            events.ShouldReadStore: peers.should_read_store,
            EntryHostsChanged: peers.update_hosts,
            events.GetPeerAddresses: peers.list_addresses,
            events.GetListSources: peers.list_sources,
            ReadSharedList: sharing.read,
            UpstreamUnlisted: sharing.record_unlisted,
            events.GetCachedRecords: peers.list_cached_records,
            ReadFeed: peers.read_feed,
            events.CheckOverdueRemovals: service.check_overdue_removals,
        },
    )
    return Ok(None)
