"""Fetch pieces of weights once and pass them on to agents and relays."""

import json
import time
from collections import deque

import gevent
from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.relay import const, decisions
from apricotpin.const import SERVICE_ORIGIN, SERVICE_WEIGHTS
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hashing import matches_sha256
from apricotpin.helpers.metrics import count
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages import desired, fleet
from apricotpin.messages.feeds import EntryHost
from apricotpin.messages.pieces import FetchManifest, FetchPiece, PieceManifest
from apricotpin.messages.weights import ChunkAnswer, FetchChunk


class Fetched:
    """Carry the outcome of a fetch back to the service."""

    __slots__ = ('content', 'holding', 'index', 'source')

    def __init__(
        self,
        holding: 'Holding',
        index: int,
        source: str,
        content: Result[bytes, Failure],
    ) -> None:
        self.holding = holding
        self.index = index
        self.source = source
        self.content = content


class NextFetch:
    """Ask for the index to fetch next and the sources to try."""

    __slots__ = ('holding',)

    def __init__(self, holding: 'Holding') -> None:
        self.holding = holding


class Fetch:
    """Name what a worker fetches, from whom, and where the origin is."""

    __slots__ = ('index', 'origin', 'source', 'wait_ms')

    def __init__(
        self,
        index: int,
        source: str,
        origin: str,
        wait_ms: int,
    ) -> None:
        self.index = index
        self.source = source
        self.origin = origin
        self.wait_ms = wait_ms


class Holding:
    """Hold what is known of one version of a model's weights."""

    __slots__ = (
        'bad',
        'content',
        'digests',
        'eager',
        'idle_workers',
        'model',
        'started_s',
        'version',
        'waiting',
        'wanted',
    )

    def __init__(self, model: str, version: int) -> None:
        self.model = model
        self.version = version
        self.started_s = time.monotonic()
        # Content by index; the manifest has the index -1.
        self.content: dict[int, bytes] = {}
        self.digests: list[str] = []
        # Whether all pieces are fetched, not the manifest alone.
        self.eager = False
        self.wanted: deque[int] = deque([const.MANIFEST_INDEX])
        self.waiting: dict[int, list[Reply]] = {}
        self.idle_workers: list[Reply] = []
        self.bad: dict[int, int] = {}


class RelayService:
    """Own the versions held, and who may be asked for them."""

    __slots__ = (
        '_holdings',
        '_hosts',
        '_kernel',
        '_origin',
        '_origin_place',
        '_own',
        '_suspects',
    )

    def __init__(self, kernel: Kernel, own: EntryHost) -> None:
        self._kernel = kernel
        self._own = own
        self._hosts: tuple[EntryHost, ...] = (own,)
        self._origin = ''
        self._origin_place = ''
        self._holdings: dict[tuple[str, int], Holding] = {}
        self._suspects: dict[str, float] = {}

    def change_state(
        self,
        message: desired.DesiredStateChanged,
        reply: Reply,
    ) -> None:
        """Learn where the origin is."""
        for spec in message.state.services:
            if spec.origin:
                self._origin = spec.origin
                self._origin_place = spec.data_centre
        reply.ok()

    def change_hosts(
        self,
        message: fleet.EntryHostsChanged,
        reply: Reply,
    ) -> None:
        """Learn which entry hosts are there."""
        self._hosts = message.hosts
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
        key = _key(target.model, target.version)
        chain = decisions.chain_of(self._hosts, self._origin_place, key)
        fresh = message.known_for_s >= 0
        if fresh and decisions.leads(self._own, chain):
            self._fetch_all(self._holding(target.model, target.version))
        reply.ok()

    def fetch_chunk(self, message: FetchChunk, reply: Reply) -> None:
        """Answer with a piece now or as soon as it is here."""
        if not message.version.isdigit():
            reply.ok(ChunkAnswer(const.STATUS_UNKNOWN))
            return
        key = (message.model, int(message.version))
        if key not in self._holdings and not message.wait_ms:
            # The asker may be the one from whom this host would fetch.
            reply.ok(ChunkAnswer(const.STATUS_NOT_YET))
            return
        holding = self._holding(*key)
        if message.index != const.MANIFEST_INDEX:
            self._fetch_all(holding)
        content = holding.content.get(message.index)
        if content is not None:
            reply.ok(ChunkAnswer(const.STATUS_OK, content))
            return
        waiting = holding.waiting.setdefault(message.index, [])
        waiting.append(reply)
        gevent.spawn_later(
            message.wait_ms / 1000,
            reply.ok,
            ChunkAnswer(const.STATUS_NOT_YET),
        )

    def next_fetch(self, message: NextFetch, reply: Reply) -> None:
        """Answer a worker with what to fetch, once there is something."""
        holding = message.holding
        if not holding.wanted:
            holding.idle_workers.append(reply)
            return
        index = holding.wanted.popleft()
        reply.ok(self._fetch(holding, index))

    def take_fetched(self, message: Fetched, reply: Reply) -> None:
        """Keep a checked piece and pass it on to those who wait."""
        holding, index = message.holding, message.index
        reply.ok()
        if message.content.is_err():
            self._suspect(message.source, message.content.err_value)
            self._want(holding, index)
            return
        content = message.content.ok_value
        if not _is_sound(holding, index, content):
            self._note_bad(message)
            self._want(holding, index)
            return
        holding.content[index] = content
        kind = 'origin' if message.source == const.ORIGIN else 'peer'
        count(self._kernel, 'chunk_bytes_total', kind, len(content))
        if index == const.MANIFEST_INDEX:
            self._take_manifest(holding, content)
        elif len(holding.content) == len(holding.digests) + 1:
            logger.bind(
                model=holding.model,
                version=holding.version,
                took_ms=int((time.monotonic() - holding.started_s) * 1000),
            ).info('version_held')
        for waiter in holding.waiting.pop(index, []):
            waiter.ok(ChunkAnswer(const.STATUS_OK, content))

    def _take_manifest(self, holding: Holding, content: bytes) -> None:
        known = bool(holding.digests)
        holding.digests = json.loads(content)['digests']
        if holding.eager and not known:
            self._want_pieces(holding)

    def _fetch_all(self, holding: Holding) -> None:
        """Fetch all pieces: who asks for one asks for the others next."""
        if holding.eager:
            return
        holding.eager = True
        if holding.digests:
            self._want_pieces(holding)

    def _want_pieces(self, holding: Holding) -> None:
        for index, _ in enumerate(holding.digests):
            if index not in holding.content:
                self._want(holding, index)

    def _note_bad(self, message: Fetched) -> None:
        holding, index = message.holding, message.index
        self._suspect(
            message.source,
            Failure(ErrorKind.CHUNK_CORRUPT, f'index={index}'),
        )
        holding.bad[index] = holding.bad.get(index, 0) + 1
        if holding.bad[index] >= const.DOUBT_AFTER:
            # The manifest itself may be what was spoilt.
            holding.bad.clear()
            holding.content.pop(const.MANIFEST_INDEX, None)
            self._want(holding, const.MANIFEST_INDEX)

    def _want(self, holding: Holding, index: int) -> None:
        if holding.idle_workers:
            worker = holding.idle_workers.pop()
            worker.ok(self._fetch(holding, index))
        else:
            holding.wanted.append(index)

    def _fetch(self, holding: Holding, index: int) -> Fetch:
        sources = self._sources(holding)
        now_s = time.monotonic()
        source = next(
            (one for one in sources if self._suspects.get(one, 0) < now_s),
            sources[0],
        )
        wait_ms = 0
        if decisions.may_wait(sources, source):
            wait_ms = const.FETCH_WAIT_MS
        return Fetch(index, source, self._origin, wait_ms)

    def _sources(self, holding: Holding) -> list[str]:
        return decisions.sources_of(
            self._own,
            self._hosts,
            self._origin_place,
            _key(holding.model, holding.version),
        )

    def _suspect(self, source: str, failure: Failure) -> None:
        now_s = time.monotonic()
        known = self._suspects.get(source, 0) > now_s
        self._suspects[source] = now_s + const.SUSPECT_S
        if known:
            return
        logger.bind(
            source=source or 'origin',
            error=repr(failure),
        ).warning('piece_not_fetched')

    def _holding(self, model: str, version: int) -> Holding:
        known = self._holdings.get((model, version))
        if known is not None:
            return known
        holding = Holding(model, version)
        self._holdings[(model, version)] = holding
        for _ in range(const.FETCHES):
            self._kernel.spawn(_work, self._kernel, holding)
        versions = sorted(
            number for name, number in self._holdings if name == model
        )
        for old in versions[: -const.VERSIONS_KEPT]:
            dropped = self._holdings.pop((model, old))
            for worker in dropped.idle_workers:
                worker.err(ErrorKind.VERSION_UNKNOWN, 'superseded')
        logger.bind(model=model, version=version).info('version_wanted')
        return holding


def _work(kernel: Kernel, holding: Holding) -> None:
    client = PeerClient()
    while True:
        asked = kernel.call(SERVICE_WEIGHTS, NextFetch(holding), const.IDLE_S)
        if asked.is_err():
            return
        fetch = asked.ok_value
        source = fetch.source
        if source == const.ORIGIN:
            content = _from_origin(kernel, holding, fetch.index, fetch.origin)
        else:
            content = _from_peer(client, holding, fetch)
        kernel.send(
            SERVICE_WEIGHTS,
            Fetched(holding, fetch.index, source, content),
        )
        if content.is_err():
            gevent.sleep(const.RETRY_S)


def _from_origin(
    kernel: Kernel,
    holding: Holding,
    index: int,
    origin: str,
) -> Result[bytes, Failure]:
    model, version = holding.model, holding.version
    if not origin:
        return Err(Failure(ErrorKind.ORIGIN_UNAVAILABLE, 'none is known'))
    if index != const.MANIFEST_INDEX:
        wanted = FetchPiece(origin, model, version, index)
        return kernel.call(SERVICE_ORIGIN, wanted, const.FETCH_TIMEOUT_S)
    manifest = kernel.call(
        SERVICE_ORIGIN,
        FetchManifest(origin, model, version),
        const.FETCH_TIMEOUT_S,
    )
    return manifest.and_then(lambda found: _encode(found, model, version))


def _encode(
    manifest: PieceManifest,
    model: str,
    version: int,
) -> Result[bytes, Failure]:
    if manifest.model != model or manifest.version != version:
        detail = f'{manifest.model} {manifest.version}'
        return Err(Failure(ErrorKind.MANIFEST_CORRUPT, detail))
    document = {
        'layers': manifest.layers,
        'digests': list(manifest.digests),
    }
    return Ok(json.dumps(document).encode())


def _from_peer(
    client: PeerClient,
    holding: Holding,
    fetch: Fetch,
) -> Result[bytes, Failure]:
    asked = client.call(
        fetch.source,
        'fetch_chunk',
        FetchChunk(
            holding.model,
            str(holding.version),
            fetch.index,
            fetch.wait_ms,
        ),
        const.FETCH_TIMEOUT_S,
    )
    if asked.is_err():
        return asked
    if asked.ok_value.status != const.STATUS_OK:
        return Err(Failure(ErrorKind.CHUNK_NOT_YET, asked.ok_value.status))
    return Ok(asked.ok_value.data)


def _is_sound(holding: Holding, index: int, content: bytes) -> bool:
    if index != const.MANIFEST_INDEX:
        return matches_sha256(content, holding.digests[index])
    try:
        return bool(json.loads(content)['digests'])
    except (ValueError, KeyError, TypeError):
        return False


def _key(model: str, version: int) -> str:
    return f'{model}/{version}'
