"""Random interleavings of owners, requesters and faults, with checks."""

from apricotpin.components.claims import effects
from apricotpin.components.claims.records import Ended
from tests.components.claims.naive import (
    NaiveClaims,
    holder_of,
    read_all,
    verdict_of_final,
)
from tests.components.claims import world as models
from tests.components.claims.model_log import ModelLog
from tests.components.claims.world import (
    LIFETIME_S,
    START_S,
    World,
    key_of,
)

OWNERS = ('A', 'B', 'C')
KEYS = 3


class Attempt:
    """Hold an attempt as its entry host knows it."""

    __slots__ = ('key', 'name', 'not_run', 'state')

    def __init__(self, name, key):
        self.name = name
        self.key = key
        # asking, refused (its caller was told), granted
        self.state = 'asking'
        self.not_run = False


class Interleaving:
    """Run actions on a world and check every answer."""

    def __init__(self):
        self.world = World()
        self.attempts = []
        self.attempt_of_ask = {}
        # Answers on their way to the entry host that asked.
        self.network = []
        self.seen = 0
        self.granted = {}
        self.told_not_run = set()
        self.grants = 0
        self.actions = {
            'ask': self.ask,
            'ask_again': self.ask_again,
            'receive': self.receive,
            'drop': self.drop,
            'give_up': self.give_up,
            'report': self.report,
            'find': self.find,
            'land': lambda owner, _number: self.world.land(owner),
            'reply': lambda owner, _number: self.world.reply(owner),
            'work': lambda owner, number: self.world.run(owner, number + 1),
            'lose': lambda owner, _number: self.world.lose(owner),
            'delay': lambda owner, _number: self.world.lose(owner, later=True),
            'arrive': lambda _owner, _number: models.arrive(self.world),
            'wait': lambda _owner, number: self.world.wait(0.3 * number),
            'restart': lambda owner, _number: self.world.restart(owner),
            'age': self.age,
        }

    def run(self, plan):
        """Run actions given as (name, owner, number)."""
        for action, owner, number in plan:
            self.actions[action](OWNERS[owner], number)
            self.check_answers()
        self.check_end()

    def ask(self, owner, number):
        """Start an attempt."""
        age_s = self.world.now_s - START_S
        created_s = START_S + age_s // LIFETIME_S * LIFETIME_S
        key = key_of(created_s, number % KEYS)
        attempt = Attempt(f'x{len(self.attempts)}', key)
        self.attempts.append(attempt)
        self._send(attempt, owner)

    def ask_again(self, owner, number):
        """Ask again for an attempt that has no answer yet."""
        asking = [att for att in self.attempts if att.state == 'asking']
        if asking:
            self._send(asking[number % len(asking)], owner)

    def receive(self, _owner, number):
        """Deliver an answer to the entry host that asked."""
        if not self.network:
            return
        attempt, verdict = self.network.pop(number % len(self.network))
        if verdict == 'not_run':
            self.tell_not_run(attempt.key)
        if attempt.state != 'asking':
            return
        if verdict == 'granted':
            attempt.state = 'granted'
            attempt.not_run = number % 3 == 0
            self.grants += 1
            if not attempt.not_run:
                assert attempt.key not in self.told_not_run, 'ran after not_run'
        elif verdict not in {'unavailable', 'not_owner'}:
            attempt.state = 'refused'

    def drop(self, _owner, number):
        """Lose an answer."""
        if self.network:
            self.network.pop(number % len(self.network))

    def give_up(self, owner, number):
        """Refuse the caller of an attempt, then close the attempt."""
        asking = [att for att in self.attempts if att.state == 'asking']
        if asking:
            attempt = asking[number % len(asking)]
            attempt.state = 'refused'
            attempt.not_run = True
            self._close(attempt, owner)

    def report(self, owner, number):
        """Report what became of a granted attempt."""
        granted = [att for att in self.attempts if att.state == 'granted']
        if not granted:
            return
        attempt = granted[number % len(granted)]
        if attempt.not_run:
            self._close(attempt, owner)
            return
        body = attempt.name.encode()
        ask_id = models.report(
            self.world, owner, attempt.key, attempt.name, body
        )
        self.attempt_of_ask[ask_id] = attempt

    def find(self, owner, number):
        """Look a key up."""
        models.find(self.world, owner, key_of(START_S, number % KEYS))

    def age(self, _owner, number):
        """Let claims and records expire in part."""
        self.world.wait(number * 100)
        models.sweep(self.world)
        models.expire(self.world)

    def check_answers(self):
        """Check the answers given since the last check."""
        answers = self.world.answers[self.seen :]
        self.seen = len(self.world.answers)
        for answer in answers:
            self._check(answer)

    def check_end(self):
        """Compare what every owner knows with the naive fold of the log."""
        if self.world.now_s - START_S > LIFETIME_S - 60:
            return
        for owner in OWNERS:
            self.world.run(owner)
            self.world.restart(owner)
        self.check_answers()
        claims, finals = read_all(self.world.log.history)
        for number in range(KEYS):
            key = key_of(START_S, number)
            for owner in OWNERS:
                ask_id = models.find(self.world, owner, key)
                self.world.run(owner)
                found = _verdict_of(self.world, ask_id)
                assert found in _expected(key, claims, finals), found

    def tell_not_run(self, key):
        """Note that somebody was told that a key did not run."""
        self.told_not_run.add(key)
        ran = [
            att.name
            for att in self.attempts
            if att.key == key and att.state == 'granted' and not att.not_run
        ]
        assert not ran, f'{key} was told not_run, but {ran} ran'

    def _send(self, attempt, owner):
        ask_id = models.claim(self.world, owner, attempt.key, attempt.name)
        self.attempt_of_ask[ask_id] = attempt

    def _close(self, attempt, owner):
        ask_id = models.close(self.world, owner, attempt.key, attempt.name)
        self.attempt_of_ask[ask_id] = attempt

    def _check(self, answer):
        attempt = self.attempt_of_ask.get(answer.ask.ask_id)
        found = answer.found
        if isinstance(found, effects.Replay):
            _check_replay(self, answer)
        if isinstance(found, effects.Stored):
            _check_stored(self, answer, attempt)
        elif attempt is not None and isinstance(found, effects.Verdict):
            if found.verdict == 'granted':
                _check_grant(self, attempt)
            self.network.append((attempt, found.verdict))


def _check_grant(run, attempt):
    before = run.granted.setdefault(attempt.key, attempt.name)
    assert before == attempt.name, f'{before} and {attempt.name} granted'
    claims, _finals = read_all(run.world.log.history)
    holder = holder_of(claims, attempt.key)
    assert holder == attempt.name, f'the log names {holder}'


def _check_stored(run, answer, attempt):
    if not answer.found.stored:
        return
    _claims, finals = read_all(run.world.log.history)
    final = finals[attempt.key]
    assert final['attempt_id'] == attempt.name, 'recorded for another'
    assert (final['kind'] == 'closed') == attempt.not_run, final['kind']
    if attempt.not_run:
        run.tell_not_run(attempt.key)


def _check_replay(run, answer):
    key = answer.ask.asked.key
    record = models.stored(run.world, answer.found.offset)
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
    world = World()
    naive = NaiveClaims(ModelLog())
    for action, number, attempt in plan:
        key = key_of(START_S, number % KEYS)
        name = f'x{attempt}'
        if action == 'claim':
            digest = f'd{attempt % 2}'
            ask_id = models.claim(world, 'A', key, name, digest)
            expected = naive.claim(key, digest, name, world.now_s)
        else:
            send = models.close if action == 'close' else models.report
            ask_id = send(world, 'A', key, name)
            stored = naive.record(key, name, action == 'close', world.now_s)
            expected = _naive_stored(naive, key, name, stored)
        world.run('A')
        found = _verdict_of(world, ask_id)
        assert found == expected, f'{action}: {found} instead of {expected}'


def _naive_stored(naive, key, name, stored):
    return 'stored' if stored and naive.holds(key, name) else 'failed'


def _verdict_of(world, ask_id):
    found = [ans.found for ans in world.answers if ans.ask.ask_id == ask_id]
    assert len(found) == 1, f'{len(found)} answers to one ask'
    if isinstance(found[0], effects.Replay):
        return 'done'
    if isinstance(found[0], effects.Stored):
        return 'stored' if found[0].stored else 'failed'
    return found[0].verdict


def _expected(key, claims, finals):
    final = finals.get(key)
    if final is not None:
        return {verdict_of_final(final)}
    return {'running', 'unknown'} if key in claims else {'absent'}
