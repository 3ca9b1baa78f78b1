"""Interleavings of owners, requesters and faults, with checks."""

from apricotpin.components.claims import effects
from apricotpin.components.claims.records import Ended
from tests.components.claims import simulation as commands
from tests.components.claims.model_log import ModelLog
from tests.components.claims.naive import (
    NaiveClaims,
    holder_of,
    read_history,
    verdict_of_final,
)
from tests.components.claims.simulation import (
    LIFETIME_S,
    START_S,
    PartitionSimulation,
    key_of,
)

OWNERS = ('A', 'B', 'C')
KEYS = 3


class Attempt:
    """Track the state of an attempt at its entry host."""

    __slots__ = ('key', 'name', 'not_run', 'state')

    def __init__(self, name, key):
        self.name = name
        self.key = key
        # One of: asking, refused (and the caller was told so), granted.
        self.state = 'asking'
        self.not_run = False


class Interleaving:
    """Run actions on a simulation and check every reply."""

    def __init__(self):
        self.simulation = PartitionSimulation()
        self.attempts = []
        self.attempt_by_request = {}
        # Verdicts that have not reached the requesting entry host yet.
        self.undelivered = []
        self.checked_count = 0
        self.granted = {}
        self.reported_not_run = set()
        self.grants = 0
        self.actions = {
            'ask': self.ask,
            'ask_again': self.ask_again,
            'receive': self.receive,
            'drop': self.drop,
            'give_up': self.give_up,
            'report': self.report,
            'find': self.find,
            'land': lambda owner, _number: self.simulation.complete_pending(
                owner
            ),
            'reply': lambda owner, _number: self.simulation.deliver_reply(
                owner
            ),
            'work': lambda owner, number: self.simulation.run(
                owner, number + 1
            ),
            'lose': lambda owner, _number: self.simulation.fail_pending(owner),
            'delay': lambda owner, _number: self.simulation.fail_pending(
                owner, arrives_later=True
            ),
            'arrive': lambda _owner, _number: commands.append_delayed(
                self.simulation
            ),
            'wait': lambda _owner, number: self.simulation.advance_time(
                0.3 * number
            ),
            'restart': lambda owner, _number: self.simulation.restart(owner),
            'age': self.age,
        }

    def run(self, plan):
        """Run actions given as (name, owner, number)."""
        for action, owner, number in plan:
            self.actions[action](OWNERS[owner], number)
            self.check_replies()
        self.check_end()

    def ask(self, owner, number):
        """Start an attempt and claim its key."""
        age_s = self.simulation.now_s - START_S
        created_s = START_S + age_s // LIFETIME_S * LIFETIME_S
        key = key_of(created_s, number % KEYS)
        attempt = Attempt(f'x{len(self.attempts)}', key)
        self.attempts.append(attempt)
        self._send(attempt, owner)

    def ask_again(self, owner, number):
        """Repeat the claim of an attempt that has no verdict yet."""
        asking = [att for att in self.attempts if att.state == 'asking']
        if asking:
            self._send(asking[number % len(asking)], owner)

    def receive(self, _owner, number):
        """Deliver a verdict to the requesting entry host."""
        if not self.undelivered:
            return
        attempt, verdict = self.undelivered.pop(number % len(self.undelivered))
        if verdict == 'not_run':
            self.record_not_run(attempt.key)
        if attempt.state != 'asking':
            return
        if verdict == 'granted':
            attempt.state = 'granted'
            attempt.not_run = number % 3 == 0
            self.grants += 1
            if not attempt.not_run:
                assert attempt.key not in self.reported_not_run, (
                    'ran after not_run'
                )
        elif verdict not in {'unavailable', 'not_owner'}:
            attempt.state = 'refused'

    def drop(self, _owner, number):
        """Drop a verdict before its delivery."""
        if self.undelivered:
            self.undelivered.pop(number % len(self.undelivered))

    def give_up(self, owner, number):
        """Refuse the caller of an attempt, then close the attempt."""
        asking = [att for att in self.attempts if att.state == 'asking']
        if asking:
            attempt = asking[number % len(asking)]
            attempt.state = 'refused'
            attempt.not_run = True
            self._close(attempt, owner)

    def report(self, owner, number):
        """Report the outcome of a granted attempt, or that it did not run."""
        granted = [att for att in self.attempts if att.state == 'granted']
        if not granted:
            return
        attempt = granted[number % len(granted)]
        if attempt.not_run:
            self._close(attempt, owner)
            return
        body = attempt.name.encode()
        request_id = commands.report(
            self.simulation, owner, attempt.key, attempt.name, body
        )
        self.attempt_by_request[request_id] = attempt

    def find(self, owner, number):
        """Look a key up."""
        commands.look_up(self.simulation, owner, key_of(START_S, number % KEYS))

    def age(self, _owner, number):
        """Advance the time and expire claims and log records."""
        self.simulation.advance_time(number * 100)
        commands.drop_expired(self.simulation)
        commands.expire_log(self.simulation)

    def check_replies(self):
        """Check the replies since the last check."""
        replies = self.simulation.replies[self.checked_count :]
        self.checked_count = len(self.simulation.replies)
        for reply in replies:
            self._check(reply)

    def check_end(self):
        """Compare the verdicts of every owner with a naive read of the log."""
        if self.simulation.now_s - START_S > LIFETIME_S - 60:
            return
        for owner in OWNERS:
            self.simulation.run(owner)
            self.simulation.restart(owner)
        self.check_replies()
        claims, finals = read_history(self.simulation.log.history)
        for number in range(KEYS):
            key = key_of(START_S, number)
            for owner in OWNERS:
                request_id = commands.look_up(self.simulation, owner, key)
                self.simulation.run(owner)
                found = _verdict_of(self.simulation, request_id)
                assert found in _expected(key, claims, finals), found

    def record_not_run(self, key):
        """Record that a requester received "not_run" for a key."""
        self.reported_not_run.add(key)
        ran = [
            att.name
            for att in self.attempts
            if att.key == key and att.state == 'granted' and not att.not_run
        ]
        assert not ran, f'not_run was replied for {key}, but {ran} ran'

    def _send(self, attempt, owner):
        request_id = commands.claim(
            self.simulation, owner, attempt.key, attempt.name
        )
        self.attempt_by_request[request_id] = attempt

    def _close(self, attempt, owner):
        request_id = commands.close(
            self.simulation, owner, attempt.key, attempt.name
        )
        self.attempt_by_request[request_id] = attempt

    def _check(self, reply):
        attempt = self.attempt_by_request.get(reply.command.request_id)
        effect = reply.effect
        if isinstance(effect, effects.ReplyOutcomeAt):
            _check_replay(self, reply)
        if isinstance(effect, effects.ReplyStored):
            _check_stored(self, reply, attempt)
        elif attempt is not None and isinstance(effect, effects.ReplyVerdict):
            if effect.verdict == 'granted':
                _check_grant(self, attempt)
            self.undelivered.append((attempt, effect.verdict))


def _check_grant(run, attempt):
    before = run.granted.setdefault(attempt.key, attempt.name)
    assert before == attempt.name, f'{before} and {attempt.name} granted'
    claims, _finals = read_history(run.simulation.log.history)
    holder = holder_of(claims, attempt.key)
    assert holder == attempt.name, f'the log names {holder}'


def _check_stored(run, reply, attempt):
    if not reply.effect.stored:
        return
    _claims, finals = read_history(run.simulation.log.history)
    final = finals[attempt.key]
    assert final['attempt_id'] == attempt.name, 'recorded for another'
    assert (final['kind'] == 'closed') == attempt.not_run, final['kind']
    if attempt.not_run:
        run.record_not_run(attempt.key)


def _check_replay(run, reply):
    key = reply.command.query.key
    record = commands.stored_record(run.simulation, reply.effect.offset)
    assert isinstance(record, Ended), 'replay of another record'
    reporters = [
        att.name.encode()
        for att in run.attempts
        if att.key == key and att.state == 'granted' and not att.not_run
    ]
    assert record.key == key, 'outcome of another key'
    assert [record.outcome.body] == reporters, 'outcome of another attempt'


def compare_without_faults(plan):
    """Compare verdicts of one owner with the naive version, step by step."""
    simulation = PartitionSimulation()
    naive = NaiveClaims(ModelLog())
    for action, number, attempt in plan:
        key = key_of(START_S, number % KEYS)
        name = f'x{attempt}'
        if action == 'claim':
            digest = f'd{attempt % 2}'
            request_id = commands.claim(simulation, 'A', key, name, digest)
            expected = naive.claim(key, digest, name, simulation.now_s)
        else:
            send = commands.close if action == 'close' else commands.report
            request_id = send(simulation, 'A', key, name)
            is_stored = naive.record(
                key, name, action == 'close', simulation.now_s
            )
            expected = _naive_stored(naive, key, name, is_stored)
        simulation.run('A')
        found = _verdict_of(simulation, request_id)
        assert found == expected, f'{action}: {found} instead of {expected}'


def _naive_stored(naive, key, name, is_stored):
    return 'stored' if is_stored and naive.is_held_by(key, name) else 'failed'


def _verdict_of(simulation, request_id):
    found = [
        reply.effect
        for reply in simulation.replies
        if reply.command.request_id == request_id
    ]
    assert len(found) == 1, f'{len(found)} replies to one command'
    if isinstance(found[0], effects.ReplyOutcomeAt):
        return 'done'
    if isinstance(found[0], effects.ReplyStored):
        return 'stored' if found[0].stored else 'failed'
    return found[0].verdict


def _expected(key, claims, finals):
    final = finals.get(key)
    if final is not None:
        return {verdict_of_final(final)}
    return {'running', 'unknown'} if key in claims else {'absent'}
