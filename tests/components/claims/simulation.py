"""Simulation of several owners of one partition over a simulated log."""

import itertools

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.claim_index import (
    KeyQuery,
    drop_expired_claims,
)
from apricotpin.components.claims.decisions import handle_event
from apricotpin.components.claims.records import (
    Claimed,
    Closed,
    Ended,
    decode,
    encode,
)
from apricotpin.components.claims.state import Partition, PartitionLimits
from apricotpin.messages.claims import Outcome
from tests.components.claims.model_log import ModelLog

START_S = 1_800_000_000.0
LIFETIME_S = 600.0
RETENTION_S = 660.0
HOLDER_TIMEOUT_S = 30.0
DEADLINE_S = 2.0
PAGE_RECORDS = 3


def key_of(created_s, number=0):
    """Return the name of a key with a creation time."""
    milliseconds = int(created_s * 1000)
    head = f'{milliseconds:012x}'
    tail = f'7000-8000-{number:012x}'
    return f'{head[:8]}-{head[8:]}-{tail}/orders/karatsu'


class ReceivedReply:
    """Describe a reply of an owner and the command that it belongs to."""

    __slots__ = ('command', 'effect')

    def __init__(self, command, effect):
        self.command = command
        self.effect = effect


class SimulatedOwner:
    """Track a partition and its append, read or pause in progress."""

    __slots__ = ('log_reply', 'partition', 'pending')

    def __init__(self, token):
        self.partition = Partition(token)
        self.pending = None
        # The reply of the log that has not reached the owner yet.
        self.log_reply = None


class PartitionSimulation:
    """Run owners step by step; faults can occur between any two steps."""

    def __init__(self):
        self.log = ModelLog()
        self.now_s = START_S
        self.limits = PartitionLimits(LIFETIME_S)
        self.owners = {}
        self.commands = {}
        self.replies = []
        # Appends that failed for their owner and reach the log later.
        self.delayed_appends = []
        self._numbers = itertools.count(1)

    def owner(self, name):
        """Return an owner, starting it if needed."""
        if name not in self.owners:
            self.restart(name)
        return self.owners[name]

    def restart(self, name):
        """Replace an owner by one without any state."""
        token = f'{name}.{next(self._numbers)}'
        self.owners[name] = SimulatedOwner(token)

    def complete_pending(self, name):
        """Let the log process the append or read that an owner waits for."""
        owner = self.owner(name)
        if owner.pending is None or owner.log_reply is not None:
            return
        pending = owner.pending
        if isinstance(pending, effects.AppendBatch):
            owner.log_reply = events.Appended(self.append(pending.records))
        elif isinstance(pending, effects.ReadStream):
            page = self.log.page(pending.from_offset, PAGE_RECORDS)
            owner.log_reply = events.PageRead(page)
        else:
            owner.log_reply = events.PauseEnded()

    def deliver_reply(self, name):
        """Deliver the reply of the log to an owner."""
        owner = self.owner(name)
        if owner.log_reply is not None:
            self._send_log_event(name, owner.log_reply)

    def fail_pending(self, name, arrives_later=False):
        """Report a failure of the append or read that an owner waits for.

        The log may have processed it. An append that it has not processed is
        lost, or arrives later.
        """
        owner = self.owner(name)
        pending = owner.pending
        if isinstance(pending, effects.AppendBatch):
            if arrives_later and owner.log_reply is None:
                self.delayed_appends.append(pending.records)
            self._send_log_event(name, events.AppendUnconfirmed())
        elif isinstance(pending, effects.ReadStream):
            self._send_log_event(name, events.ReadFailed())

    def run(self, name, steps=50):
        """Run an owner and the log until the owner waits for nothing."""
        while steps and self.owner(name).pending is not None:
            steps -= 1
            pending = self.owner(name).pending
            if isinstance(pending, effects.Pause):
                self.now_s += pending.pause_s
            self.complete_pending(name)
            self.deliver_reply(name)

    def advance_time(self, seconds):
        """Advance the time and let every owner check its deadlines."""
        self.now_s += seconds
        for name in list(self.owners):
            self.send_event(name, events.Ticked())

    def send_event(self, name, event):
        """Pass an event to an owner and handle the effects."""
        owner = self.owner(name)
        new_effects = handle_event(
            owner.partition, event, self.now_s, self.limits
        )
        for effect in new_effects:
            self._handle_effect(owner, effect)

    def append(self, records):
        """Append records to the log and return the first offset."""
        return self.log.append([encode(rec) for rec in records], self.now_s)

    def command(self, name, command_class, query, record):
        """Create a command and pass it to an owner; return its request id."""
        request_id = next(self._numbers)
        deadline_s = self.now_s + DEADLINE_S
        return self.send_command(
            name, command_class(request_id, query, record, deadline_s)
        )

    def send_command(self, name, command):
        """Pass a command to an owner; return its request id."""
        self.commands[command.request_id] = command
        self.send_event(name, command)
        return command.request_id

    def _send_log_event(self, name, event):
        owner = self.owner(name)
        owner.pending = None
        owner.log_reply = None
        self.send_event(name, event)

    def _handle_effect(self, owner, effect):
        if isinstance(
            effect,
            effects.ReplyVerdict | effects.ReplyOutcomeAt | effects.ReplyStored,
        ):
            self.replies.append(
                ReceivedReply(self.commands[effect.request_id], effect)
            )
            return
        assert owner.pending is None, 'two effects are in progress'
        owner.pending = effect


def claim(simulation, name, key, attempt_id, digest='d'):
    """Claim a key at an owner."""
    record = Claimed(key, digest, attempt_id, 'host')
    query = KeyQuery(key, digest, attempt_id, HOLDER_TIMEOUT_S)
    return simulation.command(name, events.ClaimCommand, query, record)


def report(simulation, name, key, attempt_id, body=b'ok'):
    """Report the outcome of an attempt to an owner."""
    outcome = Outcome(200, 'text/plain', body)
    record = Ended.from_outcome(key, attempt_id, outcome)
    query = KeyQuery(key, '', attempt_id, HOLDER_TIMEOUT_S)
    return simulation.command(name, events.RecordCommand, query, record)


def close(simulation, name, key, attempt_id):
    """Report to an owner that an attempt did not run and never will."""
    record = Closed(key, attempt_id)
    query = KeyQuery(key, '', attempt_id, HOLDER_TIMEOUT_S)
    return simulation.command(name, events.RecordCommand, query, record)


def look_up(simulation, name, key):
    """Look up a key at an owner."""
    request_id = next(simulation._numbers)
    query = KeyQuery(key, '', '', HOLDER_TIMEOUT_S)
    command = events.LookupCommand(
        request_id, query, simulation.now_s + DEADLINE_S
    )
    return simulation.send_command(name, command)


def append_delayed(simulation):
    """Append the records of the oldest delayed append to the log."""
    if simulation.delayed_appends:
        simulation.append(simulation.delayed_appends.pop(0))


def drop_expired(simulation):
    """Let every owner remove expired claims from memory."""
    for owner in simulation.owners.values():
        drop_expired_claims(
            owner.partition.claim_index, simulation.now_s, LIFETIME_S
        )


def expire_log(simulation):
    """Let the log remove records older than its retention."""
    simulation.log.expire(simulation.now_s - RETENTION_S)


def stored_record(simulation, offset):
    """Return the record at an offset of the log."""
    return decode(simulation.log.history[offset].value)
