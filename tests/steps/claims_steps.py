"""Steps for the state machine of a claims partition."""

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as given_plans

from apricotpin.components.claims import effects
from apricotpin.components.claims.state import PartitionLimits
from tests.components.claims import simulation as commands
from tests.components.claims.interleaving import (
    OWNERS,
    Interleaving,
    compare_without_faults,
)
from tests.components.claims.simulation import (
    START_S,
    PartitionSimulation,
    key_of,
)

# Actions that lead to grants are drawn more often than faults.
_INTERLEAVED = (
    *('ask', 'ask', 'ask', 'ask_again', 'receive', 'receive', 'receive'),
    *('work', 'work', 'work', 'land', 'land', 'reply', 'reply'),
    *('lose', 'delay', 'arrive', 'drop', 'give_up', 'report', 'report'),
    *('find', 'wait', 'restart', 'age'),
)


@given('owners of one claims partition over a simulated log')
def make_simulation(context):
    """Create a simulation without owners."""
    context.simulation = PartitionSimulation()
    context.key = key_of(START_S)
    context.labels = {}


@when('the claims owners go through "{script}"')
def run_script(context, script):
    """Run events separated by semicolons."""
    for line in script.split(';'):
        words = line.split()
        _ACTIONS[words[1]](context, words)


def _claim(context, words):
    name, _verb, attempt_id, *digest = words
    digest_name = digest[0] if digest else 'd'
    key = _key_for(context, attempt_id)
    request_id = commands.claim(
        context.simulation, name, key, attempt_id, digest_name
    )
    context.labels[request_id] = attempt_id


def _key_for(context, attempt_id):
    """Return the key of an attempt; x/2 is an attempt with key number 2."""
    _name, _slash, number = attempt_id.partition('/')
    return key_of(START_S, int(number)) if number else context.key


def _report(context, words):
    request_id = commands.report(
        context.simulation, words[0], context.key, words[2]
    )
    context.labels[request_id] = f'{words[2]} report'


def _report_large(context, words):
    body = b'x' * 16385
    request_id = commands.report(
        context.simulation, words[0], context.key, words[2], body
    )
    context.labels[request_id] = f'{words[2]} report'


def _close(context, words):
    request_id = commands.close(
        context.simulation, words[0], context.key, words[2]
    )
    context.labels[request_id] = f'{words[2]} close'


def _find(context, words):
    context.labels[
        commands.look_up(context.simulation, words[0], context.key)
    ] = 'find'


def _wait(context, words):
    context.simulation.advance_time(float(words[2]))


def _crash(context, words):
    context.simulation.restart(words[0])


def _sleep(context, words):
    """Advance the time without a check of deadlines."""
    context.simulation.now_s += float(words[2])


def _truncate(context, _words):
    context.simulation.log.history.pop()


def _set_lifetime(context, words):
    context.simulation.limits = PartitionLimits(float(words[2]))


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
    'runs': lambda context, words: context.simulation.run(words[0]),
    'lands': lambda context, words: context.simulation.complete_pending(
        words[0]
    ),
    'replied': lambda context, words: context.simulation.deliver_reply(
        words[0]
    ),
    'fails': lambda context, words: context.simulation.fail_pending(words[0]),
    'delayed': lambda context, words: context.simulation.fail_pending(
        words[0], arrives_later=True
    ),
    'arrives': lambda context, words: commands.append_delayed(
        context.simulation
    ),
    'expires': lambda context, words: commands.expire_log(context.simulation),
    'sweeps': lambda context, words: commands.drop_expired(context.simulation),
}


@then('the claims replies are "{expected}"')
def check_replies(context, expected):
    """Compare all replies, in the order in which they were sent."""
    found = '; '.join(
        _described(context, reply) for reply in context.simulation.replies
    )
    assert found == expected, found


@when(
    'a claims owner receives {count:d} claims, or outcomes of {size:d} bytes, '
    'at once',
)
def send_many(context, count, size):
    """Claim many keys, or report many outcomes if size is not 0."""
    simulation = context.simulation
    body = bytes(size)
    context.batches = []
    for number in range(count):
        key = key_of(START_S, number)
        if size:
            commands.report(simulation, 'A', key, f'x{number}', body)
        else:
            commands.claim(simulation, 'A', key, f'x{number}')
    context.refused = [reply.effect.verdict for reply in simulation.replies]
    steps = 100
    while steps:
        steps -= 1
        pending = simulation.owner('A').pending
        if isinstance(pending, effects.AppendBatch):
            context.batches.append(len(pending.records))
        simulation.run('A', steps=1)


@then(
    'the claims owner refuses {refused:d} commands and appends at most '
    '{largest:d} records at once'
)
def check_limits(context, refused, largest):
    """Compare refusals and the size of appends with the limits."""
    assert context.refused == ['unavailable'] * refused, context.refused
    assert 1 < max(context.batches) <= largest, context.batches


@when(
    'claims owners run through {count:d} random interleavings of up to '
    '{length:d} actions'
)
def run_interleavings(context, count, length):
    """Search for an interleaving that violates a guarantee."""
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


@when('a claims owner is compared with the naive version in {count:d} runs')
def compare_naive(context, count):
    """Search for a sequence on which the owner and the naive version differ."""
    plans = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(('claim', 'claim', 'report', 'close')),
            strategies.integers(0, 2),
            strategies.integers(0, 3),
        ),
        max_size=30,
    )
    _settings(count)(given_plans(plans)(compare_without_faults))()


@then('the claims owners granted more than {count:d} attempts')
def check_grants(context, count):
    """Check that the interleavings contain grants."""
    assert context.grants > count, context.grants


def _settings(count):
    return settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


def _described(context, reply):
    label = context.labels[reply.command.request_id]
    effect = reply.effect
    if isinstance(effect, effects.ReplyVerdict):
        return f'{label} {effect.verdict}'
    if isinstance(effect, effects.ReplyStored):
        return f'{label} {"stored" if effect.stored else "failed"}'
    record = commands.stored_record(context.simulation, effect.offset)
    size = 'omitted' if record.body_omitted else len(record.outcome.body)
    return f'{label} done {record.outcome.http_status} {size}'
