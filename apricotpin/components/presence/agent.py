"""What an agent says to entry hosts, and hears from them."""

import time

from gevent import socket
from loguru import logger

from apricotpin.components.presence import const, decisions
from apricotpin.components.presence.endpoint import Received, send_all
from apricotpin.core import Kernel, Reply
from apricotpin.host_settings import HostSettings
from apricotpin.messages import fleet


class AgentPresence:
    """Own what an agent knows of entry hosts, and send its reports."""

    __slots__ = ('_count', '_entries', '_kernel', '_settings', '_socket')

    def __init__(
        self,
        kernel: Kernel,
        settings: HostSettings,
        endpoint: socket.socket,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._socket = endpoint
        self._entries: dict[str, decisions.Seen] = {}
        self._count = 0

    def receive(self, message: Received, reply: Reply) -> None:
        """Take a greeting."""
        hello = message.message
        if isinstance(hello, fleet.EntryHello):
            if hello.host_id not in self._entries:
                logger.bind(entry_host=hello.host_id).info('entry_host_heard')
            self._entries[hello.host_id] = decisions.Seen(
                hello, time.monotonic()
            )
            self._kernel.publish(hello)
        reply.ok()

    def announce(self, message: fleet.SendLoadReport, reply: Reply) -> None:
        """Send a report to the entry hosts that greeted lately."""
        report = message.report
        self._count += 1
        report.count = self._count
        now_s = time.monotonic()
        gone = decisions.drop_silent(
            self._entries,
            const.ENTRY_SILENT_S,
            now_s,
        )
        for host_id in gone:
            logger.bind(entry_host=host_id).info('entry_host_silent')
        hellos = [seen.message for seen in self._entries.values()]
        due = decisions.receivers(
            hellos, self._settings.data_centre, self._count
        )
        addresses = [hello.peer_address for hello in due]
        send_all(self._socket, addresses, report)
        reply.ok()

    def find_entries(
        self, message: fleet.ReportToEntryHosts, reply: Reply
    ) -> None:
        """Send a report to recorded entry hosts, so that they greet."""
        if not self._entries:
            addresses = [host.peer_address for host in message.hosts]
            send_all(self._socket, addresses, message.report)
        reply.ok()

    def count_entries(
        self,
        _message: fleet.CountKnownEntryHosts,
        reply: Reply,
    ) -> None:
        """Answer how many entry hosts greeted lately."""
        reply.ok(len(self._entries))
