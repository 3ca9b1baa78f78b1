"""What an entry host says to agents and other entry hosts, and hears."""

import time

from gevent import sleep, socket
from loguru import logger

from apricotpin.components.presence import const, decisions, paths
from apricotpin.components.presence.endpoint import (
    Received,
    send,
    send_all,
)
from apricotpin.components.presence.versions import (
    UNDECLARED_VERSION,
    DeclaredVersions,
)
from apricotpin.const import SERVICE_CONFIGURATION, SERVICE_STORE
from apricotpin.core import Kernel, Reply
from apricotpin.helpers import clocks
from apricotpin.helpers.addresses import Address
from apricotpin.host_settings import HostSettings
from apricotpin.messages import desired, fleet, upstreams
from apricotpin.messages.feeds import EntryHost, RecordEntryHost


_MS_PER_S = 1000


class Tick:
    """Send what is due."""

    __slots__ = ()


class EntryPresence:
    """Own what an entry host knows of agents and other entry hosts."""

    __slots__ = (
        '_agents',
        '_config_version',
        '_entries',
        '_kernel',
        '_listed',
        '_models',
        '_own',
        '_recorded',
        '_resumable',
        '_socket',
        '_ticks',
        '_versions',
        '_paths',
    )

    def __init__(
        self,
        kernel: Kernel,
        settings: HostSettings,
        endpoint: socket.socket,
    ) -> None:
        self._kernel = kernel
        self._socket = endpoint
        self._own = own_host(settings)
        self._agents: dict[str, decisions.Seen] = {}
        self._entries: dict[str, decisions.Seen] = {}
        # Entry hosts by their records, and agents by the entries of workers.
        self._recorded: dict[str, EntryHost] = {}
        self._listed: dict[str, upstreams.UpstreamEntry] = {}
        self._models: dict[str, str] = {}
        self._versions = DeclaredVersions()
        self._paths: dict[str, paths.Heard] = {}
        self._config_version = 0
        self._resumable: set[str] = set()
        self._ticks = 0

    def change_state(
        self,
        message: desired.DesiredStateChanged,
        reply: Reply,
    ) -> None:
        """Learn which model each service runs, and tell others at once.

        A host that the store turns away learns of a change from these.
        """
        self._models = {
            spec.name: spec.engine.model
            for spec in message.state.services
            if spec.engine is not None
        }
        self._resumable = decisions.resumable_services(message.state)
        self._config_version = message.state.version
        self._greet_entries()
        reply.ok()

    def change_version(
        self,
        message: desired.ModelVersionChanged | desired.EarlierVersionDeclared,
        reply: Reply,
    ) -> None:
        """Tell agents and entry hosts of a declared version at once."""
        self._versions.note(message.target, message.declared_for_s)
        self._greet_agents(near_only=False)
        # Hosts that do not read the store learn of the version by this.
        self._greet_entries()
        reply.ok()

    def list_upstream(
        self,
        message: upstreams.UpstreamListed,
        reply: Reply,
    ) -> None:
        """Learn where agents may be."""
        self._listed[message.entry.instance_id] = message.entry
        reply.ok()

    def unlist_upstream(
        self,
        message: upstreams.UpstreamUnlisted,
        reply: Reply,
    ) -> None:
        """Forget an upstream."""
        self._listed.pop(message.instance_id, None)
        reply.ok()

    def list_entry(
        self, message: fleet.EntryHostRecordChanged, reply: Reply
    ) -> None:
        """Learn of another entry host by its record."""
        host = message.host
        if message.is_listed and host.host_id != self._own.host_id:
            known = self._recorded.get(host.host_id)
            self._recorded[host.host_id] = host
            if known is None and host.host_id not in self._entries:
                self._greet_entry(host.peer_address)
        else:
            self._recorded.pop(host.host_id, None)
        reply.ok()

    def receive(self, message: Received, reply: Reply) -> None:
        """Take what another host says."""
        told = message.message
        if isinstance(told, fleet.EntryHello):
            self._hear_entry(told)
        else:
            self._hear_agent(told)
        reply.ok()

    def tick(self, _message: Tick, reply: Reply) -> None:
        """Greet agents and entry hosts, and forget those who are silent."""
        self._ticks += 1
        far = self._ticks % const.FAR_HELLO_EVERY == 0
        self._greet_agents(near_only=not far)
        if far:
            self._greet_entries()
            delays_s = paths.round_trips(
                self._paths, self._own.data_centre, clocks.boot_time_s()
            )
            self._kernel.publish(fleet.PathDelaysMeasured(delays_s))
        now_s = time.monotonic()
        decisions.drop_silent(self._agents, const.AGENT_SILENT_S, now_s)
        gone = decisions.drop_silent(
            self._entries,
            const.ENTRY_SILENT_S,
            now_s,
        )
        for host_id in gone:
            self._paths.pop(host_id, None)
            logger.bind(entry_host=host_id).info('entry_host_silent')
        if gone:
            self._announce_entries()
        reply.ok()

    def _hear_entry(self, hello: fleet.EntryHello) -> None:
        known = self._entries.get(hello.host_id)
        paths.note_greeting(self._paths, hello, clocks.boot_time_s())
        self._entries[hello.host_id] = decisions.Seen(hello, time.monotonic())
        if known is None:
            logger.bind(entry_host=hello.host_id).info('entry_host_heard')
            self._announce_entries()
            # Hosts that start together know each other at once by this.
            self._greet_entry(hello.peer_address)
        if hello.config_version > self._config_version:
            self._kernel.send(
                SERVICE_CONFIGURATION,
                fleet.ConfigVersionReceived(
                    hello.peer_address, hello.config_version
                ),
            )
        for target in (*hello.earlier, *hello.targets):
            if target.version == UNDECLARED_VERSION:
                continue
            self._kernel.send(
                SERVICE_CONFIGURATION,
                fleet.DeclaredVersionReceived(
                    target.model,
                    target.version,
                    _seconds(target.known_for_ms),
                ),
            )

    def _hear_agent(self, report: fleet.LoadReport) -> None:
        known = self._agents.get(report.peer_address)
        if not decisions.is_newer(known, report):
            return
        self._agents[report.peer_address] = decisions.Seen(
            report, time.monotonic()
        )
        self._kernel.publish(report)
        if known is not None and known.message.version != report.version:
            # The next group waits for this.
            self._greet_agents(near_only=True)
        if known is None:
            logger.bind(agent=report.peer_address).info('agent_heard')
            self._greet(report.peer_address, report.data_centre)

    def _announce_entries(self) -> None:
        others = [
            EntryHost(
                hello.message.host_id,
                hello.message.peer_address,
                hello.message.data_centre,
            )
            for hello in self._entries.values()
        ]
        hosts = (self._own, *others)
        self._kernel.publish(fleet.EntryHostsChanged(hosts))

    def _greet_agents(self, near_only: bool) -> None:
        places = {
            agent: seen.message.data_centre
            for agent, seen in self._agents.items()
        }
        port = Address.from_text(self._own.peer_address).port
        for entry in self._listed.values():
            if entry.service in self._models:
                ip = Address.from_text(entry.address).ip
                places.setdefault(f'{ip}:{port}', entry.data_centre)
        for agent, data_centre in places.items():
            if not near_only or data_centre == self._own.data_centre:
                self._greet(agent, data_centre)

    def _greet(self, agent: str, data_centre: str) -> None:
        targets = self._versions.targets(self._models)
        turn, group, version, service_name = 0, 0, 0, ''
        seen = self._agents.get(agent)
        if seen is not None:
            version = self._version_for(seen.message)
            turn, group = decisions.turn_of(
                seen.message,
                self._agents.values(),
                version,
            )
            service_name = seen.message.service_name
        hello = fleet.EntryHello(
            self._own.host_id,
            self._own.peer_address,
            self._own.data_centre,
            targets,
            turn,
            group,
            may_cut=service_name in self._resumable,
            turn_version=version,
        )
        send(self._socket, agent, hello)

    def _version_for(self, report: fleet.LoadReport) -> int:
        """Return the version that an agent brings to its worker next."""
        model = self._models.get(report.service_name, '')
        return report.installing or self._versions.newest(model)

    def _greet_entry(self, *addresses: str) -> None:
        now_s = clocks.boot_time_s()
        hello = fleet.EntryHello(
            self._own.host_id,
            self._own.peer_address,
            self._own.data_centre,
            self._versions.targets(self._models),
            config_version=self._config_version,
            earlier=self._versions.earlier(self._models),
            sent_ms=int(now_s * _MS_PER_S),
            paths=paths.as_told(paths.delays_from(self._paths, now_s)),
        )
        send_all(self._socket, addresses, hello)

    def _greet_entries(self) -> None:
        addresses = {host.peer_address for host in self._recorded.values()}
        addresses.update(
            seen.message.peer_address for seen in self._entries.values()
        )
        self._greet_entry(*addresses)


def own_host(settings: HostSettings) -> EntryHost:
    """Return the record of this host."""
    return EntryHost(
        settings.host_id,
        settings.peer_address,
        settings.data_centre,
    )


def record_host(kernel: Kernel, host: EntryHost) -> None:
    """Write this host's record until the store takes it."""
    while True:
        written = kernel.call(
            SERVICE_STORE,
            RecordEntryHost(host),
            const.STORE_TIMEOUT_S,
        )
        if written.is_ok():
            return
        sleep(const.RECORD_RETRY_S)


def _seconds(known_for_ms: int) -> float:
    return -1 if known_for_ms < 0 else known_for_ms / 1000
