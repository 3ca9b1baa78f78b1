"""Read the desired state, the upstreams and the entry hosts from the store."""

from result import Ok, Result

from apricotpin.components.follower import decisions
from apricotpin.components.follower.const import RESTORE_CHECK_PERIOD_S
from apricotpin.components.follower.events import (
    CheckFetchDue,
    CheckOverdueRemovals,
    FeedRead,
    FetchEnded,
    GetCachedRecords,
    GetListSources,
    GetPeerAddresses,
    ShouldReadStore,
)
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

    def handle_read(message: FeedRead, reply: Reply) -> None:
        peers.record_read(message)
        service.apply_read(message, reply)
        sharing.record_read(message)

    def start(_message: Started, reply: Reply) -> None:
        for feed in Feed:
            kernel.spawn(read_feed_forever, kernel, feed)
        kernel.send_every(
            SERVICE_CONFIGURATION,
            CheckOverdueRemovals(),
            RESTORE_CHECK_PERIOD_S,
        )
        reply.ok()

    kernel.register(
        SERVICE_CONFIGURATION,
        {
            Started: start,
            FeedRead: handle_read,
            DesiredStateChanged: peers.record_state,
            DeclaredVersionReceived: service.record_declared_version,
            ConfigVersionReceived: peers.record_peer_version,
            CheckFetchDue: peers.check_fetch_due,
            FetchEnded: peers.end_fetch,
            ShouldReadStore: peers.should_read_store,
            EntryHostsChanged: peers.update_hosts,
            GetPeerAddresses: peers.list_addresses,
            GetListSources: peers.list_sources,
            ReadSharedList: sharing.read,
            UpstreamUnlisted: sharing.record_unlisted,
            GetCachedRecords: peers.list_cached_records,
            ReadFeed: peers.read_feed,
            CheckOverdueRemovals: service.check_overdue_removals,
        },
    )
    return Ok(None)
