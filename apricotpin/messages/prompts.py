"""Messages about parts of prompts, and about workers that crash on them."""


class CheckPrompt:
    """Ask whether a request with these prompt parts may be sent to a worker.

    is_retry is true if an attempt at it has reached a worker before.
    """

    __slots__ = ('is_retry', 'parts')

    def __init__(self, parts: tuple[str, ...], is_retry: bool) -> None:
        self.parts = parts
        self.is_retry = is_retry


class PromptServed:
    """Report that a worker began to respond to a prompt and kept running.

    age_s is the time since it began.
    """

    __slots__ = ('age_s', 'parts')

    def __init__(self, parts: tuple[str, ...], age_s: float) -> None:
        self.parts = parts
        self.age_s = age_s


class AttemptBroken:
    """Report that a connection broke before its prompt was seen to be served.

    started_ms is the start of the worker as the store lists it.
    """

    __slots__ = ('instance_id', 'parts', 'started_ms')

    def __init__(
        self, parts: tuple[str, ...], instance_id: str, started_ms: int
    ) -> None:
        self.parts = parts
        self.instance_id = instance_id
        self.started_ms = started_ms


class PartCrashes:
    """State which workers crashed while a prompt with a part was unserved.

    workers identifies one start of each worker, and ages_ms holds how long ago
    each of them crashed.
    """

    __slots__ = ('ages_ms', 'part', 'workers')

    def __init__(
        self, part: str, workers: list[int] | None, ages_ms: list[int] | None
    ) -> None:
        self.part = part
        self.workers = workers or []
        self.ages_ms = ages_ms or []


class PartServed:
    """State how long ago a worker last began to respond to a prompt part."""

    __slots__ = ('age_ms', 'part')

    def __init__(self, part: str, age_ms: int) -> None:
        self.part = part
        self.age_ms = age_ms


class CrashEvidence:
    """Carry what a host knows of crashes on prompt parts to other hosts.

    served holds parts that others may suspect and that were served since.
    is_urgent asks to send it to the hosts of this data centre now, not with the
    next hello.
    """

    __slots__ = ('crashes', 'is_urgent', 'quarantined', 'served')

    def __init__(
        self,
        crashes: list[PartCrashes] | None,
        served: list[PartServed] | None,
        quarantined: list[str] | None,
        is_urgent: bool | None = False,
    ) -> None:
        self.crashes = crashes or []
        self.served = served or []
        self.quarantined = quarantined or []
        self.is_urgent = is_urgent

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not (self.crashes or self.served or self.quarantined)


class CrashEvidenceReceived:
    """Report the evidence that another entry host sent in its hello."""

    __slots__ = ('evidence',)

    def __init__(self, evidence: CrashEvidence) -> None:
        self.evidence = evidence
