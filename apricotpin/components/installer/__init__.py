"""Install declared versions of weights on the worker beside an agent."""

from result import Ok, Result

from apricotpin.components.installer import (
    events,
    service,
    sharing,
    workers,
)
from apricotpin.components.installer.const import (
    FETCHES,
    SHARING_MAILBOX_SIZE,
)
from apricotpin.const import SERVICE_INSTALLER, SERVICE_WEIGHTS
from apricotpin.core import Kernel, Reply, Started
from apricotpin.errors import Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages.fleet import EntryHello
from apricotpin.messages.weights import FetchChunk


def setup(kernel: Kernel, settings: HostSettings) -> Result[None, Failure]:
    """Register the installer and start its workers."""
    installer = service.InstallerService(kernel, settings)

    def start(_message: Started, reply: Reply) -> None:
        kernel.spawn(workers.read_reports, kernel)
        kernel.spawn(workers.load_versions, kernel)
        kernel.spawn(workers.find_entries, kernel, installer.own_report)
        for _ in range(FETCHES):
            kernel.spawn(workers.fetch_pieces, kernel)
        reply.ok()

    kernel.register(
        SERVICE_INSTALLER,
        {
            Started: start,
            EntryHello: installer.hear_entry,
            events.ReportRead: installer.take_report,
            events.NextPiece: installer.next_piece,
            events.PieceFetched: installer.take_piece,
            events.NextLoad: installer.next_load,
            events.LoadDone: installer.take_load,
            events.IsShared: installer.is_shared,
        },
    )
    kernel.register(
        SERVICE_WEIGHTS,
        {FetchChunk: sharing.SharingService(kernel).fetch_chunk},
        mailbox_size=SHARING_MAILBOX_SIZE,
    )
    return Ok(None)
