"""The agents and entry hosts that an entry host knows or has to look for."""

import itertools

from apricotpin.components.presence import decisions
from apricotpin.components.presence.schedule import (
    HelloSchedule,
    Receiver,
    schedule_to_agents,
    schedule_to_entry_hosts,
)
from apricotpin.helpers.addresses import Address
from apricotpin.messages.feeds import EntryHost
from apricotpin.messages.upstreams import UpstreamEntry


class KnownHosts:
    """Hold the last messages of other hosts, and the lists of the store.

    agents holds the last report of each agent by its peer address, entry_hosts
    the last hello of each other entry host by its host ID. listed_hosts and
    listed_upstreams hold what the store lists, by host or instance ID, and
    models the model of each service that runs one.
    """

    __slots__ = (
        '_own_host',
        'agents',
        'entry_hosts',
        'listed_hosts',
        'listed_upstreams',
        'models',
    )

    def __init__(self, own_host: EntryHost) -> None:
        self._own_host = own_host
        self.agents: dict[str, decisions.LastMessage] = {}
        self.entry_hosts: dict[str, decisions.LastMessage] = {}
        self.listed_hosts: dict[str, EntryHost] = {}
        self.listed_upstreams: dict[str, UpstreamEntry] = {}
        self.models: dict[str, str] = {}

    def receiver(self, address: str, data_centre: str) -> Receiver:
        """Return a host as a receiver of hellos."""
        return Receiver(address, data_centre == self._own_host.data_centre)

    def agent_receivers(self) -> list[Receiver]:
        """Return known agents and the places where others may run.

        An agent may run beside each listed worker; it uses the same peer port
        as this host.
        """
        data_centres = {
            agent: last.message.data_centre
            for agent, last in self.agents.items()
        }
        port = Address.from_text(self._own_host.peer_address).port
        for entry in self.listed_upstreams.values():
            if entry.service in self.models:
                ip = Address.from_text(entry.address).ip
                data_centres.setdefault(f'{ip}:{port}', entry.data_centre)
        return list(itertools.starmap(self.receiver, data_centres.items()))

    def entry_receivers(self) -> list[Receiver]:
        """Return all listed and discovered entry hosts."""
        data_centres = {
            host.peer_address: host.data_centre
            for host in self.listed_hosts.values()
        }
        for last in self.entry_hosts.values():
            hello = last.message
            data_centres[hello.peer_address] = hello.data_centre
        return list(itertools.starmap(self.receiver, data_centres.items()))

    def agent_schedule(self) -> HelloSchedule:
        """Return the schedule of the hellos to agents."""
        remote_hosts = self._count_remote(self.entry_hosts)
        local_hosts = len(self.entry_hosts) - remote_hosts + 1
        return schedule_to_agents(local_hosts, self._count_remote(self.agents))

    def entry_schedule(self) -> HelloSchedule:
        """Return the schedule of the hellos to other entry hosts."""
        return schedule_to_entry_hosts(self._count_remote(self.entry_hosts))

    def _count_remote(self, messages: dict[str, decisions.LastMessage]) -> int:
        own_data_centre = self._own_host.data_centre
        return sum(
            last.message.data_centre != own_data_centre
            for last in messages.values()
        )
