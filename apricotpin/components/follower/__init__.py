"""Follow the desired state, the upstreams and the entry hosts."""

from result import Ok, Result

from apricotpin.components.follower.const import LAPSE_CHECK_S
from apricotpin.components.follower.service import (
    CheckLapsed,
    FeedRead,
    FollowerService,
    follow,
)
from apricotpin.const import SERVICE_FOLLOWER
from apricotpin.core import Kernel, Reply, Started
from apricotpin.errors import Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages.feeds import Feed
from apricotpin.messages.fleet import TargetHeard


def setup(kernel: Kernel, _settings: HostSettings) -> Result[None, Failure]:
    """Register the follower, which reads once all services are there."""
    service = FollowerService(kernel)

    def start(_message: Started, reply: Reply) -> None:
        for feed in Feed:
            kernel.spawn(follow, kernel, feed)
        kernel.every(SERVICE_FOLLOWER, CheckLapsed(), LAPSE_CHECK_S)
        reply.ok()

    kernel.register(
        SERVICE_FOLLOWER,
        {
            Started: start,
            FeedRead: service.take_read,
            TargetHeard: service.hear_target,
            CheckLapsed: service.check_lapsed,
        },
    )
    return Ok(None)
