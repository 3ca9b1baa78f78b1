"""Messages about the configuration."""

from typing import Any


class GetConfigState:
    """Ask for the folded configuration state."""

    __slots__ = ()


class ConfigState:
    """Hold the configuration after folding the log up to an offset.

    folded_offset is the next offset to fold. accepted_offset is -1 and
    document_json empty while no configuration is known.
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
    """Ask for the offset to read from; answered when a read is due."""

    __slots__ = ()


class ConfigLogRead:
    """Hand over a page of the configuration stream."""

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
    """Ask for overdue reads and checkpoints."""

    __slots__ = ()


class CheckpointWritten:
    """Report that the append of a checkpoint ended, in whichever way."""

    __slots__ = ()


class PeerStateRead:
    """Hand over the state of a peer, or None if it did not answer."""

    __slots__ = ('state',)

    def __init__(self, state: ConfigState | None) -> None:
        self.state = state


class ConfigOffsetsReported:
    """Report which configuration a peer had in force when it answered."""

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
    """Announce the offsets up to which this process has folded."""

    __slots__ = ('accepted_offset', 'folded_offset')

    def __init__(self, accepted_offset: int, folded_offset: int) -> None:
        self.accepted_offset = accepted_offset
        self.folded_offset = folded_offset
