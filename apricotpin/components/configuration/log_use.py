"""How this process uses the log: position, anchor and overdue work."""

from collections.abc import Iterable

from apricotpin import const as names
from apricotpin.components.configuration import const
from apricotpin.components.configuration.checkpoints import (
    Anchor,
    due_ms,
    note_page,
)
from apricotpin.components.configuration.decisions import (
    FoldState,
    next_position,
)
from apricotpin.helpers.hashing import rendezvous_order
from apricotpin.helpers.log_client import LogPage
from apricotpin.messages.hosts import Host
from apricotpin.settings import Settings


class LogUse:
    """Hold what decides on reads and checkpoints of this process.

    answered_s is the time of the last answer of an entry host, rank the
    place of this host among the entry hosts that may write a checkpoint.
    """

    __slots__ = (
        'anchor',
        'answered_s',
        'failure',
        'missing_since_ms',
        'position',
        'quiet_s',
        'rank',
        'retention_ms',
        'role',
        'write_from_ms',
    )

    def __init__(self, role: str, retention_s: float, quiet_s: float) -> None:
        self.role = role
        self.retention_ms = int(retention_s * const.MS_PER_S)
        self.quiet_s = quiet_s
        self.position = 0
        self.anchor: Anchor | None = None
        self.missing_since_ms = 0
        self.answered_s: float = 0
        self.failure = 'not read yet'
        self.rank = 0
        # While a checkpoint is being appended, no second one is started.
        self.write_from_ms = 0

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        now_s: float,
        random_unit: float,
    ) -> 'LogUse':
        """Start as if an entry host had just answered."""
        quiet_s = const.AGENT_QUIET_S + const.AGENT_QUIET_JITTER_S * random_unit
        log = cls(settings.role, settings.log_retention_s, quiet_s)
        log.answered_s = now_s
        return log


def read_is_due(log: LogUse, now_s: float) -> bool:
    """Tell whether this process shall read the log itself.

    Entry hosts always follow the log. Agents learn of changes from entry
    hosts, so that the log serves 390 and not 2190 long polls.
    """
    if log.role == names.ROLE_ENTRY:
        return True
    return now_s - log.answered_s > log.quiet_s


def note_read(
    log: LogUse,
    state: FoldState,
    page: LogPage,
    position: int,
    now_ms: int,
) -> None:
    """Take over a page after it was folded into the state."""
    log.failure = ''
    log.position = next_position(state, page, position)
    found = note_page(log.anchor, page)
    if found is None and (log.anchor is not None or not log.missing_since_ms):
        log.missing_since_ms = now_ms
    log.anchor = found


def note_hosts(log: LogUse, own_id: str, hosts: Iterable[Host]) -> None:
    """Take over the place of this host among the live entry hosts."""
    live = {
        host.host_id
        for host in hosts
        if host.role == names.ROLE_ENTRY and host.state == names.HOST_LIVE
    }
    order = rendezvous_order(const.KIND_CHECKPOINT, live | {own_id})
    log.rank = order.index(own_id)


def checkpoint_is_due(log: LogUse, state: FoldState, now_ms: int) -> bool:
    """Tell whether this process shall write a checkpoint now."""
    if log.role != names.ROLE_ENTRY or log.failure or state.bundle is None:
        return False
    due = due_ms(log.anchor, log.missing_since_ms, log.rank, log.retention_ms)
    return now_ms >= max(due, log.write_from_ms)
