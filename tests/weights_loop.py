"""Run the decisions of many agents over virtual time, without sockets.

Every host runs the same topology, selection, transfer and serving code as an
agent. The loop stands in for connections, links and clocks only.
"""

import functools
import heapq
import json
import random

from result import Err, Ok

from apricotpin.components.weights import const
from apricotpin.components.weights.report import Totals
from apricotpin.components.weights.selection import (
    Selection,
    abandon_lane,
    next_fetch,
    overdue_lanes,
    settle_fetch,
)
from apricotpin.components.weights.serving import ChunkServer
from apricotpin.components.weights.store import VersionStore
from apricotpin.components.weights.topology import Topology
from apricotpin.components.weights.fetcher import content_of
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hashing import digest_hex
from apricotpin.messages.document import ModelTarget
from apricotpin.messages.hosts import Host
from apricotpin.messages.transfers import FetchDone, Lane
from apricotpin.messages.weights import FetchChunk

MODEL = 'model'
VERSION = 'v1'
CHUNK_S = 0.02
LATENCY_S = 0.002
ASK_S = 0.1
STALL_S = 1.0
REFUSED_S = 0.01
CHUNK_BYTES = 8


class Content:
    """Hold the chunks of a version and its manifest as the origin sends it."""

    def __init__(self, chunk_count):
        self.chunks = [
            index.to_bytes(CHUNK_BYTES, 'big') for index in range(chunk_count)
        ]
        whole = b''.join(self.chunks)
        self.manifest_bytes = json.dumps(
            {
                'model': MODEL,
                'version': VERSION,
                'size_bytes': len(whole),
                'chunk_bytes': CHUNK_BYTES,
                'chunk_digests': [digest_hex(chunk) for chunk in self.chunks],
                'digest': digest_hex(whole),
            }
        ).encode()
        self.target = ModelTarget(
            MODEL,
            {
                'version': VERSION,
                'manifest_digest': digest_hex(self.manifest_bytes),
            },
        )

    def at(self, index):
        """Return a chunk or the manifest."""
        if index == const.MANIFEST_INDEX:
            return self.manifest_bytes
        return self.chunks[index]


class Plan:
    """Hold the hosts, the shape of the trees and the faults of one run.

    deaths and host_lists map a host to a time or to the hosts it knows;
    cuts are (region, from_s, to_s), origin_outages are (from_s, to_s).
    """

    def __init__(self, regions, shape, chunk_count, seed=0):
        self.regions = regions
        self.shape = shape
        self.chunk_count = chunk_count
        self.seed = seed
        self.window = 2
        self.deaths = {}
        self.host_lists = {}
        self.corrupt = frozenset()
        self.cuts = []
        self.origin_outages = []


class NullKernel:
    """Drop the counters that the serving code sends."""

    def send(self, _name, _message):
        """Drop a message."""


def _by_place(key):
    stripe, place = key
    return (place, stripe)


class LoopReply:
    """Pass an answer to the loop."""

    def __init__(self, deliver):
        self.ok = deliver


class LoopHost:
    """Hold the decisions' state of one agent."""

    def __init__(self, plan, host, known, content):
        self.host = host
        self.store = VersionStore(len(content.manifest_bytes) * 1000)
        stripes = plan.shape.stripes
        self.transfer = self.store.replace_target(content.target, stripes, 0)
        self.transfer.pull(0)
        topology = Topology(plan.shape, f'{MODEL}/{VERSION}', known)
        randomness = random.Random(f'{plan.seed}/{host.host_id}')
        self.selection = Selection(
            host.host_id, STALL_S, topology, randomness.random
        )
        self.server = ChunkServer(
            NullKernel(), self.store, Totals(host.host_id)
        )
        self.server.resize(stripes)
        self.free_s = 0
        self.lane_serials = {
            (stripe, place): 0
            for stripe in range(stripes)
            for place in range(plan.window)
        }


class Counts:
    """Hold the chunks that crossed links, and any that were not checked."""

    def __init__(self):
        self.origin_chunks = 0
        self.uploads = {}
        self.crossings = {}
        self.unchecked = []


class Loop:
    """Run a plan and count what crosses the links."""

    def __init__(self, plan):
        self.plan = plan
        self.content = Content(plan.chunk_count)
        self.now_s = 0
        self.events = []
        self.serial = 0
        self.origin_free_s = 0
        self.counts = Counts()
        everybody = [
            Host(host_id, region=region, peer_address=host_id, state='live')
            for host_id, region in plan.regions.items()
        ]
        self.hosts = {
            host.host_id: LoopHost(
                plan,
                host,
                [
                    other
                    for other in everybody
                    if other is host
                    or other.host_id
                    in plan.host_lists.get(host.host_id, plan.regions)
                ],
                self.content,
            )
            for host in everybody
        }

    def run(self, limit_s):
        """Run until every living host is complete; return the time taken."""
        for host in self.hosts.values():
            self._later(0, functools.partial(self._tick, host))
        for host_id, death_s in self.plan.deaths.items():
            self._later(death_s, functools.partial(self.hosts.pop, host_id))
        while self.events and not self.finished():
            due_s, _, action = heapq.heappop(self.events)
            if due_s > limit_s:
                break
            self.now_s = due_s
            action()
        return self.now_s

    def finished(self):
        """Tell whether nothing is left to fetch."""
        return all(host.transfer.complete for host in self.hosts.values())

    def _later(self, delay_s, action):
        self.serial += 1
        event = (self.now_s + delay_s, self.serial, action)
        heapq.heappush(self.events, event)

    def _alive(self, host):
        return host.host.host_id in self.hosts

    def _tick(self, host):
        if not self._alive(host):
            return
        host.server.answer_overdue(self.now_s)
        for key in overdue_lanes(host.selection, host.transfer, self.now_s):
            abandon_lane(host.selection, host.transfer, key, self.now_s)
            host.lane_serials[key] += 1
        self._ask(host)
        self._later(ASK_S, functools.partial(self._tick, host))

    def _ask(self, host):
        for key in sorted(host.lane_serials, key=_by_place):
            if key not in host.transfer.open_fetches:
                lane = Lane(host.transfer.transfer_id, *key)
                order = next_fetch(
                    host.selection, host.transfer, lane, self.now_s
                )
                if order is not None:
                    self._fetch(host, lane, order)

    def _fetch(self, host, lane, order):
        key = (lane.stripe, lane.slot)
        finish = functools.partial(
            self._finish, host, lane, order, host.lane_serials[key]
        )
        if order.source.kind == const.SOURCE_ORIGIN:
            self._fetch_from_origin(host, order, finish)
            return
        source = self.hosts.get(order.source.host_id)
        if source is None or self._is_cut(host, source):
            failure = Failure(ErrorKind.PEER_UNAVAILABLE, 'refused')
            self._later(REFUSED_S, functools.partial(finish, Err(failure)))
            return
        message = FetchChunk(
            order.model,
            order.version,
            order.index,
            order.wait_ms,
            host.host.host_id,
        )
        reply = LoopReply(
            functools.partial(self._send, source, host, order, finish)
        )
        self._later(
            LATENCY_S,
            functools.partial(self._serve, source, message, reply),
        )
        silent = Err(Failure(ErrorKind.PEER_UNAVAILABLE, 'silent'))
        self._later(order.timeout_s, functools.partial(finish, silent))

    def _fetch_from_origin(self, host, order, finish):
        down = any(
            start_s <= self.now_s < end_s
            for start_s, end_s in self.plan.origin_outages
        )
        home = self.plan.shape.origin_region
        cut = any(
            start_s <= self.now_s < end_s and host.host.region != home
            for region, start_s, end_s in self.plan.cuts
            if region in {home, host.host.region}
        )
        if down or cut:
            failure = Failure(ErrorKind.ORIGIN_UNAVAILABLE, 'down')
            self._later(REFUSED_S, functools.partial(finish, Err(failure)))
            return
        if order.index != const.MANIFEST_INDEX:
            self.counts.origin_chunks += 1
        if host.host.region != home:
            self._count_crossing(host.host.region, order)
        # The origin's link is as fast as its copies need.
        chunk_s = CHUNK_S / self.plan.shape.origin_copies
        self.origin_free_s = max(self.origin_free_s, self.now_s) + chunk_s
        delay_s = self.origin_free_s - self.now_s + LATENCY_S
        received = Ok(self.content.at(order.index))
        self._later(delay_s, functools.partial(finish, received))

    def _serve(self, source, message, reply):
        if self._alive(source):
            source.server.serve(message, reply, self.now_s)

    def _send(self, source, receiver, order, finish, answer):
        if not self._alive(source):
            return
        sent = answer.data
        delay_s = LATENCY_S
        if answer.status == const.STATUS_OK:
            if sent != self.content.at(order.index):
                self.counts.unchecked.append((source.host.host_id, order.index))
            source.free_s = max(source.free_s, self.now_s) + CHUNK_S
            delay_s += source.free_s - self.now_s
            self._count_upload(source, receiver, order)
        if source.host.host_id in self.plan.corrupt:
            answer.data = bytes([byte ^ 1 for byte in sent])
        outcome = content_of(answer)
        self._later(delay_s, functools.partial(finish, outcome))

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

    def _finish(self, host, lane, order, serial, outcome):
        key = (lane.stripe, lane.slot)
        fetch = host.transfer.open_fetches.get(key)
        is_current = fetch is not None and fetch.order is order
        if not self._alive(host) or not is_current:
            return
        if host.lane_serials[key] != serial:
            return
        done = FetchDone(lane, order, outcome)
        settle_fetch(host.selection, host.transfer, done, self.now_s)
        if host.transfer.content(order.index) is not None:
            host.server.answer_held(host.transfer, order.index)
        self._ask(host)

    def _is_cut(self, one, other):
        regions = {one.host.region, other.host.region}
        return len(regions) > 1 and any(
            region in regions and start_s <= self.now_s < end_s
            for region, start_s, end_s in self.plan.cuts
        )


def fetch_naively(plan, hosts):
    """Return each host's bytes and the origin's chunks if all fetch there."""
    content = Content(plan.chunk_count)
    fetched = dict.fromkeys(hosts, b''.join(content.chunks))
    return fetched, len(plan.regions) * plan.chunk_count
