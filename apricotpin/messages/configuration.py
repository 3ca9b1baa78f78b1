"""Messages about the configuration, which is stored as a stream of changes."""

from typing import Any


class GetConfigState:
    """Ask for the configuration that results from all changes read so far."""

    __slots__ = ()


class ConfigState:
    """Carry the configuration after applying the stream up to an offset.

    folded_offset is the next offset to apply; accepted_offset is that of the
    newest change that passed the checks. While no configuration is known,
    accepted_offset is -1 and document_json is empty.
    """

    __slots__ = (
        'accepted_offset',
        'document_json',
        'folded_offset',
    )

    def __init__(
        self,
        folded_offset: int,
        accepted_offset: int,
        document_json: str,
    ) -> None:
        self.folded_offset = folded_offset
        self.accepted_offset = accepted_offset
        self.document_json = document_json


class GetNextConfigRead:
    """Ask for the offset to read from; the reply comes when a read is due."""

    __slots__ = ()


class ConfigLogRead:
    """Carry a page of the configuration stream read from a position."""

    __slots__ = ('page', 'position')

    def __init__(self, position: int, page: Any) -> None:
        self.position = position
        self.page = page


class ConfigLogReadFailed:
    """Report that the configuration stream could not be read."""

    __slots__ = ('detail',)

    def __init__(self, detail: str) -> None:
        self.detail = detail


class ConfigTick:
    """Ask the service to start reads and checkpoints that are due."""

    __slots__ = ()


class CheckpointWritten:
    """Report that the append of a checkpoint ended, successful or not."""

    __slots__ = ()


class PeerStateRead:
    """Carry the configuration of a peer, or None if it did not respond."""

    __slots__ = ('state',)

    def __init__(self, state: ConfigState | None) -> None:
        self.state = state


class ConfigOffsetsReported:
    """Report which configuration a peer used when it replied."""

    __slots__ = ('accepted_offset', 'address', 'folded_offset')

    def __init__(
        self,
        address: str,
        accepted_offset: int,
        folded_offset: int,
    ) -> None:
        self.address = address
        self.accepted_offset = accepted_offset
        self.folded_offset = folded_offset


class ConfigFolded:
    """Announce the offsets up to which this process applied the stream."""

    __slots__ = ('accepted_offset', 'folded_offset')

    def __init__(self, accepted_offset: int, folded_offset: int) -> None:
        self.accepted_offset = accepted_offset
        self.folded_offset = folded_offset
