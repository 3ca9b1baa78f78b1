"""Choose upstreams by load, version and health, within a retry budget."""

from result import Ok, Result

from apricotpin.components.dispatch.beliefs import Beliefs
from apricotpin.components.dispatch.const import IDLE_CHECK_S, MAILBOX_SIZE
from apricotpin.components.dispatch.service import (
    CloseIdleConnections,
    DispatchService,
)
from apricotpin.components.dispatch.state import DispatchState
from apricotpin.components.dispatch.waiting import ExpireWaiters
from apricotpin.const import SERVICE_DISPATCH
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages import desired, fleet, upstreams


def setup(kernel: Kernel, settings: HostSettings) -> Result[None, Failure]:
    """Register the dispatch service."""
    state = DispatchState(settings.data_centre, settings.limits)
    service = DispatchService(kernel, state)
    beliefs = Beliefs(state)
    kernel.register(
        SERVICE_DISPATCH,
        {
            desired.DesiredStateChanged: beliefs.change_state,
            desired.ModelVersionChanged: beliefs.change_version,
            desired.EarlierVersionDeclared: beliefs.change_version,
            upstreams.UpstreamListed: service.list_upstream,
            upstreams.UpstreamUnlisted: service.unlist_upstream,
            fleet.LoadReport: service.take_report,
            fleet.EntryHostsChanged: beliefs.count_hosts,
            fleet.PathDelaysMeasured: beliefs.note_paths,
            upstreams.CountRequest: beliefs.note_request,
            upstreams.SelectUpstream: service.pick,
            upstreams.AttemptDone: service.end_attempt,
            upstreams.CancelSelection: service.cancel_pick,
            ExpireWaiters: service.expire_waiters,
            CloseIdleConnections: service.close_idle,
        },
        mailbox_size=MAILBOX_SIZE,
    )
    kernel.send_every(SERVICE_DISPATCH, CloseIdleConnections(), IDLE_CHECK_S)
    return Ok(None)
