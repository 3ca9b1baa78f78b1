"""State of this process's log reads and checkpoints; no I/O."""

from collections.abc import Iterable

from apricotpin import const as names
from apricotpin.components.configuration import const
from apricotpin.components.configuration.checkpoints import (
    RecoveryPoint,
    checkpoint_due_ms,
    newest_recovery_point,
)
from apricotpin.components.configuration.decisions import (
    FoldState,
    next_read_offset,
)
from apricotpin.helpers.hashing import rendezvous_order
from apricotpin.helpers.log_client import LogPage
from apricotpin.messages.hosts import Host
from apricotpin.settings import Settings


class LogUse:
    """Track the log reads and checkpoints of this process.

    position is the offset of the next read. last_entry_reply_s is the
    monotonic time of the last reply of an entry host, checkpoint_rank the
    rank of this host among the entry hosts that may write a checkpoint.
    read_failure is empty after a successful read.

    Times in milliseconds are since the epoch: missing_since_ms, from which
    the log has had no recovery point, and next_checkpoint_ms, before which no
    checkpoint is started, so that no second append starts while one is in
    progress.
    """

    __slots__ = (
        'checkpoint_rank',
        'entry_silence_limit_s',
        'last_entry_reply_s',
        'missing_since_ms',
        'next_checkpoint_ms',
        'position',
        'read_failure',
        'recovery_point',
        'retention_ms',
        'role',
    )

    def __init__(
        self, role: str, retention_s: float, entry_silence_limit_s: float
    ) -> None:
        self.role = role
        self.retention_ms = int(retention_s * const.MS_PER_S)
        self.entry_silence_limit_s = entry_silence_limit_s
        self.position = 0
        self.recovery_point: RecoveryPoint | None = None
        self.missing_since_ms = 0
        self.last_entry_reply_s: float = 0
        self.read_failure = 'the log has not been read yet'
        self.checkpoint_rank = 0
        self.next_checkpoint_ms = 0

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        now_s: float,
        random_unit: float,
    ) -> 'LogUse':
        """Build the initial state, as if an entry host had just replied."""
        entry_silence_limit_s = (
            const.ENTRY_SILENCE_LIMIT_S
            + const.ENTRY_SILENCE_JITTER_S * random_unit
        )
        log_use = cls(
            settings.role, settings.log_retention_s, entry_silence_limit_s
        )
        log_use.last_entry_reply_s = now_s
        return log_use


def is_read_due(log_use: LogUse, now_s: float) -> bool:
    """Return whether this process has to read the log itself.

    Entry hosts always read the log. Agents receive changes from entry hosts,
    so that the log serves 390 and not 2190 long polls.
    """
    if log_use.role == names.ROLE_ENTRY:
        return True
    return now_s - log_use.last_entry_reply_s > log_use.entry_silence_limit_s


def record_read(
    log_use: LogUse,
    state: FoldState,
    page: LogPage,
    position: int,
    now_ms: int,
) -> None:
    """Record a successful read whose page was folded into the state."""
    log_use.read_failure = ''
    log_use.position = next_read_offset(state, page, position)
    found = newest_recovery_point(log_use.recovery_point, page)
    if found is None and (
        log_use.recovery_point is not None or not log_use.missing_since_ms
    ):
        log_use.missing_since_ms = now_ms
    log_use.recovery_point = found


def update_checkpoint_rank(
    log_use: LogUse, own_id: str, hosts: Iterable[Host]
) -> None:
    """Update the rank of this host among the live entry hosts."""
    live_entry_ids = {
        host.host_id
        for host in hosts
        if host.role == names.ROLE_ENTRY and host.state == names.HOST_LIVE
    }
    writers = rendezvous_order(const.KIND_CHECKPOINT, live_entry_ids | {own_id})
    log_use.checkpoint_rank = writers.index(own_id)


def is_checkpoint_due(log_use: LogUse, state: FoldState, now_ms: int) -> bool:
    """Return whether this process has to write a checkpoint now."""
    if (
        log_use.role != names.ROLE_ENTRY
        or log_use.read_failure
        or state.bundle is None
    ):
        return False
    due_ms = checkpoint_due_ms(
        log_use.recovery_point,
        log_use.missing_since_ms,
        log_use.checkpoint_rank,
        log_use.retention_ms,
    )
    return now_ms >= max(due_ms, log_use.next_checkpoint_ms)
