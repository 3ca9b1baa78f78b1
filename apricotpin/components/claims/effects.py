"""Effects of the partition state machine, carried out by its service."""

from collections.abc import Sequence

from apricotpin.components.claims.records import Record


class AppendBatch:
    """Append records to the stream of the partition."""

    __slots__ = ('records',)

    def __init__(self, records: Sequence[Record]) -> None:
        self.records = records


class ReadStream:
    """Read the stream of the partition, starting at an offset."""

    __slots__ = ('from_offset',)

    def __init__(self, from_offset: int) -> None:
        self.from_offset = from_offset


class Pause:
    """Send PauseEnded after pause_s."""

    __slots__ = ('pause_s',)

    def __init__(self, pause_s: float) -> None:
        self.pause_s = pause_s


class BackOff:
    """Send PauseEnded after a pause that grows with the failures."""

    __slots__ = ('failures',)

    def __init__(self, failures: int) -> None:
        self.failures = failures


class ReplyVerdict:
    """Reply to a claim or a lookup with a verdict."""

    __slots__ = ('request_id', 'verdict')

    def __init__(self, request_id: int, verdict: str) -> None:
        self.request_id = request_id
        self.verdict = verdict


class ReplyOutcomeAt:
    """Reply with the outcome that the log holds at an offset."""

    __slots__ = ('offset', 'request_id')

    def __init__(self, request_id: int, offset: int) -> None:
        self.request_id = request_id
        self.offset = offset


class ReplyStored:
    """Reply to a final record whether it is in the log."""

    __slots__ = ('request_id', 'stored')

    def __init__(self, request_id: int, stored: bool) -> None:
        self.request_id = request_id
        self.stored = stored


Effect = (
    AppendBatch
    | ReadStream
    | Pause
    | BackOff
    | ReplyVerdict
    | ReplyOutcomeAt
    | ReplyStored
)
Effects = list[Effect]
