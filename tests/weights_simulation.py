"""Simulate many agents that fetch weights, without sockets, in simulated time.

Every simulated host runs the topology, selection, transfer and serving code of
an agent. Only connections, links and clocks are simulated.
"""

import functools
import heapq
import json
import random

from result import Err, Ok

from apricotpin.components.weights import const
from apricotpin.components.weights.fetcher import chunk_result
from apricotpin.components.weights.selection import (
    SourceSelection,
    abandon_fetch,
    begin_next_fetch,
    overdue_fetchers,
    record_fetch_outcome,
)
from apricotpin.components.weights.serving import ChunkServer
from apricotpin.components.weights.status import TransferTotals
from apricotpin.components.weights.store import VersionStore
from apricotpin.components.weights.topology import Topology
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hashing import digest_hex
from apricotpin.messages.document import ModelTarget
from apricotpin.messages.hosts import Host
from apricotpin.messages.transfers import FetchDone, Fetcher
from apricotpin.messages.weights import FetchChunk

MODEL = 'model'
VERSION = 'v1'
CHUNK_S = 0.02
LATENCY_S = 0.002
TICK_S = 0.1
STALL_S = 1.0
REFUSAL_S = 0.01
CHUNK_BYTES = 8


class Content:
    """Hold the chunks of a version and the bytes of its manifest."""

    def __init__(self, chunk_count):
        self.chunks = [
            index.to_bytes(CHUNK_BYTES, 'big') for index in range(chunk_count)
        ]
        all_bytes = b''.join(self.chunks)
        self.manifest_bytes = json.dumps(
            {
                'model': MODEL,
                'version': VERSION,
                'size_bytes': len(all_bytes),
                'chunk_bytes': CHUNK_BYTES,
                'chunk_digests': [digest_hex(chunk) for chunk in self.chunks],
                'digest': digest_hex(all_bytes),
            }
        ).encode()
        self.target = ModelTarget(
            MODEL,
            {
                'version': VERSION,
                'manifest_digest': digest_hex(self.manifest_bytes),
            },
        )

    def data_at(self, index):
        """Return a chunk or the manifest."""
        if index == const.MANIFEST_INDEX:
            return self.manifest_bytes
        return self.chunks[index]


class RunPlan:
    """Describe one run: its hosts, the settings of the trees and the faults.

    regions maps a host to its region, deaths a host to the time of its death,
    host_lists a host to the only hosts that it knows. corrupt names the hosts
    that send corrupt bytes. cuts are (region, start_s, end_s), origin_outages
    are (start_s, end_s).
    """

    def __init__(self, regions, tree_settings, chunk_count, seed=0):
        self.regions = regions
        self.tree_settings = tree_settings
        self.chunk_count = chunk_count
        self.seed = seed
        self.window_chunks = 2
        self.deaths = {}
        self.host_lists = {}
        self.corrupt = frozenset()
        self.cuts = []
        self.origin_outages = []


class NullKernel:
    """Discard the messages that the serving code sends to the kernel."""

    def send(self, _name, _message):
        """Discard a message."""


def _by_window_index(key):
    stripe, window_index = key
    return (window_index, stripe)


class CallbackReply:
    """Pass a reply to a function of the simulation."""

    def __init__(self, deliver):
        self.ok = deliver


class SimulatedHost:
    """Hold the transfer, selection and serving state of one agent."""

    def __init__(self, plan, host, known_hosts, content):
        self.host = host
        self.store = VersionStore(len(content.manifest_bytes) * 1000)
        stripes = plan.tree_settings.stripes
        self.transfer = self.store.replace_target(content.target, stripes, 0)
        self.transfer.begin_pull(0)
        topology = Topology(
            plan.tree_settings, f'{MODEL}/{VERSION}', known_hosts
        )
        randomness = random.Random(f'{plan.seed}/{host.host_id}')
        self.selection = SourceSelection(
            host.host_id, STALL_S, topology, randomness.random
        )
        self.server = ChunkServer(
            NullKernel(), self.store, TransferTotals(host.host_id)
        )
        self.server.set_stripes(stripes)
        self.uplink_free_s = 0
        self.fetcher_serials = {
            (stripe, window_index): 0
            for stripe in range(stripes)
            for window_index in range(plan.window_chunks)
        }


class LinkCounts:
    """Count the chunks that crossed links and list those sent unverified."""

    def __init__(self):
        self.origin_chunks = 0
        self.uploads = {}
        self.crossings = {}
        self.unchecked = []


class FleetSimulation:
    """Run a plan and count the chunks that cross the links."""

    def __init__(self, plan):
        self.plan = plan
        self.content = Content(plan.chunk_count)
        self.now_s = 0
        self.events = []
        self.serial = 0
        self.origin_link_free_s = 0
        self.counts = LinkCounts()
        all_hosts = [
            Host(host_id, region=region, peer_address=host_id, state='live')
            for host_id, region in plan.regions.items()
        ]
        self.hosts = {
            host.host_id: SimulatedHost(
                plan,
                host,
                [
                    other
                    for other in all_hosts
                    if other is host
                    or other.host_id
                    in plan.host_lists.get(host.host_id, plan.regions)
                ],
                self.content,
            )
            for host in all_hosts
        }

    def run(self, limit_s):
        """Run until all surviving hosts are complete; return the time taken."""
        for host in self.hosts.values():
            self._schedule(0, functools.partial(self._tick, host))
        for host_id, death_s in self.plan.deaths.items():
            self._schedule(death_s, functools.partial(self.hosts.pop, host_id))
        while self.events and not self.is_finished():
            due_s, _, action = heapq.heappop(self.events)
            if due_s > limit_s:
                break
            self.now_s = due_s
            action()
        return self.now_s

    def is_finished(self):
        """Return whether all surviving hosts hold the complete version."""
        return all(host.transfer.is_complete for host in self.hosts.values())

    def _schedule(self, delay_s, action):
        self.serial += 1
        event = (self.now_s + delay_s, self.serial, action)
        heapq.heappush(self.events, event)

    def _is_alive(self, host):
        return host.host.host_id in self.hosts

    def _tick(self, host):
        if not self._is_alive(host):
            return
        host.server.reply_to_overdue(self.now_s)
        for key in overdue_fetchers(host.selection, host.transfer, self.now_s):
            abandon_fetch(host.selection, host.transfer, key, self.now_s)
            host.fetcher_serials[key] += 1
        self._start_fetches(host)
        self._schedule(TICK_S, functools.partial(self._tick, host))

    def _start_fetches(self, host):
        for key in sorted(host.fetcher_serials, key=_by_window_index):
            if key not in host.transfer.active_fetches:
                fetcher = Fetcher(host.transfer.transfer_id, *key)
                order = begin_next_fetch(
                    host.selection, host.transfer, fetcher, self.now_s
                )
                if order is not None:
                    self._fetch(host, fetcher, order)

    def _fetch(self, host, fetcher, order):
        key = (fetcher.stripe, fetcher.index)
        finish = functools.partial(
            self._finish, host, fetcher, order, host.fetcher_serials[key]
        )
        if order.source.kind == const.SOURCE_ORIGIN:
            self._fetch_from_origin(host, order, finish)
            return
        source = self.hosts.get(order.source.host_id)
        if source is None or self._is_cut(host, source):
            failure = Failure(ErrorKind.PEER_UNAVAILABLE, 'refused')
            self._schedule(REFUSAL_S, functools.partial(finish, Err(failure)))
            return
        message = FetchChunk(
            order.model,
            order.version,
            order.index,
            order.wait_ms,
            host.host.host_id,
        )
        reply = CallbackReply(
            functools.partial(self._send, source, host, order, finish)
        )
        self._schedule(
            LATENCY_S,
            functools.partial(self._serve, source, message, reply),
        )
        silent = Err(Failure(ErrorKind.PEER_UNAVAILABLE, 'silent'))
        self._schedule(order.timeout_s, functools.partial(finish, silent))

    def _fetch_from_origin(self, host, order, finish):
        is_down = any(
            start_s <= self.now_s < end_s
            for start_s, end_s in self.plan.origin_outages
        )
        origin_region = self.plan.tree_settings.origin_region
        is_cut = any(
            start_s <= self.now_s < end_s and host.host.region != origin_region
            for region, start_s, end_s in self.plan.cuts
            if region in {origin_region, host.host.region}
        )
        if is_down or is_cut:
            failure = Failure(ErrorKind.ORIGIN_UNAVAILABLE, 'down')
            self._schedule(REFUSAL_S, functools.partial(finish, Err(failure)))
            return
        if order.index != const.MANIFEST_INDEX:
            self.counts.origin_chunks += 1
        if host.host.region != origin_region:
            self._count_crossing(host.host.region, order)
        # The link of the origin has origin_copies times the rate of a host.
        chunk_s = CHUNK_S / self.plan.tree_settings.origin_copies
        self.origin_link_free_s = (
            max(self.origin_link_free_s, self.now_s) + chunk_s
        )
        delay_s = self.origin_link_free_s - self.now_s + LATENCY_S
        received = Ok(self.content.data_at(order.index))
        self._schedule(delay_s, functools.partial(finish, received))

    def _serve(self, source, message, reply):
        if self._is_alive(source):
            source.server.serve(message, reply, self.now_s)

    def _send(self, source, receiver, order, finish, answer):
        if not self._is_alive(source):
            return
        data = answer.data
        delay_s = LATENCY_S
        if answer.status == const.STATUS_OK:
            if data != self.content.data_at(order.index):
                self.counts.unchecked.append((source.host.host_id, order.index))
            source.uplink_free_s = (
                max(source.uplink_free_s, self.now_s) + CHUNK_S
            )
            delay_s += source.uplink_free_s - self.now_s
            self._count_upload(source, receiver, order)
        if source.host.host_id in self.plan.corrupt:
            answer.data = bytes([byte ^ 1 for byte in data])
        outcome = chunk_result(answer)
        self._schedule(delay_s, functools.partial(finish, outcome))

    def _count_upload(self, source, receiver, order):
        if order.index == const.MANIFEST_INDEX:
            return
        name = source.host.host_id
        self.counts.uploads[name] = self.counts.uploads.get(name, 0) + 1
        if source.host.region != receiver.host.region:
            self._count_crossing(receiver.host.region, order)

    def _count_crossing(self, region, order):
        if order.index != const.MANIFEST_INDEX:
            self.counts.crossings[region] = (
                self.counts.crossings.get(region, 0) + 1
            )

    def _finish(self, host, fetcher, order, serial, outcome):
        key = (fetcher.stripe, fetcher.index)
        fetch = host.transfer.active_fetches.get(key)
        is_current = fetch is not None and fetch.order is order
        if not self._is_alive(host) or not is_current:
            return
        if host.fetcher_serials[key] != serial:
            return
        done = FetchDone(fetcher, order, outcome)
        record_fetch_outcome(host.selection, host.transfer, done, self.now_s)
        if host.transfer.content(order.index) is not None:
            host.server.send_to_waiting(host.transfer, order.index)
        self._start_fetches(host)

    def _is_cut(self, one, other):
        regions = {one.host.region, other.host.region}
        return len(regions) > 1 and any(
            region in regions and start_s <= self.now_s < end_s
            for region, start_s, end_s in self.plan.cuts
        )


def fetch_naively(plan, hosts):
    """Return the expected bytes of each host and the chunks the origin sends.

    In this reference every host fetches everything from the origin.
    """
    content = Content(plan.chunk_count)
    fetched = dict.fromkeys(hosts, b''.join(content.chunks))
    return fetched, len(plan.regions) * plan.chunk_count
