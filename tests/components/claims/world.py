"""Several owners of one partition over a model of the log."""

import itertools

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.decisions import step
from apricotpin.components.claims.ledger import Asked, sweep as sweep_ledger
from apricotpin.components.claims.records import (
    Claimed,
    Closed,
    Ended,
    decode,
    encode,
)
from apricotpin.components.claims.state import Partition, Rules
from apricotpin.messages.claims import Outcome
from tests.components.claims.model_log import ModelLog

START_S = 1_800_000_000.0
LIFETIME_S = 600.0
RETENTION_S = 660.0
HOLDER_BOUND_S = 30.0
DEADLINE_S = 2.0
PAGE_RECORDS = 3


def key_of(created_s, number=0):
    """Return the name of a key created at a time."""
    milliseconds = int(created_s * 1000)
    head = f'{milliseconds:012x}'
    tail = f'7000-8000-{number:012x}'
    return f'{head[:8]}-{head[8:]}-{tail}/orders/karatsu'


class Answer:
    """Hold an answer of an owner."""

    __slots__ = ('ask', 'found')

    def __init__(self, ask, found):
        self.ask = ask
        self.found = found


class OwnerModel:
    """Hold a partition and what it waits for."""

    __slots__ = ('landed', 'partition', 'pending')

    def __init__(self, token):
        self.partition = Partition(token)
        self.pending = None
        # The reply of the log, before it reaches the owner.
        self.landed = None


class World:
    """Run owners step by step, with faults between any two steps."""

    def __init__(self):
        self.log = ModelLog()
        self.now_s = START_S
        self.rules = Rules(LIFETIME_S)
        self.owners = {}
        self.asks = {}
        self.answers = []
        # Appends that were given up and reach the log later.
        self.delayed = []
        self._numbers = itertools.count(1)

    def owner(self, name):
        """Return an owner, starting it if needed."""
        if name not in self.owners:
            self.restart(name)
        return self.owners[name]

    def restart(self, name):
        """Replace an owner; it keeps nothing."""
        token = f'{name}.{next(self._numbers)}'
        self.owners[name] = OwnerModel(token)

    def land(self, name):
        """Let the log carry out what an owner waits for."""
        owner = self.owner(name)
        if owner.pending is None or owner.landed is not None:
            return
        pending = owner.pending
        if isinstance(pending, effects.AppendBatch):
            owner.landed = events.Appended(self.append(pending.records))
        elif isinstance(pending, effects.ReadStream):
            page = self.log.page(pending.from_offset, PAGE_RECORDS)
            owner.landed = events.PageRead(page)
        else:
            owner.landed = events.Woken()

    def reply(self, name):
        """Deliver the reply of the log to an owner."""
        owner = self.owner(name)
        if owner.landed is not None:
            self._deliver(name, owner.landed)

    def lose(self, name, later=False):
        """Tell an owner that its request failed, landed or not."""
        owner = self.owner(name)
        pending = owner.pending
        if isinstance(pending, effects.AppendBatch):
            if later and owner.landed is None:
                self.delayed.append(pending.records)
            self._deliver(name, events.AppendLost())
        elif isinstance(pending, effects.ReadStream):
            self._deliver(name, events.ReadFailed())

    def run(self, name, steps=50):
        """Let an owner and the log work until nothing is outstanding."""
        while steps and self.owner(name).pending is not None:
            steps -= 1
            pending = self.owner(name).pending
            if isinstance(pending, effects.Pause):
                self.now_s += pending.pause_s
            self.land(name)
            self.reply(name)

    def wait(self, seconds):
        """Let time pass; every owner checks its deadlines."""
        self.now_s += seconds
        for name in list(self.owners):
            self.event(name, events.Ticked())

    def event(self, name, event):
        """Pass an event to an owner and take its effects."""
        owner = self.owner(name)
        found = step(owner.partition, event, self.now_s, self.rules)
        for effect in found:
            self._take(owner, effect)

    def append(self, records):
        """Append records to the log and return the first offset."""
        return self.log.append([encode(rec) for rec in records], self.now_s)

    def ask(self, name, ask_class, asked, record):
        """Ask an owner about a key; return the number of the ask."""
        ask_id = next(self._numbers)
        deadline_s = self.now_s + DEADLINE_S
        return self.send(name, ask_class(ask_id, asked, record, deadline_s))

    def send(self, name, ask):
        """Pass an ask to an owner; return its number."""
        self.asks[ask.ask_id] = ask
        self.event(name, ask)
        return ask.ask_id

    def _deliver(self, name, event):
        owner = self.owner(name)
        owner.pending = None
        owner.landed = None
        self.event(name, event)

    def _take(self, owner, effect):
        if isinstance(
            effect, effects.Verdict | effects.Replay | effects.Stored
        ):
            self.answers.append(Answer(self.asks[effect.ask_id], effect))
            return
        assert owner.pending is None, 'two effects are outstanding'
        owner.pending = effect


def claim(world, name, key, attempt_id, digest='d'):
    """Ask an owner for a claim."""
    record = Claimed(key, digest, attempt_id, 'host')
    asked = Asked(key, digest, attempt_id, HOLDER_BOUND_S)
    return world.ask(name, events.AskClaim, asked, record)


def report(world, name, key, attempt_id, body=b'ok'):
    """Report the outcome of an attempt to an owner."""
    outcome = Outcome(200, 'text/plain', body)
    record = Ended.from_outcome(key, attempt_id, outcome)
    asked = Asked(key, '', attempt_id, HOLDER_BOUND_S)
    return world.ask(name, events.AskFinal, asked, record)


def close(world, name, key, attempt_id):
    """Report to an owner that an attempt did not run."""
    record = Closed(key, attempt_id)
    asked = Asked(key, '', attempt_id, HOLDER_BOUND_S)
    return world.ask(name, events.AskFinal, asked, record)


def find(world, name, key):
    """Ask an owner what is known of a key."""
    ask_id = next(world._numbers)
    asked = Asked(key, '', '', HOLDER_BOUND_S)
    ask = events.AskFind(ask_id, asked, world.now_s + DEADLINE_S)
    return world.send(name, ask)


def arrive(world):
    """Let the oldest delayed append reach the log."""
    if world.delayed:
        world.append(world.delayed.pop(0))


def sweep(world):
    """Let every owner drop expired claims."""
    for owner in world.owners.values():
        sweep_ledger(owner.partition.ledger, world.now_s, LIFETIME_S)


def expire(world):
    """Let the log drop what is older than its retention."""
    world.log.expire(world.now_s - RETENTION_S)


def stored(world, offset):
    """Return the record at an offset of the log."""
    return decode(world.log.history[offset].value)
