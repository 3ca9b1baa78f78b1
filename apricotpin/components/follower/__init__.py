"""Follow the desired state, the upstreams and the entry hosts."""

from result import Ok, Result

from apricotpin.components.follower.const import LAPSE_CHECK_S
from apricotpin.components.follower.events import (
    CheckBehind,
    CheckLapsed,
    FeedRead,
    FetchEnded,
    GetPeers,
    GetRecords,
    ReadsItself,
)
from apricotpin.components.follower.peers import PeerReads
from apricotpin.components.follower.reading import follow
from apricotpin.components.follower.service import FollowerService
from apricotpin.const import SERVICE_CONFIGURATION
from apricotpin.core import Kernel, Reply, Started
from apricotpin.errors import Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages.desired import DesiredStateChanged
from apricotpin.messages.feeds import Feed, ReadFeed
from apricotpin.messages.fleet import (
    ConfigVersionReceived,
    DeclaredVersionReceived,
    EntryHostsChanged,
)


def setup(kernel: Kernel, _settings: HostSettings) -> Result[None, Failure]:
    """Register the follower, which reads once all services are there."""
    service = FollowerService(kernel)
    peers = PeerReads(kernel)

    def take_read(message: FeedRead, reply: Reply) -> None:
        peers.remember(message)
        service.take_read(message, reply)

    def start(_message: Started, reply: Reply) -> None:
        for feed in Feed:
            kernel.spawn(follow, kernel, feed)
        kernel.send_every(SERVICE_CONFIGURATION, CheckLapsed(), LAPSE_CHECK_S)
        reply.ok()

    kernel.register(
        SERVICE_CONFIGURATION,
        {
            Started: start,
            FeedRead: take_read,
            DesiredStateChanged: peers.change_state,
            DeclaredVersionReceived: service.hear_target,
            ConfigVersionReceived: peers.hear_config,
            CheckBehind: peers.check_behind,
            FetchEnded: peers.end_fetch,
            ReadsItself: peers.reads_itself,
            EntryHostsChanged: peers.change_hosts,
            GetPeers: peers.peers,
            GetRecords: peers.records,
            ReadFeed: peers.read_feed,
            CheckLapsed: service.check_lapsed,
        },
    )
    return Ok(None)
