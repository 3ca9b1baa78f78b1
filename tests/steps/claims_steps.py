"""Steps for the decisions of the claims component."""

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as given_plans

from apricotpin.components.claims import effects
from apricotpin.components.claims.state import Rules
from tests.components.claims import world as models
from tests.components.claims.interleaving import (
    OWNERS,
    Interleaving,
    compare_without_faults,
)
from tests.components.claims.world import START_S, World, key_of

# Actions that lead to grants are drawn more often than faults.
_INTERLEAVED = (
    *('ask', 'ask', 'ask', 'ask_again', 'receive', 'receive', 'receive'),
    *('work', 'work', 'work', 'land', 'land', 'reply', 'reply'),
    *('lose', 'delay', 'arrive', 'drop', 'give_up', 'report', 'report'),
    *('find', 'wait', 'restart', 'age'),
)


@given('claims of one partition over a model of the log')
def make_world(context):
    """Start without owners."""
    context.world = World()
    context.key = key_of(START_S)
    context.labels = {}


@when('claims events are "{script}"')
def run_script(context, script):
    """Run events separated by semicolons."""
    for line in script.split(';'):
        words = line.split()
        _ACTIONS[words[1]](context, words)


def _claim(context, words):
    name, _ask, attempt_id, *digest = words
    digest_name = digest[0] if digest else 'd'
    key = _key_for(context, attempt_id)
    ask_id = models.claim(context.world, name, key, attempt_id, digest_name)
    context.labels[ask_id] = attempt_id


def _key_for(context, attempt_id):
    """Return the key of an attempt; x/2 is an attempt with a second key."""
    _name, _slash, number = attempt_id.partition('/')
    return key_of(START_S, int(number)) if number else context.key


def _report(context, words):
    ask_id = models.report(context.world, words[0], context.key, words[2])
    context.labels[ask_id] = f'{words[2]} report'


def _report_large(context, words):
    body = b'x' * 16385
    ask_id = models.report(context.world, words[0], context.key, words[2], body)
    context.labels[ask_id] = f'{words[2]} report'


def _close(context, words):
    ask_id = models.close(context.world, words[0], context.key, words[2])
    context.labels[ask_id] = f'{words[2]} close'


def _find(context, words):
    context.labels[models.find(context.world, words[0], context.key)] = 'find'


def _wait(context, words):
    context.world.wait(float(words[2]))


def _crash(context, words):
    context.world.restart(words[0])


def _sleep(context, words):
    """Let time pass while no owner looks at its deadlines."""
    context.world.now_s += float(words[2])


def _truncate(context, _words):
    context.world.log.history.pop()


def _set_lifetime(context, words):
    context.world.rules = Rules(float(words[2]))


def _key_age(context, words):
    context.key = key_of(START_S - float(words[2]))


_ACTIONS = {
    'asks': _claim,
    'reports': _report,
    'reports-large': _report_large,
    'closes': _close,
    'finds': _find,
    'waits': _wait,
    'sleeps': _sleep,
    'truncates': _truncate,
    'lifetime': _set_lifetime,
    'restarts': _crash,
    'aged': _key_age,
    'runs': lambda context, words: context.world.run(words[0]),
    'lands': lambda context, words: context.world.land(words[0]),
    'replied': lambda context, words: context.world.reply(words[0]),
    'fails': lambda context, words: context.world.lose(words[0]),
    'delayed': lambda context, words: context.world.lose(words[0], later=True),
    'arrives': lambda context, words: models.arrive(context.world),
    'expires': lambda context, words: models.expire(context.world),
    'sweeps': lambda context, words: models.sweep(context.world),
}


@then('claims answers are "{expected}"')
def check_answers(context, expected):
    """Compare all answers in the order in which they were given."""
    found = '; '.join(
        _described(context, answer) for answer in context.world.answers
    )
    assert found == expected, found


@when(
    'claims of {count:d} keys and outcomes of {size:d} bytes are asked at once',
)
def ask_many(context, count, size):
    """Ask an owner for many keys, or report many outcomes, and let it work."""
    world = context.world
    body = bytes(size)
    context.batches = []
    for number in range(count):
        key = key_of(START_S, number)
        if size:
            models.report(world, 'A', key, f'x{number}', body)
        else:
            models.claim(world, 'A', key, f'x{number}')
    context.refused = [answer.found.verdict for answer in world.answers]
    steps = 100
    while steps:
        steps -= 1
        pending = world.owner('A').pending
        if isinstance(pending, effects.AppendBatch):
            context.batches.append(len(pending.records))
        world.run('A', steps=1)


@then('claims refuses {refused:d} asks and appends at most {largest:d} records')
def check_bounds(context, refused, largest):
    """Compare refusals and the size of appends with the bounds."""
    assert context.refused == ['unavailable'] * refused, context.refused
    assert 1 < max(context.batches) <= largest, context.batches


@when('claims run {count:d} interleavings of up to {length:d} actions')
def run_interleavings(context, count, length):
    """Look for an interleaving that breaks a rule."""
    plans = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(_INTERLEAVED),
            strategies.integers(0, len(OWNERS) - 1),
            strategies.integers(0, 5),
        ),
        min_size=length // 2,
        max_size=length,
    )
    context.grants = 0

    @_settings(count)
    @given_plans(plans)
    def run_plan(plan):
        interleaving = Interleaving()
        interleaving.run(plan)
        context.grants += interleaving.grants

    run_plan()


@when('claims are compared with the naive version in {count:d} runs')
def compare_naive(context, count):
    """Look for a sequence on which one owner and the naive version differ."""
    plans = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(('claim', 'claim', 'report', 'close')),
            strategies.integers(0, 2),
            strategies.integers(0, 3),
        ),
        max_size=30,
    )
    _settings(count)(given_plans(plans)(compare_without_faults))()


@then('claims granted more than {count:d} attempts')
def check_grants(context, count):
    """Check that the interleavings reach grants at all."""
    assert context.grants > count, context.grants


def _settings(count):
    return settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


def _described(context, answer):
    label = context.labels[answer.ask.ask_id]
    effect = answer.found
    if isinstance(effect, effects.Verdict):
        return f'{label} {effect.verdict}'
    if isinstance(effect, effects.Stored):
        return f'{label} {"stored" if effect.stored else "failed"}'
    record = models.stored(context.world, effect.offset)
    size = 'omitted' if record.body_omitted else len(record.outcome.body)
    return f'{label} done {record.outcome.http_status} {size}'
