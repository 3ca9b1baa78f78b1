"""Simulated entry hosts and agents that run the code of members."""

from apricotpin.components.members import (
    orders,
    reports,
    sweeping,
    syncing,
    table,
)
from apricotpin.components.members.own_host import with_peer_report
from apricotpin.messages.hosts import Host, SyncHosts
from apricotpin.messages.members import ListedHost


def listed(host, leaving=False):
    """Return the entry of a host in the host list."""
    fields = {
        'state': 'live',
        'incarnation': 0,
        'heartbeat_count': 0,
        'version': '',
    }
    return ListedHost(table.copy_host(host, **fields), leaving)


class SimulatedMember:
    """Simulate one process; calls the same functions as MembersService."""

    def __init__(self, name, role, centre, now_s):
        self.alive = False
        self.paused = False
        self.own = Host(
            name,
            role,
            region=f'region-{centre}',
            data_centre=centre,
            peer_address=name,
            state='live',
        )
        self.start(now_s)

    def start(self, now_s):
        """Start as a new process whose table has only its own record."""
        self.alive = True
        self.paused = False
        self.leaving_hosts = set()
        # Seconds of the simulation instead of milliseconds since the epoch.
        self.own = table.copy_host(
            self.own,
            state='live',
            incarnation=int(now_s),
            heartbeat_count=0,
        )
        self.table = table.HostTable(int(now_s), now_s)
        self.rounds = orders.RoundState([])
        reports.apply_own_record(self.table, self.own, now_s)

    def set_own(self, now_s, **changes):
        """Change fields of the own record."""
        own = table.copy_host(self.own, **changes)
        reports.apply_own_record(self.table, own, now_s)
        self.own = self.table.rows[own.host_id].host

    def run_round(self, world):
        """Detect failed hosts, send heartbeats and pull."""
        now_s = world.now_s
        sweeping.sweep_hosts(self.table, now_s, list_is_fresh=True)
        self.rounds.round_number += 1
        orders.update_monitoring(self.own, self.table, self.rounds, now_s)
        self.set_own(now_s, heartbeat_count=self.own.heartbeat_count + 1)
        arguments = (self.own, self.table, self.rounds, now_s)
        for order in orders.heartbeat_orders(*arguments):
            self.call_peer(world, order, SimulatedMember.handle_heartbeat)
        for order in orders.pull_orders(*arguments):
            self.call_peer(world, order, SimulatedMember.handle_pull)

    def call_peer(self, world, order, method):
        """Carry out one call to a peer that may be unreachable."""
        peer = world.reachable(self, order.address)
        if peer is None:
            orders.record_failure(self.rounds, order.address, world.now_s)
            return
        changes = method(peer, order.request, world)
        if changes is not None:
            self.apply_changes(order.address, changes, world.now_s)

    def handle_heartbeat(self, heartbeat, world):
        """Apply a heartbeat."""
        world.naive.record(heartbeat.host)
        reports.apply_heartbeat(self.table, heartbeat.host, world.now_s)

    def handle_pull(self, request, _world):
        """Return the changes that a pull asks for."""
        return syncing.changes_since(self.table, request)

    def apply_changes(self, address, changes, now_s):
        """Apply the changes that a pull returned."""
        orders.record_pull(self.rounds, address, changes)
        for host in changes.hosts:
            if host.host_id == self.own.host_id:
                own = with_peer_report(self.own, host)
                self.set_own(now_s, state=own.state)
            else:
                reports.apply_peer_record(self.table, host, now_s)

    def states(self):
        """Return incarnation and state of all hosts by id."""
        return {
            host.host_id: (host.incarnation, host.state)
            for host in table.effective_hosts(self.table)
        }


class MembersWorld:
    """Simulate the processes, partitions of data centres and the time."""

    def __init__(self, naive, centres, entries, agents):
        self.naive = naive
        self.now_s = 1000
        self.partitioned = set()
        self.members = {}
        for centre in range(centres):
            for index in range(entries):
                self.add(f'e{centre}-{index:02}', 'entry', f'dc{centre}')
            for index in range(agents):
                self.add(f'a{centre}-{index:02}', 'agent', f'dc{centre}')
        for name in self.members:
            self.read_list(name)

    def add(self, name, role, centre):
        """Add a process and start it."""
        member = SimulatedMember(name, role, centre, self.now_s)
        self.members[name] = member

    def read_list(self, name):
        """Let a process read the host list, which contains every host."""
        entries = [listed(member.own) for member in self.members.values()]
        reports.apply_host_list(self.members[name].table, entries, self.now_s)

    def reachable(self, sender, address):
        """Return the peer at an address if a call to it would succeed."""
        peer = self.members[address]
        centres = {sender.own.data_centre, peer.own.data_centre}
        is_partitioned = len(centres) > 1 and centres & self.partitioned
        if is_partitioned or not peer.alive or peer.paused:
            return None
        return peer

    def step(self):
        """Advance the time by one second."""
        self.now_s += 1
        for member in self.members.values():
            if member.alive and not member.paused:
                member.run_round(self)

    def entries(self):
        """Return the entry hosts that are running."""
        return [
            member
            for member in self.members.values()
            if member.own.role == 'entry' and member.alive
        ]


def pull_request(position, known):
    """Return the pull request for a position of the feature's table."""
    end = known.change_number
    same = list(known.digests)
    requests = {
        'the start': SyncHosts(-1, 0, []),
        'the end': SyncHosts(end, known.table_id, []),
        'another table': SyncHosts(end, known.table_id + 1, []),
        'beyond the end': SyncHosts(end + 9, known.table_id, []),
        'an equal table': SyncHosts(-1, 0, same),
    }
    return requests[position]
