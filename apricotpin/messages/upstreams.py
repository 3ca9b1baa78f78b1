"""Messages about upstreams and the selection of one for a request."""

import enum
from typing import Any


class LoadedLayers:
    """Name the layers of a version that a worker has loaded, end exclusive."""

    __slots__ = ('end', 'model', 'start', 'version')

    def __init__(self, model: str, version: int, start: int, end: int) -> None:
        self.model = model
        self.version = version
        self.start = start
        self.end = end

    def __eq__(self, other: object) -> bool:
        return isinstance(other, LoadedLayers) and all(
            getattr(self, field) == getattr(other, field)
            for field in self.__slots__
        )

    def __hash__(self) -> int:
        return hash((self.model, self.version, self.start, self.end))


class UpstreamEntry:
    """Describe an upstream as it registered itself."""

    __slots__ = (
        'address',
        'data_centre',
        'draining',
        'instance_id',
        'loaded',
        'service',
        'slots',
        'started_ms',
    )

    def __init__(
        self,
        instance_id: str,
        service: str,
        address: str,
        data_centre: str,
        slots: int,
        draining: bool,
        started_ms: int,
        loaded: tuple[LoadedLayers, ...] | None,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.draining = draining
        # Unix milliseconds of its start; 0 if it did not report it.
        self.started_ms = started_ms
        # None if it does not report which weights it has loaded.
        self.loaded = loaded

    def is_equal(self, other: 'UpstreamEntry') -> bool:
        """Return whether all fields of two entries are equal."""
        return all(
            getattr(self, field) == getattr(other, field)
            for field in self.__slots__
        )


class UpstreamListed:
    """Announce a new or changed entry of an upstream."""

    __slots__ = ('entry',)

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry


class UpstreamUnlisted:
    """Announce that an upstream was removed from the list."""

    __slots__ = ('instance_id',)

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id


class WorkerState(enum.Enum):
    """Name what is known of one start of a worker."""

    RUNNING = 'running'
    CRASHED = 'crashed'
    UNKNOWN = 'unknown'


class GetWorkerState:
    """Ask whether a start of a worker has crashed; the reply is WorkerState.

    Only what was reported after since_s, on the boot-time clock, shows that it
    still runs.
    """

    __slots__ = ('instance_id', 'since_s', 'started_ms')

    def __init__(
        self, instance_id: str, started_ms: int, since_s: float
    ) -> None:
        self.instance_id = instance_id
        self.started_ms = started_ms
        self.since_s = since_s


class SelectUpstream:
    """Ask for an upstream of a service for one attempt.

    The ticket identifies the attempt in later messages. tried holds the
    instances that the request was sent to before. The retry reason is empty
    for the first attempt; an attempt with a reason counts against the retry
    budget. is_resumed is true for a request that continues a stream which
    another worker broke off. While all workers are full, the reply is delayed
    by at most queue_timeout_s. It is SelectedUpstream, or a failure that says
    why no upstream was selected.
    """

    __slots__ = (
        'is_resumed',
        'priority',
        'queue_timeout_s',
        'retry_reason',
        'service',
        'ticket',
        'tried',
    )

    def __init__(
        self,
        ticket: str,
        service: str,
        priority: int,
        queue_timeout_s: float = 0,
        tried: tuple[str, ...] = (),
        retry_reason: str = '',
        is_resumed: bool = False,
    ) -> None:
        self.ticket = ticket
        self.is_resumed = is_resumed
        self.service = service
        self.priority = priority
        self.queue_timeout_s = queue_timeout_s
        self.tried = tried
        self.retry_reason = retry_reason


class SelectedUpstream:
    """Name the upstream of an attempt, and an idle connection if one is open.

    load, load_age_s, version and outdated_for_s are the values on which the
    selection was based. outdated_for_s is the time since a newer version than
    the worker's was declared, None if there is none. A request that was not
    sent within start_timeout_s, or whose stream has not begun by then, must
    not run, since the version limit of the worker's version would be
    exceeded; None means no limit. data_centre is that of the worker, and
    started_ms its start as listed, 0 if it did not report it.
    """

    __slots__ = (
        'address',
        'connection',
        'data_centre',
        'instance_id',
        'load',
        'load_age_s',
        'outdated_for_s',
        'start_timeout_s',
        'started_ms',
        'ticket',
        'version',
    )

    def __init__(
        self,
        instance_id: str,
        address: str,
        connection: Any,
        version: int,
        load: int,
        load_age_s: float,
        ticket: str,
        start_timeout_s: float | None = None,
        outdated_for_s: float | None = None,
        data_centre: str = '',
        started_ms: int = 0,
    ) -> None:
        self.ticket = ticket
        self.data_centre = data_centre
        self.started_ms = started_ms
        self.start_timeout_s = start_timeout_s
        self.outdated_for_s = outdated_for_s
        self.instance_id = instance_id
        self.address = address
        self.connection = connection
        self.version = version
        self.load = load
        self.load_age_s = load_age_s


class AttemptDone:
    """Report the end of an attempt and give back a reusable connection.

    verdict names the way in which the attempt ended.
    """

    __slots__ = (
        'connection',
        'instance_id',
        'keep_alive_s',
        'ticket',
        'verdict',
    )

    def __init__(
        self,
        ticket: str,
        instance_id: str,
        verdict: str,
        connection: Any = None,
        keep_alive_s: float | None = None,
    ) -> None:
        self.ticket = ticket
        self.instance_id = instance_id
        self.verdict = verdict
        self.connection = connection
        # How long the upstream keeps the idle connection open, if it said.
        self.keep_alive_s = keep_alive_s


class AttemptSilent:
    """Report that the upstream of an attempt in progress is silent."""

    __slots__ = ('ticket',)

    def __init__(self, ticket: str) -> None:
        self.ticket = ticket


class AvailabilityStated:
    """Report what an upstream's response states about new requests.

    pause_s is for how long it asks for none, 0 if it does not ask. The ticket
    is that of the attempt.
    """

    __slots__ = ('is_leaving', 'pause_s', 'ticket')

    def __init__(self, ticket: str, is_leaving: bool, pause_s: float) -> None:
        self.ticket = ticket
        self.is_leaving = is_leaving
        self.pause_s = pause_s


class CancelSelection:
    """Cancel a selection, pending or made, because its request ended."""

    __slots__ = ('ticket',)

    def __init__(self, ticket: str) -> None:
        self.ticket = ticket


class CountRequest:
    """Count a request to a service for its retry budget."""

    __slots__ = ('service',)

    def __init__(self, service: str) -> None:
        self.service = service
