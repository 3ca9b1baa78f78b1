"""Simulated log and processes that run the code of the configuration.

Time is simulated in milliseconds. A process polls the log, may be suspended
between reading and folding a page, may restart without any state, and
requests the states of peers during outages.
"""

import copy

from apricotpin.components.configuration.checkpoints import checkpoint_fields
from apricotpin.components.configuration.decisions import (
    FoldState,
    fold_page,
    is_newer,
    state_from_peer,
)
from apricotpin.components.configuration.log_use import (
    LogUse,
    is_checkpoint_due,
    record_read,
    update_checkpoint_rank,
)
from apricotpin.helpers.log_client import LogPage, LogRecord
from apricotpin.messages.configuration import ConfigState
from apricotpin.messages.hosts import Host
from tests.naive.configuration import NaiveConfiguration

RETENTION_S = 60
STEP_MS = 1000
PAGE_RECORDS = 3
_DIGEST = '0' * 64


def document(name):
    """Return a small valid base document."""
    return {
        'fleet': name,
        'services': {'advice': {'kind': 'model', 'model': 'canoe'}},
        'models': {'canoe': {'version': name, 'manifest_digest': _DIGEST}},
    }


class SimulatedLog:
    """Keep records for RETENTION_S and reject all calls in an outage."""

    def __init__(self):
        self.naive = NaiveConfiguration()
        self.times_ms = []
        self.now_ms = 1000000
        self.outage = False

    def append(self, value):
        """Append a record; return its offset, or None in an outage."""
        if self.outage:
            return None
        self.times_ms.append(self.now_ms)
        return self.naive.append(value)

    def earliest(self):
        """Return the offset of the earliest retained record."""
        oldest_ms = self.now_ms - RETENTION_S * 1000
        expired = [time for time in self.times_ms if time < oldest_ms]
        return len(expired)

    def page(self, position):
        """Return a page from a position, or None in an outage."""
        if self.outage:
            return None
        first = max(position, self.earliest())
        offsets = range(first, len(self.naive.values))[:PAGE_RECORDS]
        records = [
            LogRecord(
                offset,
                self.times_ms[offset],
                copy.deepcopy(self.naive.values[offset]),
            )
            for offset in offsets
        ]
        return LogPage(records, self.earliest(), len(self.naive.values))


class SimulatedProcess:
    """Simulate one entry host; calls the functions the service calls."""

    def __init__(self, name, names):
        self.name = name
        self.names = names
        self.restart()

    def restart(self):
        """Start again without any state."""
        self.state = FoldState()
        self.log_use = LogUse('entry', RETENTION_S, 0)
        hosts = [Host(each, 'entry', state='live') for each in self.names]
        update_checkpoint_rank(self.log_use, self.name, hosts)
        self.held_page = None
        self.pending_state = None
        self.highest_accepted_offset = -1
        self.is_partitioned = False

    def poll(self, log):
        """Read one page, or record that the log is unavailable."""
        position = self.log_use.position
        page = None if self.is_partitioned else log.page(position)
        if page is None:
            self.log_use.read_failure = 'outage'
            return
        self.fold(page, position, log.now_ms)

    def fold(self, page, position, now_ms):
        """Fold a page as the service does."""
        self.state = fold_page(self.state, page)
        record_read(self.log_use, self.state, page, position, now_ms)

    def suspend(self, log):
        """Read a page and suspend the process before it folds the page."""
        self.held_page = (
            log.page(self.log_use.position),
            self.log_use.position,
        )

    def resume(self, now_ms):
        """Fold the page that was read before the suspension."""
        page, position = self.held_page
        self.held_page = None
        if page is not None:
            self.fold(page, position, now_ms)

    def request_state(self, other):
        """Request the state of a peer; receive_state() delivers it."""
        if other.state.accepted_offset > self.state.accepted_offset:
            self.pending_state = ConfigState(
                other.state.folded_offset,
                other.state.accepted_offset,
                other.state.bundle.as_text(),
            )

    def receive_state(self):
        """Adopt the pending state of a peer if it is newer."""
        if self.pending_state is None:
            return
        state = state_from_peer(self.pending_state).unwrap()
        self.pending_state = None
        if is_newer(state, self.state):
            self.log_use.position = state.folded_offset
            self.state = state

    def tick(self, log):
        """Append a checkpoint if one is due."""
        if is_checkpoint_due(self.log_use, self.state, log.now_ms):
            self.log_use.next_checkpoint_ms = log.now_ms + 5000
            log.append(checkpoint_fields(self.state))
