"""Send hellos from an entry host, and record the reports of agents."""

import time

from gevent import sleep, socket
from loguru import logger

from apricotpin.components.presence import (
    const,
    decisions,
    paths,
    schedule,
    switching,
)
from apricotpin.components.presence.config_state import (
    ConfigState,
    find_confirmation,
)
from apricotpin.components.presence.datagrams import (
    DatagramReceived,
    send_to_each,
)
from apricotpin.components.presence.declared_versions import (
    UNDECLARED_VERSION,
    DeclaredVersions,
)
from apricotpin.components.presence.known_hosts import KnownHosts
from apricotpin.const import SERVICE_CONFIGURATION, SERVICE_STORE
from apricotpin.core import Kernel, Reply
from apricotpin.helpers import clocks
from apricotpin.host_settings import HostSettings
from apricotpin.messages import desired, fleet, prompts, upstreams
from apricotpin.messages.feeds import EntryHost, RecordEntryHost


_MS_PER_S = 1000


class Tick:
    """Ask the service to send the hellos that are due; sent periodically."""

    __slots__ = ()


class EntryHostPresence:
    """Track agents and other entry hosts, and send hellos to them."""

    __slots__ = (
        'config',
        '_declared_versions',
        '_evidence',
        '_delays_s',
        '_host_timings',
        '_kernel',
        '_known',
        '_own_host',
        '_resumable_services',
        '_socket',
        '_ticks',
    )

    def __init__(
        self,
        kernel: Kernel,
        settings: HostSettings,
        udp_socket: socket.socket,
    ) -> None:
        self._kernel = kernel
        self._socket = udp_socket
        self._own_host = make_host_record(settings)
        self._known = KnownHosts(self._own_host)
        self._declared_versions = DeclaredVersions()
        self._host_timings: dict[str, paths.HostTimings] = {}
        self.config = ConfigState()
        self._resumable_services: frozenset[str] = frozenset()
        self._ticks = 0
        self._evidence: prompts.CrashEvidence | None = None
        # Path delays from each data centre, as measured last.
        self._delays_s: dict[str, float] = {}

    def apply_state(
        self,
        message: desired.DesiredStateChanged,
        reply: Reply,
    ) -> None:
        """Record the model of each service, and send hellos to entry hosts.

        A host that the store refuses learns of the new state from these.
        """
        self._known.models = {
            spec.name: spec.engine.model
            for spec in message.state.services
            if spec.engine is not None
        }
        self._resumable_services = decisions.resumable_services(message.state)
        self.config.version = message.state.version
        self._send_entry_hello(*self._known.entry_receivers())
        reply.ok()

    def record_version(
        self,
        message: desired.ModelVersionChanged | desired.EarlierVersionDeclared,
        reply: Reply,
    ) -> None:
        """Record a declared version, and send hellos that carry it."""
        self._declared_versions.record(message.target, message.declared_for_s)
        self._send_agent_hello(*self._known.agent_receivers())
        # Entry hosts that do not read the store learn of it from hellos only.
        self._send_entry_hello(*self._known.entry_receivers())
        reply.ok()

    def record_upstream(
        self,
        message: upstreams.UpstreamListed,
        reply: Reply,
    ) -> None:
        """Record an upstream, beside which an agent may run."""
        self._known.listed_upstreams[message.entry.instance_id] = message.entry
        reply.ok()

    def remove_upstream(
        self,
        message: upstreams.UpstreamUnlisted,
        reply: Reply,
    ) -> None:
        """Remove an upstream that is no longer listed."""
        self._known.listed_upstreams.pop(message.instance_id, None)
        reply.ok()

    def update_listed_host(
        self,
        message: fleet.EntryHostRecordChanged,
        reply: Reply,
    ) -> None:
        """Record or remove another entry host that the store lists.

        A hello is sent to a host that is new here. The record of this host may
        be dropped late by an earlier process; it is then written again.
        """
        host = message.host
        is_own = host.host_id == self._own_host.host_id
        if is_own and not message.is_listed and not self._kernel.stopping:
            self._kernel.spawn(write_host_record, self._kernel, self._own_host)
        if message.is_listed and not is_own:
            known = self._known.listed_hosts.get(host.host_id)
            self._known.listed_hosts[host.host_id] = host
            if known is None and host.host_id not in self._known.entry_hosts:
                self._send_entry_hello(
                    self._known.receiver(host.peer_address, host.data_centre)
                )
        else:
            self._known.listed_hosts.pop(host.host_id, None)
        reply.ok()

    def update_evidence(
        self, message: prompts.CrashEvidence, reply: Reply
    ) -> None:
        """Replace the evidence that hellos to entry hosts carry.

        What is urgent is sent to this data centre at once. All of its hosts
        pass it on in their hellos to others.
        """
        self._evidence = None if message.is_empty else message
        if message.is_urgent:
            self._send_entry_hello(
                *(one for one in self._known.entry_receivers() if one.is_local)
            )
        reply.ok()

    def handle_datagram(
        self,
        message: DatagramReceived,
        reply: Reply,
    ) -> None:
        """Handle a hello of an entry host or a load report of an agent."""
        payload = message.payload
        if isinstance(payload, fleet.EntryHello):
            self._handle_hello(payload)
        else:
            self._handle_report(payload)
        reply.ok()

    def handle_tick(self, _message: Tick, reply: Reply) -> None:
        """Send the hellos that are due, and remove hosts that timed out."""
        self._ticks += 1
        self._send_due_hellos()
        if self._ticks % const.SLOW_HELLO_TICKS == 0:
            measured_s = clocks.boot_time_s()
            self._delays_s = paths.delays_from(self._host_timings, measured_s)
            delays_s = paths.round_trip_delays(
                self._host_timings, self._own_host.data_centre, measured_s
            )
            self._kernel.publish(fleet.PathDelaysMeasured(delays_s))
        now_s = time.monotonic()
        decisions.remove_silent(
            self._known.agents, const.AGENT_TIMEOUT_S, now_s
        )
        silent_ids = decisions.remove_silent(
            self._known.entry_hosts,
            const.ENTRY_HOST_TIMEOUT_S,
            now_s,
        )
        for host_id in silent_ids:
            self._host_timings.pop(host_id, None)
            logger.bind(entry_host=host_id).info('entry_host_silent')
        if silent_ids:
            self._publish_entry_hosts()
        reply.ok()

    def _handle_hello(self, hello: fleet.EntryHello) -> None:
        known = self._known.entry_hosts.get(hello.host_id)
        paths.record_hello(self._host_timings, hello, clocks.boot_time_s())
        self._known.entry_hosts[hello.host_id] = decisions.LastMessage(
            hello, time.monotonic()
        )
        if known is None:
            logger.bind(entry_host=hello.host_id).info('entry_host_discovered')
            self._publish_entry_hosts()
            # Responds at once, so that hosts that start at the same time do
            # not wait for the next periodic hello to discover each other.
            self._send_entry_hello(
                self._known.receiver(hello.peer_address, hello.data_centre)
            )
        if hello.config_version > self.config.version:
            self._kernel.send(
                SERVICE_CONFIGURATION,
                fleet.ConfigVersionReceived(
                    hello.peer_address, hello.config_version
                ),
            )
        confirmation = find_confirmation(
            self.config, hello, clocks.boot_time_s()
        )
        if confirmation is not None:
            self._kernel.send(SERVICE_CONFIGURATION, confirmation)
        if hello.evidence is not None:
            self._kernel.publish(prompts.CrashEvidenceReceived(hello.evidence))
        for target in (*hello.earlier, *hello.targets):
            if target.version == UNDECLARED_VERSION:
                continue
            self._kernel.send(
                SERVICE_CONFIGURATION,
                fleet.DeclaredVersionReceived(
                    target.model,
                    target.version,
                    _to_seconds(target.known_for_ms),
                ),
            )

    def _handle_report(self, report: fleet.LoadReport) -> None:
        known = self._known.agents.get(report.peer_address)
        if not decisions.is_newer(known, report):
            return
        self._known.agents[report.peer_address] = decisions.LastMessage(
            report, time.monotonic()
        )
        self._kernel.publish(report)
        if known is not None and known.message.version != report.version:
            # The next switch group waits for this worker.
            self._send_agent_hello(
                *(one for one in self._known.agent_receivers() if one.is_local)
            )
        if known is None:
            logger.bind(agent=report.peer_address).info('agent_discovered')
            self._send_agent_hello(
                self._known.receiver(report.peer_address, report.data_centre)
            )

    def _publish_entry_hosts(self) -> None:
        others = [
            EntryHost(
                last.message.host_id,
                last.message.peer_address,
                last.message.data_centre,
            )
            for last in self._known.entry_hosts.values()
        ]
        hosts = (self._own_host, *others)
        self._kernel.publish(fleet.EntryHostsChanged(hosts))

    def _send_due_hellos(self) -> None:
        """Send the hellos to agents and entry hosts that are due now."""
        own_id = self._own_host.host_id
        self._send_agent_hello(
            *schedule.select_due(
                self._known.agent_receivers(),
                self._known.agent_schedule(),
                own_id,
                self._ticks,
            )
        )
        self._send_entry_hello(
            *schedule.select_due(
                self._known.entry_receivers(),
                self._known.entry_schedule(),
                own_id,
                self._ticks,
            )
        )

    def _send_agent_hello(self, *agents: schedule.Receiver) -> None:
        """Send a hello to agents."""
        turns = switching.switch_turns(
            (last.message for last in self._known.agents.values()),
            self._target_version,
            self._resumable_services,
        )
        hellos = switching.make_agent_hellos(
            self._own_host,
            self._declared_versions.targets(self._known.models),
            agents,
            turns,
            self._known.agent_schedule(),
        )
        for addressed in hellos:
            send_to_each(self._socket, addressed.addresses, addressed.hello)

    def _target_version(self, report: fleet.LoadReport) -> int:
        """Return the version that an agent installs now or has to next."""
        model = self._known.models.get(report.service_name, '')
        return report.installing or self._declared_versions.newest(model)

    def _send_entry_hello(self, *receivers: schedule.Receiver) -> None:
        """Send a hello to entry hosts."""
        now_s = clocks.boot_time_s()
        hello = fleet.EntryHello(
            self._own_host.host_id,
            self._own_host.peer_address,
            self._own_host.data_centre,
            self._declared_versions.targets(self._known.models),
            config_version=self.config.version,
            earlier=self._declared_versions.earlier(self._known.models),
            sent_ms=int(now_s * _MS_PER_S),
            paths=paths.to_messages(self._delays_s),
            evidence=self._evidence,
            config_age_ms=self.config.age_ms(),
        )
        hello_schedule = self._known.entry_schedule()
        for is_local in (True, False):
            addresses = [
                one.address for one in receivers if one.is_local == is_local
            ]
            if addresses:
                hello.period_ms = hello_schedule.period_ms(is_local)
                send_to_each(self._socket, addresses, hello)


def make_host_record(settings: HostSettings) -> EntryHost:
    """Return the record under which the store lists this host."""
    return EntryHost(
        settings.host_id,
        settings.peer_address,
        settings.data_centre,
    )


def write_host_record(kernel: Kernel, host: EntryHost) -> None:
    """Write the record of this host, and retry until the store accepts it."""
    while True:
        written = kernel.call(
            SERVICE_STORE,
            RecordEntryHost(host),
            const.STORE_TIMEOUT_S,
        )
        if written.is_ok():
            return
        sleep(const.RECORD_RETRY_S)


def _to_seconds(known_for_ms: int) -> float:
    """Return an age in seconds; -1 stands for unknown and stays."""
    return -1 if known_for_ms < 0 else known_for_ms / 1000
