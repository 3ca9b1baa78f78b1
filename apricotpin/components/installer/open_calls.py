"""Decide what calls of the worker without a response still permit."""

from collections.abc import Collection
from typing import Final

from apricotpin.components.installer import checks, const
from apricotpin.components.installer.decisions import LoadStep
from apricotpin.components.installer.state import Install, WorkerState
from apricotpin.components.installer.switching import is_reachable
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.pieces import LayerRange

# The worker received nothing, or answered that the call has no effect.
_KINDS_WITHOUT_EFFECT: Final = frozenset(
    (
        ErrorKind.ENGINE_REFUSED,
        ErrorKind.ENGINE_UNAVAILABLE,
        ErrorKind.MAILBOX_FULL,
        ErrorKind.UNKNOWN_NAME,
    )
)


class OpenOrder:
    """Describe a load order that may still take effect.

    expected_orders is its condition, the number of orders that the worker had
    begun by the last report. unanswered_s is the monotonic time at which the
    last send without a response was given up, of it or of the same order
    before it, None if all were answered. is_settled: a report showed that it
    has taken effect or can't any more. are_pieces_changed: staged pieces were
    written since it may have been accepted.
    """

    __slots__ = (
        'are_pieces_changed',
        'expected_orders',
        'install',
        'is_settled',
        'part',
        'started_ms',
        'unanswered_s',
    )

    def __init__(
        self,
        install: Install,
        part: LayerRange,
        expected_orders: int,
        started_ms: int,
    ) -> None:
        self.install = install
        self.part = part
        self.expected_orders = expected_orders
        # The start of the worker to which the order is sent.
        self.started_ms = started_ms
        self.unanswered_s: float | None = None
        self.is_settled = False
        self.are_pieces_changed = False

    @property
    def is_unanswered(self) -> bool:
        """Return whether a send of the order got no response."""
        return self.unanswered_s is not None


class OpenCalls:
    """Track the calls of one worker that may still take effect.

    copies maps the version and index of each copy that got no response since
    the worker started to the time at which it was given up. Until
    earlier_until_s, calls of an earlier agent may take effect. Times are
    monotonic. reason_logged is why the last load step had to wait.
    """

    __slots__ = (
        'accepted_orders',
        'copies',
        'earlier_until_s',
        'has_copied',
        'order',
        'reason_logged',
        'worker_started_ms',
    )

    def __init__(self) -> None:
        self.order: OpenOrder | None = None
        self.copies: dict[tuple[int, int], float] = {}
        self.earlier_until_s = float('-inf')
        self.reason_logged = ''
        # As in the last report.
        self.accepted_orders = 0
        self.worker_started_ms = 0
        # Whether this agent has written pieces to the worker.
        self.has_copied = False

    def expect_earlier_agent(self, now_s: float) -> None:
        """Record that this agent may follow another one."""
        self.earlier_until_s = now_s + const.CALL_SETTLE_S

    def exclude_earlier_agent(self) -> None:
        """Record that no earlier agent has called this worker."""
        self.earlier_until_s = float('-inf')

    def forget(self) -> None:
        """Forget all calls of a worker that has restarted."""
        if self.order is not None:
            self.order.is_settled = True
        self.order = None
        self.copies.clear()
        self.exclude_earlier_agent()


def is_outcome_unknown(failure: Failure) -> bool:
    """Return whether a failed call of the worker may still take effect."""
    return failure.kind not in _KINDS_WITHOUT_EFFECT


def record_copies(
    calls: OpenCalls, install: Install, indexes: Collection[int], now_s: float
) -> None:
    """Record copies of pieces that got no response."""
    for index in indexes:
        calls.copies[(install.version, index)] = now_s


def record_write(calls: OpenCalls) -> None:
    """Record that staged pieces were written, or may have been."""
    calls.has_copied = True
    if calls.order is not None:
        calls.order.are_pieces_changed = True


def record_scan(calls: OpenCalls, found_staged: bool) -> None:
    """Record whether a scan found pieces of any version at the worker."""
    if not found_staged and not calls.accepted_orders:
        calls.exclude_earlier_agent()


def has_open_copy(calls: OpenCalls, version: int, now_s: float) -> bool:
    """Return whether pieces of a version may yet be overwritten."""
    return any(
        copied != version and now_s < given_up_s + const.CALL_SETTLE_S
        for (copied, _), given_up_s in calls.copies.items()
    )


def install_to_load(
    calls: OpenCalls, current: Install | None
) -> Install | None:
    """Return the version that load steps concern.

    While the outcome of an order is unknown, that is the ordered version: the
    worker would load the pieces of another one as the ordered one.
    """
    if calls.order is not None and calls.order.is_unanswered:
        return calls.order.install
    return current


def next_step(
    calls: OpenCalls,
    install: Install,
    worker: WorkerState,
    step: LoadStep,
    now_s: float,
) -> tuple[LoadStep, str]:
    """Return the next load step, and why another one has to wait.

    step is the one to take if no call is open.
    """
    reason = ''
    if calls.order is not None and calls.order.is_unanswered:
        step = _step_to_repeat_order(install, worker, now_s)
        reason = 'order_open'
    elif step is LoadStep.STAGE and now_s < calls.earlier_until_s:
        return LoadStep.WAIT, 'earlier_agent'
    if step not in {LoadStep.CHECK, LoadStep.START}:
        return step, reason
    copies = copies_of_others(calls, install, checks.next_part(install, worker))
    settled_s = max(copies.values(), default=float('-inf'))
    settled_s += const.CALL_SETTLE_S
    if now_s < settled_s:
        return LoadStep.WAIT, 'copy_open'
    started_s = install.pieces.check.started_s
    if started_s is not None and started_s < settled_s:
        return LoadStep.CHECK, reason
    return step, reason


def _step_to_repeat_order(
    install: Install, worker: WorkerState, now_s: float
) -> LoadStep:
    """Return the next step to send an order without a response again."""
    if not is_reachable(worker) or worker.report.has_order_in_progress:
        return LoadStep.WAIT
    if set(install.pieces.content) - install.pieces.staged:
        return LoadStep.STAGE
    if not install.pieces.is_complete:
        return LoadStep.WAIT
    if checks.permits_order(install.pieces.check, now_s):
        return LoadStep.START
    return LoadStep.CHECK


def copies_of_others(
    calls: OpenCalls, install: Install, part: LayerRange
) -> dict[int, float]:
    """Return the indexes of a part to which other versions were copied.

    Each has the time at which the last such copy was given up.
    """
    indexes = checks.piece_indexes(install.pieces, part)
    found: dict[int, float] = {}
    for (version, index), given_up_s in calls.copies.items():
        if version != install.version and index in indexes:
            found[index] = max(given_up_s, found.get(index, given_up_s))
    return found
