"""Datagrams between entry hosts and agents: who is there, and its load."""

from gevent import socket
from result import Err, Ok, Result

from apricotpin.components.presence import agent, const, endpoint, entry
from apricotpin.const import (
    ROLE_HOST_AGENT,
    SERVICE_PRESENCE,
    SERVICE_STORE,
)
from apricotpin.core import Kernel, Reply, Started
from apricotpin.errors import ErrorKind, Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages import desired, fleet, upstreams
from apricotpin.messages.feeds import RecordEntryHost


def setup(kernel: Kernel, settings: HostSettings) -> Result[None, Failure]:
    """Register the presence service of this role."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        opened.bind(settings.peer_listen.as_tuple())
    except OSError as error:
        detail = f'cannot bind {settings.peer_listen}: {error.strerror}'
        return Err(Failure(ErrorKind.PORT_TAKEN, detail))
    if settings.role == ROLE_HOST_AGENT:
        _start_agent(kernel, settings, opened)
    else:
        _start_entry(kernel, settings, opened)
    kernel.spawn(endpoint.receive_forever, kernel, opened)
    return Ok(None)


def _start_agent(
    kernel: Kernel,
    settings: HostSettings,
    opened: socket.socket,
) -> None:
    presence = agent.AgentPresence(kernel, settings, opened)
    kernel.register(
        SERVICE_PRESENCE,
        {
            endpoint.Received: presence.receive,
            fleet.SendLoadReport: presence.announce,
            fleet.ReportToEntryHosts: presence.find_entries,
            fleet.CountKnownEntryHosts: presence.count_entries,
        },
    )


def _start_entry(
    kernel: Kernel,
    settings: HostSettings,
    opened: socket.socket,
) -> None:
    presence = entry.EntryPresence(kernel, settings, opened)
    host = entry.own_host(settings)

    def start(_message: Started, reply: Reply) -> None:
        kernel.spawn(entry.record_host, kernel, host)
        kernel.send_every(SERVICE_PRESENCE, entry.Tick(), const.HELLO_PERIOD_S)
        reply.ok()

    kernel.register(
        SERVICE_PRESENCE,
        {
            Started: start,
            endpoint.Received: presence.receive,
            entry.Tick: presence.tick,
            desired.DesiredStateChanged: presence.change_state,
            desired.ModelVersionChanged: presence.change_version,
            desired.EarlierVersionDeclared: presence.change_version,
            upstreams.UpstreamListed: presence.list_upstream,
            upstreams.UpstreamUnlisted: presence.unlist_upstream,
            fleet.EntryHostRecordChanged: presence.list_entry,
        },
        on_stop=lambda: _leave(kernel, host),
    )


def _leave(kernel: Kernel, host: object) -> None:
    """Drop this host's record, if the store takes that in time."""
    kernel.call(
        SERVICE_STORE, RecordEntryHost(host, is_listed=False), const.LEAVE_S
    )
