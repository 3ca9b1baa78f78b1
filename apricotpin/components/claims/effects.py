"""Effects that a partition asks its service to carry out."""

from collections.abc import Sequence

from apricotpin.components.claims.records import Record


class AppendBatch:
    """Append records to the stream of the partition."""

    __slots__ = ('records',)

    def __init__(self, records: Sequence[Record]) -> None:
        self.records = records


class ReadStream:
    """Read the stream of the partition from an offset on."""

    __slots__ = ('from_offset',)

    def __init__(self, from_offset: int) -> None:
        self.from_offset = from_offset


class Pause:
    """Wake the partition after a time in seconds."""

    __slots__ = ('pause_s',)

    def __init__(self, pause_s: float) -> None:
        self.pause_s = pause_s


class BackOff:
    """Wake the partition after a pause that grows with the failures."""

    __slots__ = ('failures',)

    def __init__(self, failures: int) -> None:
        self.failures = failures


class Verdict:
    """Answer an ask about a claim or a key."""

    __slots__ = ('ask_id', 'verdict')

    def __init__(self, ask_id: int, verdict: str) -> None:
        self.ask_id = ask_id
        self.verdict = verdict


class Replay:
    """Answer an ask with the outcome stored at an offset."""

    __slots__ = ('ask_id', 'offset')

    def __init__(self, ask_id: int, offset: int) -> None:
        self.ask_id = ask_id
        self.offset = offset


class Stored:
    """Tell the reporter of an outcome whether it is durable."""

    __slots__ = ('ask_id', 'stored')

    def __init__(self, ask_id: int, stored: bool) -> None:
        self.ask_id = ask_id
        self.stored = stored


Effect = AppendBatch | ReadStream | Pause | BackOff | Verdict | Replay | Stored
Effects = list[Effect]
