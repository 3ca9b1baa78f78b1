"""Install declared versions of weights on the worker beside an agent."""

from result import Ok, Result

from apricotpin.components.installer import (
    events,
    service,
    sharing,
    tasks,
)
from apricotpin.components.installer.const import (
    PARALLEL_FETCHES,
    SHARING_MAILBOX_SIZE,
)
from apricotpin.const import SERVICE_INSTALLER, SERVICE_WEIGHTS
from apricotpin.core import Kernel, Reply, Started
from apricotpin.errors import Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages.fleet import EntryHello
from apricotpin.messages.weights import FetchChunk


def setup(kernel: Kernel, settings: HostSettings) -> Result[None, Failure]:
    """Register the installer and the weights service of an agent."""
    installer = service.InstallerService(kernel, settings)

    def start(_message: Started, reply: Reply) -> None:
        kernel.spawn(tasks.poll_reports, kernel)
        kernel.spawn(tasks.run_load_jobs, kernel)
        kernel.spawn(tasks.find_entry_hosts, kernel, installer.own_load_report)
        for _ in range(PARALLEL_FETCHES):
            kernel.spawn(tasks.fetch_pieces, kernel)
        reply.ok()

    kernel.register(
        SERVICE_INSTALLER,
        {
            Started: start,
            EntryHello: installer.handle_hello,
            events.ReportRead: installer.handle_report,
            events.GetNextFetchJob: installer.enqueue_fetcher,
            events.PieceFetched: installer.handle_fetched_piece,
            events.GetNextLoadJob: installer.enqueue_loader,
            events.LoadJobDone: installer.handle_load_job_done,
            events.CanShareVersion: installer.can_share_version,
        },
    )
    kernel.register(
        SERVICE_WEIGHTS,
        {
            FetchChunk: sharing.SharingService(
                kernel, settings.link_bytes_per_s
            ).fetch_chunk
        },
        mailbox_size=SHARING_MAILBOX_SIZE,
    )
    return Ok(None)
