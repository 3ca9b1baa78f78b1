"""Select upstreams by load, version and health, within a retry budget."""

from result import Ok, Result

from apricotpin.components.dispatch.const import (
    IDLE_CHECK_INTERVAL_S,
    MAILBOX_SIZE,
)
from apricotpin.components.dispatch.service import (
    CloseIdleConnections,
    DispatchService,
)
from apricotpin.components.dispatch.state import DispatchState
from apricotpin.components.dispatch.state_updates import StateUpdater
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
    updater = StateUpdater(state)
    kernel.register(
        SERVICE_DISPATCH,
        {
            desired.DesiredStateChanged: updater.update_services,
            desired.ModelVersionChanged: updater.record_version,
            desired.EarlierVersionDeclared: updater.record_version,
            upstreams.UpstreamListed: service.add_upstream,
            upstreams.UpstreamUnlisted: service.remove_upstream,
            fleet.LoadReport: service.record_report,
            fleet.EntryHostsChanged: updater.update_host_counts,
            fleet.PathDelaysMeasured: updater.update_path_delays,
            upstreams.CountRequest: updater.count_request,
            upstreams.GetWorkerState: updater.report_worker_state,
            upstreams.SelectUpstream: service.select_upstream,
            upstreams.AttemptSilent: service.record_silence,
            upstreams.AttemptDone: service.end_attempt,
            upstreams.AvailabilityStated: service.record_availability,
            upstreams.CancelSelection: service.cancel_selection,
            ExpireWaiters: service.expire_waiters,
            CloseIdleConnections: service.close_expired,
        },
        mailbox_size=MAILBOX_SIZE,
    )
    kernel.send_every(
        SERVICE_DISPATCH, CloseIdleConnections(), IDLE_CHECK_INTERVAL_S
    )
    return Ok(None)
