"""What is known of upstreams, and the choice of one for a request."""

from typing import Any


class LoadedLayers:
    """Say which layers of a version a model worker holds, end exclusive."""

    __slots__ = ('end', 'model', 'start', 'version')

    def __init__(self, model: str, version: int, start: int, end: int) -> None:
        self.model = model
        self.version = version
        self.start = start
        self.end = end


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
        # Unix milliseconds of its start; 0 where it did not say.
        self.started_ms = started_ms
        # None where it does not say which weights it holds.
        self.loaded = loaded


class UpstreamListed:
    """Announce a new or changed entry."""

    __slots__ = ('entry',)

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry


class UpstreamUnlisted:
    """Announce that an upstream is gone from the list."""

    __slots__ = ('instance_id',)

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id


class SelectUpstream:
    """Ask for an upstream of a service for one attempt.

    The ticket names the attempt in later messages. tried holds the instances
    that the request was sent to before. The retry
    reason is empty for the first attempt; any other draws on the budget.
    A request is urgent that goes on where another worker broke off.
    While all workers are full, the answer waits for hold_s at most. It is
    Picked, or a failure that says why there is none.
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

    load, load_age_s, version and behind_s tell what the choice rests on:
    behind_s is for how long a newer version than the worker's is known, None
    where there is none. What is not sent within begin_within_s, or a stream
    that has not begun by then, must not run; None where any time will do.
    data_centre is that of the worker.
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
    ) -> None:
        self.ticket = ticket
        self.data_centre = data_centre
        self.start_timeout_s = start_timeout_s
        self.outdated_for_s = outdated_for_s
        self.instance_id = instance_id
        self.address = address
        self.connection = connection
        self.version = version
        self.load = load
        self.load_age_s = load_age_s


class AttemptDone:
    """Return an upstream after an attempt, and its connection if reusable.

    verdict is the name of how the attempt ended.
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
        # How long the upstream keeps the connection open, if it said so.
        self.keep_alive_s = keep_alive_s


class CancelSelection:
    """Withdraw a question whose asker is gone, answered or not."""

    __slots__ = ('ticket',)

    def __init__(self, ticket: str) -> None:
        self.ticket = ticket


class CountRequest:
    """Count a request to a service, which the retry budget rests on."""

    __slots__ = ('service',)

    def __init__(self, service: str) -> None:
        self.service = service
