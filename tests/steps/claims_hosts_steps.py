"""Steps for claims between entry hosts over the stand-in log."""

import uuid

import gevent
from behave import given, then, when

from apricotpin.messages.claims import (
    Claim,
    FindOutcome,
    LookUpOutcome,
    Outcome,
    RecordOutcome,
    ReportOutcome,
    RequestClaim,
)
from script.cluster import send_json
from tests.components.claims import hosts


@given('claims at three entry hosts over the stand-in log')
def start_hosts(context):
    """Start the log and the hosts; h1 owns the partition of the key."""
    kernel, server = hosts.start_log()
    context.cleanups = [kernel.stop, server.close]
    context.hosts = {}
    for name in hosts.NAMES:
        _start_host(context, name)
    context.key = hosts.key_created(0)
    context.answers = []


@when('claims hosts do "{script}"')
def run_hosts(context, script):
    """Run orders separated by semicolons."""
    for line in script.split(';'):
        words = line.split()
        answer = _ORDERS[words[1]](context, words)
        if answer is not None:
            context.answers.append(answer)


@then('claims hosts were told "{expected}"')
def check_told(context, expected):
    """Compare the answers in order."""
    found = '; '.join(context.answers)
    assert found == expected, found


def _start_host(context, name):
    context.hosts[name] = hosts.HostModel(name)
    context.cleanups.append(context.hosts[name].kernel.stop)
    gevent.sleep(0)


def _claim(context, words):
    name, _order, *digest = words
    claim = Claim('karatsu', 'orders', context.key, ''.join(digest), name)
    return _described(context.hosts[name].call(RequestClaim(claim)))


def _claim_patiently(context, words):
    """Repeat the request with the same key while it is refused."""
    answers = []

    def decided():
        answers.append(_claim(context, words))
        return answers[-1] != 'unavailable'

    hosts.wait_for(decided)
    return answers[-1]


def _claim_together(context, _words):
    jobs = [
        gevent.spawn(_claim, context, [name, 'claims']) for name in hosts.NAMES
    ]
    gevent.joinall(jobs, timeout=20, raise_error=True)
    return '; '.join(sorted(job.value for job in jobs))


def _report(context, words):
    outcome = Outcome(200, 'text/plain', b'booked')
    record = RecordOutcome('karatsu', 'orders', context.key, False, outcome)
    return _described(context.hosts[words[0]].call(ReportOutcome(record)))


def _close(context, words):
    record = RecordOutcome('karatsu', 'orders', context.key, True)
    return _described(context.hosts[words[0]].call(ReportOutcome(record)))


def _find(context, words):
    find = FindOutcome('karatsu', 'orders', context.key)
    return _described(context.hosts[words[0]].call(LookUpOutcome(find)))


def _stop(context, words):
    context.hosts[words[0]].kernel.stop()


def _restart(context, words):
    _stop(context, words)
    _start_host(context, words[0])


def _list(context, words):
    """Replace the host list of one host, or of all that still run."""
    names = hosts.NAMES if words[0] == 'all' else words[:1]
    listed = [hosts.host_record(name) for name in words[2:]]
    for name in names:
        context.hosts[name].set_hosts(listed)


def _leave_to(context, words):
    """Let a host take another for the owner, which does not agree."""
    leaving = hosts.host_record(words[0])
    leaving.state = 'leaving'
    listed = [leaving, hosts.host_record(words[2])]
    context.hosts[words[0]].set_hosts(listed)


def _lose_answers(context, words):
    """Put a relay before the owner that loses its first answers."""
    relay = hosts.start_relay(int(words[2]))
    context.cleanups.append(relay.close)
    listed = [hosts.host_record(name) for name in hosts.NAMES]
    listed[0].peer_address = f'{hosts.test_ip()}:{hosts.RELAY_PORT}'
    context.hosts[words[0]].set_hosts(listed)


def _recorded(context, words):
    host = context.hosts[words[0]]
    hosts.wait_for(lambda: host.unrecorded() == 0)


def _switch_log(context, words):
    faults = {'outage': words[2] == 'out', 'lose_replies': int(words[3])}
    send_json(
        'POST',
        f'http://{hosts.test_ip()}:{hosts.LOG_PORT}/faults',
        faults,
    )


def _new_key(context, words):
    forms = {
        'random': str(uuid.uuid4()),
        'text': 'order-1',
        'upper': context.key.upper(),
    }
    form = forms.get(words[2])
    context.key = form or hosts.key_created(float(words[2]))


_ORDERS = {
    'claims': _claim,
    'claims-patiently': _claim_patiently,
    'claim-together': _claim_together,
    'reports': _report,
    'closes': _close,
    'finds': _find,
    'stops': _stop,
    'restarts': _restart,
    'lists': _list,
    'leaves-to': _leave_to,
    'loses-answers': _lose_answers,
    'recorded': _recorded,
    'log': _switch_log,
    'key': _new_key,
}


def _described(asked):
    if asked.is_err():
        return asked.err_value.kind.value
    answer = asked.ok_value
    if hasattr(answer, 'stored'):
        return 'stored' if answer.stored else 'failed'
    if answer.outcome is None:
        return answer.verdict
    return f'{answer.verdict} {answer.outcome.body.decode()}'
