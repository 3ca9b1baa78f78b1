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


@given('three entry hosts with claims over the stand-in log')
def start_hosts(context):
    """Start the log and three hosts; h1 owns the partition of the key."""
    kernel, server = hosts.start_log()
    context.cleanups = [kernel.stop, server.close]
    context.hosts = {}
    for name in hosts.NAMES:
        _start_host(context, name)
    context.key = hosts.create_key(0)
    context.results = []


@when('the claims hosts run "{script}"')
def run_hosts(context, script):
    """Run steps separated by semicolons and collect their results."""
    for line in script.split(';'):
        words = line.split()
        result = _STEPS[words[1]](context, words)
        if result is not None:
            context.results.append(result)


@then('the claims hosts get the replies "{expected}"')
def check_replies(context, expected):
    """Compare the results in order."""
    found = '; '.join(context.results)
    assert found == expected, found


def _start_host(context, name):
    context.hosts[name] = hosts.InProcessHost(name)
    context.cleanups.append(context.hosts[name].kernel.stop)
    gevent.sleep(0)


def _claim(context, words):
    name, _step, *digest = words
    claim = Claim('karatsu', 'orders', context.key, ''.join(digest), name)
    return _described(context.hosts[name].call(RequestClaim(claim)))


def _claim_patiently(context, words):
    """Repeat the claim with the same key while it is unavailable."""
    results = []

    def decided():
        results.append(_claim(context, words))
        return results[-1] != 'unavailable'

    hosts.wait_for(decided)
    return results[-1]


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
    """Replace the host list of one host, or of all hosts."""
    names = hosts.NAMES if words[0] == 'all' else words[:1]
    listed = [hosts.host_record(name) for name in words[2:]]
    for name in names:
        context.hosts[name].set_hosts(listed)


def _leave_to(context, words):
    """Give a host a list by which another host is the owner.

    By its own list, that host is not the owner.
    """
    leaving = hosts.host_record(words[0])
    leaving.state = 'leaving'
    listed = [leaving, hosts.host_record(words[2])]
    context.hosts[words[0]].set_hosts(listed)


def _lose_replies(context, words):
    """Route calls to the owner through a relay that drops first replies."""
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
    context.key = form or hosts.create_key(float(words[2]))


_STEPS = {
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
    'loses-replies': _lose_replies,
    'recorded': _recorded,
    'log': _switch_log,
    'key': _new_key,
}


def _described(call_result):
    if call_result.is_err():
        return call_result.err_value.kind.value
    result = call_result.ok_value
    if hasattr(result, 'stored'):
        return 'stored' if result.stored else 'failed'
    if result.outcome is None:
        return result.verdict
    return f'{result.verdict} {result.outcome.body.decode()}'
