"""Messages about weights and their distribution."""

from typing import Any


class FetchChunk:
    """Ask for a chunk and wait up to wait_ms for it.

    Index -1 requests the manifest, unchanged as the origin sent it.
    doubted_digest is the SHA-256 of a manifest that pieces do not match; the
    receiver reads it again from its own source. It is empty without a doubt,
    and None from hosts of earlier releases.
    """

    __slots__ = (
        'doubted_digest',
        'host_id',
        'index',
        'model',
        'version',
        'wait_ms',
    )

    def __init__(
        self,
        model: str,
        version: str,
        index: int,
        wait_ms: int,
        host_id: str = '',
        doubted_digest: str | None = '',
    ) -> None:
        self.doubted_digest = doubted_digest
        self.model = model
        self.version = version
        self.index = index
        self.wait_ms = wait_ms
        self.host_id = host_id


class ChunkAnswer:
    """Return a chunk, or a status that says why there is none."""

    __slots__ = (
        'data',
        'status',
    )

    def __init__(
        self,
        status: str,
        data: bytes = b'',
    ) -> None:
        self.status = status
        self.data = data


class GetWeightsStatus:
    """Ask for the progress of the rollout on the receiving host."""

    __slots__ = ()


class WeightsStatus:
    """Report the progress of the rollout on a host."""

    __slots__ = (
        'bytes_from_origin',
        'bytes_from_peers',
        'bytes_sent',
        'chunks_held',
        'chunks_total',
        'confirmed_version',
        'host_id',
        'model',
        'target_version',
    )

    def __init__(
        self,
        host_id: str,
        model: str = '',
        target_version: str = '',
        confirmed_version: str = '',
        chunks_held: int = 0,
        chunks_total: int = 0,
        bytes_from_origin: int = 0,
        bytes_from_peers: int = 0,
        bytes_sent: int = 0,
    ) -> None:
        self.host_id = host_id
        self.model = model
        self.target_version = target_version
        self.confirmed_version = confirmed_version
        self.chunks_held = chunks_held
        self.chunks_total = chunks_total
        self.bytes_from_origin = bytes_from_origin
        self.bytes_from_peers = bytes_from_peers
        self.bytes_sent = bytes_sent


class Manifest:
    """Describe a version of a model by its chunks and their digests."""

    __slots__ = (
        'chunk_bytes',
        'chunk_digests',
        'digest',
        'model',
        'size_bytes',
        'version',
    )

    def __init__(self, fields: Any) -> None:
        self.model: str = fields['model']
        self.version: str = fields['version']
        self.size_bytes: int = fields['size_bytes']
        self.chunk_bytes: int = fields['chunk_bytes']
        self.chunk_digests: list[str] = fields['chunk_digests']
        self.digest: str = fields['digest']


class VersionComplete:
    """Carry a complete, verified version to the engine service."""

    __slots__ = ('chunks', 'fencing_number', 'manifest')

    def __init__(
        self,
        manifest: Manifest,
        fencing_number: int,
        chunks: list[bytes],
    ) -> None:
        self.manifest = manifest
        self.fencing_number = fencing_number
        self.chunks = chunks


class EngineState:
    """Announce the version the engine confirmed, and whether it switches."""

    __slots__ = ('in_flight', 'model', 'switching', 'version')

    def __init__(
        self,
        model: str,
        version: str,
        switching: bool = False,
        in_flight: int = 0,
    ) -> None:
        self.model = model
        self.version = version
        self.switching = switching
        self.in_flight = in_flight
