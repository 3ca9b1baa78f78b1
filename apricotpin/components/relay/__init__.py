"""Relay weights from the origin to the agents of a data centre."""

import time

from result import Ok, Result

from apricotpin.components.relay import events, service
from apricotpin.const import SERVICE_WEIGHTS
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages import desired, fleet
from apricotpin.messages.feeds import EntryHost
from apricotpin.messages.weights import FetchChunk


def setup(kernel: Kernel, settings: HostSettings) -> Result[None, Failure]:
    """Register the relay as the weights service of an entry host."""
    own_host = EntryHost(
        settings.host_id,
        settings.peer_address,
        settings.data_centre,
    )
    relay = service.RelayService(kernel, own_host, time.monotonic())
    kernel.register(
        SERVICE_WEIGHTS,
        {
            desired.DesiredStateChanged: relay.apply_state,
            desired.ModelVersionChanged: relay.apply_declared_version,
            fleet.EntryHostsChanged: relay.update_hosts,
            fleet.LoadReport: relay.handle_load_report,
            FetchChunk: relay.fetch_chunk,
            events.GetNextFetchJob: relay.assign_job,
            events.PieceFetched: relay.handle_fetched_piece,
            events.RetryPiece: relay.retry_piece,
        },
    )
    return Ok(None)
