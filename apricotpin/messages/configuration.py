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


class ConfigLogRead:
    """Hand over a page of the stream; answered with the next position."""

    __slots__ = ('page', 'position')

    def __init__(self, position: int, page: Any) -> None:
        self.position = position
        self.page = page


class ConfigOffsetsSeen:
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
