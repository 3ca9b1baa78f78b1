"""Exchange hellos and load reports between entry hosts and agents."""

from gevent import socket
from result import Err, Ok, Result

from apricotpin.components.presence import agent, const, datagrams, entry_host
from apricotpin.const import (
    ROLE_HOST_AGENT,
    SERVICE_PRESENCE,
    SERVICE_STORE,
)
from apricotpin.core import Kernel, Reply, Started
from apricotpin.errors import ErrorKind, Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages import desired, fleet, prompts, upstreams
from apricotpin.messages.feeds import RecordEntryHost


def setup(kernel: Kernel, settings: HostSettings) -> Result[None, Failure]:
    """Bind the datagram socket and register the service of this role."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp_socket.bind(settings.peer_listen.as_tuple())
    except OSError as error:
        detail = (
            f'cannot bind UDP address {settings.peer_listen}: {error.strerror}'
        )
        return Err(Failure(ErrorKind.PORT_TAKEN, detail))
    if settings.role == ROLE_HOST_AGENT:
        _register_agent(kernel, settings, udp_socket)
    else:
        _register_entry_host(kernel, settings, udp_socket)
    kernel.spawn(datagrams.receive_forever, kernel, udp_socket)
    return Ok(None)


def _register_agent(
    kernel: Kernel,
    settings: HostSettings,
    udp_socket: socket.socket,
) -> None:
    presence = agent.AgentPresence(kernel, settings, udp_socket)
    kernel.register(
        SERVICE_PRESENCE,
        {
            datagrams.DatagramReceived: presence.handle_datagram,
            fleet.SendLoadReport: presence.send_report,
            fleet.ReportToEntryHosts: presence.report_to_entry_hosts,
            fleet.CountKnownEntryHosts: presence.count_entry_hosts,
        },
    )


def _register_entry_host(
    kernel: Kernel,
    settings: HostSettings,
    udp_socket: socket.socket,
) -> None:
    presence = entry_host.EntryHostPresence(kernel, settings, udp_socket)
    own_host = entry_host.make_host_record(settings)

    def start(_message: Started, reply: Reply) -> None:
        kernel.spawn(entry_host.write_host_record, kernel, own_host)
        kernel.send_every(
            SERVICE_PRESENCE, entry_host.Tick(), const.HELLO_PERIOD_S
        )
        reply.ok()

    kernel.register(
        SERVICE_PRESENCE,
        {
            Started: start,
            datagrams.DatagramReceived: presence.handle_datagram,
            entry_host.Tick: presence.handle_tick,
            desired.DesiredStateChanged: presence.apply_state,
            desired.DesiredStateConfirmed: presence.config.record_confirmation,
            desired.ModelVersionChanged: presence.record_version,
            desired.EarlierVersionDeclared: presence.record_version,
            upstreams.UpstreamListed: presence.record_upstream,
            upstreams.UpstreamUnlisted: presence.remove_upstream,
            fleet.EntryHostRecordChanged: presence.update_listed_host,
            prompts.CrashEvidence: presence.update_evidence,
        },
        on_stop=lambda: _drop_host_record(kernel, own_host),
    )


def _drop_host_record(kernel: Kernel, own_host: object) -> None:
    """Drop the record of this host, if the store does so in time."""
    kernel.call(
        SERVICE_STORE,
        RecordEntryHost(own_host, is_listed=False),
        const.DROP_RECORD_TIMEOUT_S,
    )
