"""Send load reports from an agent, and record hellos of entry hosts."""

import time

from gevent import socket
from loguru import logger

from apricotpin.components.presence import const, decisions
from apricotpin.components.presence.datagrams import (
    DatagramReceived,
    send_to_each,
)
from apricotpin.core import Kernel, Reply
from apricotpin.host_settings import HostSettings
from apricotpin.messages import fleet


class AgentPresence:
    """Track the entry hosts that send hellos, and report the load to them."""

    __slots__ = (
        '_entry_hosts',
        '_kernel',
        '_report_count',
        '_settings',
        '_socket',
    )

    def __init__(
        self,
        kernel: Kernel,
        settings: HostSettings,
        udp_socket: socket.socket,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._socket = udp_socket
        # Last hello of each entry host, by host ID.
        self._entry_hosts: dict[str, decisions.LastMessage] = {}
        self._report_count = 0

    def handle_datagram(
        self,
        message: DatagramReceived,
        reply: Reply,
    ) -> None:
        """Record and publish a hello of an entry host."""
        hello = message.payload
        if isinstance(hello, fleet.EntryHello):
            if hello.host_id not in self._entry_hosts:
                logger.bind(entry_host=hello.host_id).info(
                    'entry_host_discovered'
                )
            self._entry_hosts[hello.host_id] = decisions.LastMessage(
                hello, time.monotonic()
            )
            self._kernel.publish(hello)
        reply.ok()

    def send_report(self, message: fleet.SendLoadReport, reply: Reply) -> None:
        """Send a load report to entry hosts that have not timed out."""
        report = message.report
        self._report_count += 1
        report.count = self._report_count
        now_s = time.monotonic()
        silent_ids = decisions.remove_silent(
            self._entry_hosts,
            const.ENTRY_HOST_TIMEOUT_S,
            now_s,
        )
        for host_id in silent_ids:
            logger.bind(entry_host=host_id).info('entry_host_silent')
        hellos = [last.message for last in self._entry_hosts.values()]
        receivers = decisions.select_receivers(
            hellos, self._settings.data_centre, self._report_count
        )
        addresses = [hello.peer_address for hello in receivers]
        send_to_each(self._socket, addresses, report)
        reply.ok()

    def report_to_entry_hosts(
        self,
        message: fleet.ReportToEntryHosts,
        reply: Reply,
    ) -> None:
        """Send a report to listed entry hosts while none is known.

        An entry host responds to the first report of an agent with a hello.
        """
        if not self._entry_hosts:
            addresses = [host.peer_address for host in message.hosts]
            send_to_each(self._socket, addresses, message.report)
        reply.ok()

    def count_entry_hosts(
        self,
        _message: fleet.CountKnownEntryHosts,
        reply: Reply,
    ) -> None:
        """Reply with the number of entry hosts that have not timed out."""
        reply.ok(len(self._entry_hosts))
