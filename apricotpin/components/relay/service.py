"""Fetch pieces of weights once and pass them on to agents and relays."""

import json
import time

import gevent
from loguru import logger

from apricotpin.components.relay import const
from apricotpin.components.relay.events import Fetched, GetNextFetch
from apricotpin.components.relay.sources import Sources
from apricotpin.components.relay.state import Demand, Holding
from apricotpin.components.relay.workers import fetch_pieces
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hashing import matches_sha256
from apricotpin.helpers.metrics import count
from apricotpin.helpers.pieces import STATUS_OK
from apricotpin.helpers.stripes import stripe_of
from apricotpin.messages import desired, fleet
from apricotpin.messages.feeds import EntryHost
from apricotpin.messages.weights import ChunkAnswer, FetchChunk


class RelayService:
    """Own the versions held, and who may be asked for them."""

    __slots__ = (
        '_declared',
        '_holdings',
        '_kernel',
        '_sources',
        '_started_s',
    )

    def __init__(
        self,
        kernel: Kernel,
        own: EntryHost,
        started_s: float,
    ) -> None:
        self._kernel = kernel
        self._sources = Sources(own)
        self._declared: dict[str, int] = {}
        self._holdings: dict[tuple[str, int], Holding] = {}
        self._started_s = started_s

    def change_state(
        self,
        message: desired.DesiredStateChanged,
        reply: Reply,
    ) -> None:
        """Learn where the origin is, and which service runs which model."""
        self._sources.change_state(message.state)
        reply.ok()

    def change_hosts(
        self,
        message: fleet.EntryHostsChanged,
        reply: Reply,
    ) -> None:
        """Learn which entry hosts are there."""
        self._sources.change_hosts(message.hosts)
        reply.ok()

    def change_version(
        self,
        message: desired.ModelVersionChanged,
        reply: Reply,
    ) -> None:
        """Fetch a new version at once where this host does so for others.

        One that was declared earlier may be on all workers already.
        """
        target = message.target
        self._declared[target.model] = target.version
        if 0 <= message.declared_for_s < const.RECENT_S:
            self._fetch_led(target, Demand.ALL)
        reply.ok()

    def take_report(self, report: fleet.LoadReport, reply: Reply) -> None:
        """Copy the version in force from agents where this host hands it out.

        Empty workers that come later are then served at once, and neither
        the origin nor a link between data centres carries that version.
        """
        now_s = time.monotonic()
        held = self._sources.take_report(report, now_s)
        settled = now_s - self._started_s > const.SETTLE_S
        if held is not None and settled:
            declared = self._declared.get(held.model, held.version)
            if held.version == declared:
                self._fetch_led(held, Demand.NEAR)
        reply.ok()

    def fetch_chunk(self, message: FetchChunk, reply: Reply) -> None:
        """Answer with a piece now or as soon as it is here."""
        if not message.version.isdigit():
            reply.ok(ChunkAnswer(const.STATUS_UNKNOWN))
            return
        key = (message.model, int(message.version))
        is_dropped = _is_dropped(self._holdings, *key)
        if is_dropped or (key not in self._holdings and not message.wait_ms):
            # Without a wait, the asker may be the one from whom this host
            # would fetch.
            reply.ok(ChunkAnswer(const.STATUS_NOT_YET))
            return
        holding = self.holding(*key)
        if message.index != const.MANIFEST_INDEX:
            self._raise_demand(holding, stripe_of(message.index), Demand.ALL)
        content = holding.content.get(message.index)
        if content is not None:
            reply.ok(ChunkAnswer(STATUS_OK, content))
            return
        waiting = holding.waiting.setdefault(message.index, [])
        waiting.append(reply)
        gevent.spawn_later(
            message.wait_ms / 1000,
            reply.ok,
            ChunkAnswer(const.STATUS_NOT_YET),
        )

    def is_fetching(self, model: str, version: int, index: int) -> bool:
        """Tell whether a piece of a version is here or on its way."""
        holding = self._holdings.get((model, version))
        if holding is None:
            return False
        return holding.demand_of(index) > Demand.MANIFEST

    def holding(self, model: str, version: int) -> Holding:
        """Return what is held of a version; one not known yet is begun."""
        known = self._holdings.get((model, version))
        if known is not None:
            return known
        holding = Holding(model, version)
        self._holdings[(model, version)] = holding
        for _ in range(const.FETCHES):
            self._kernel.spawn(fetch_pieces, self._kernel, holding)
        versions = sorted(
            number for name, number in self._holdings if name == model
        )
        for old in versions[: -const.VERSIONS_KEPT]:
            dropped = self._holdings.pop((model, old))
            for worker in dropped.idle_workers:
                worker.err(ErrorKind.VERSION_UNKNOWN, 'superseded')
        logger.bind(model=model, version=version).info('version_wanted')
        return holding

    def next_fetch(self, message: GetNextFetch, reply: Reply) -> None:
        """Answer a worker with what to fetch, once there is something."""
        holding = message.holding
        if self._holdings.get((holding.model, holding.version)) is not holding:
            reply.err(ErrorKind.VERSION_UNKNOWN, 'superseded')
            return
        while holding.wanted:
            index = holding.wanted.popleft()
            if index in holding.content:
                continue
            fetch = self._sources.next_fetch(holding, index)
            if fetch is not None:
                reply.ok(fetch)
                return
        holding.idle_workers.append(reply)

    def take_fetched(self, message: Fetched, reply: Reply) -> None:
        """Keep a checked piece and pass it on to those who wait."""
        holding, index = message.holding, message.index
        reply.ok()
        if message.content.is_err():
            self._sources.note_failed(
                message.source,
                message.waited,
                message.content.err_value,
            )
            self._want(holding, index)
            return
        self._sources.note_gave(message.source)
        content = message.content.ok_value
        if not _is_sound(holding, index, content):
            self._take_bad(message)
            return
        holding.content[index] = content
        kind = 'origin' if message.source == const.ORIGIN else 'peer'
        count(self._kernel, 'chunk_bytes_total', kind, len(content))
        if index == const.MANIFEST_INDEX:
            self._take_manifest(holding, content)
        elif not holding.missing:
            logger.bind(
                model=holding.model,
                version=holding.version,
                pieces=len(holding.content) - 1,
                took_ms=int((time.monotonic() - holding.started_s) * 1000),
            ).info('version_held')
        for waiter in holding.waiting.pop(index, []):
            waiter.ok(ChunkAnswer(STATUS_OK, content))

    def _fetch_led(
        self,
        target: desired.ModelVersion,
        demand: Demand,
    ) -> None:
        """Fetch the stripes that this host hands out in its data centre."""
        for stripe in self._sources.led_stripes(target):
            holding = self.holding(target.model, target.version)
            self._raise_demand(holding, stripe, demand)

    def _take_manifest(self, holding: Holding, content: bytes) -> None:
        known = bool(holding.digests)
        holding.digests = json.loads(content)['digests']
        if not known:
            self._want_all(holding, holding.missing)

    def _raise_demand(
        self,
        holding: Holding,
        stripe: int,
        demand: Demand,
    ) -> None:
        """Fetch a stripe: who asks for a piece asks for the others next."""
        if holding.demand_of(stripe) >= demand:
            return
        holding.demands[stripe] = demand
        missing = holding.missing
        self._want_all(
            holding,
            [index for index in missing if stripe_of(index) == stripe],
        )

    def _want_all(self, holding: Holding, indexes: list[int]) -> None:
        for index in indexes:
            self._want(holding, index)

    def _take_bad(self, message: Fetched) -> None:
        holding, index = message.holding, message.index
        near_only = holding.demand_of(index) is Demand.NEAR
        if message.source != const.ORIGIN and near_only:
            # A staged piece that turned bad says nothing of the others.
            return
        self._sources.suspect(
            message.source,
            Failure(ErrorKind.CHUNK_CORRUPT, f'index={index}'),
        )
        holding.bad[index] = holding.bad.get(index, 0) + 1
        if holding.bad[index] >= const.DOUBT_AFTER:
            # The manifest itself may be what was spoilt.
            holding.bad.clear()
            holding.content.pop(const.MANIFEST_INDEX, None)
            self._want(holding, const.MANIFEST_INDEX)
        self._want(holding, index)

    def _want(self, holding: Holding, index: int) -> None:
        if not holding.idle_workers:
            if index not in holding.wanted:
                holding.wanted.append(index)
            return
        fetch = self._sources.next_fetch(holding, index)
        if fetch is not None:
            holding.idle_workers.pop().ok(fetch)


def _is_dropped(
    holdings: dict[tuple[str, int], Holding],
    model: str,
    version: int,
) -> bool:
    """Tell whether a version gave way to newer ones."""
    newer = [
        number
        for name, number in holdings
        if name == model and number > version
    ]
    return len(newer) >= const.VERSIONS_KEPT


def _is_sound(holding: Holding, index: int, content: bytes) -> bool:
    if index != const.MANIFEST_INDEX:
        return matches_sha256(content, holding.digests[index])
    try:
        return bool(json.loads(content)['digests'])
    except (ValueError, KeyError, TypeError):
        return False
