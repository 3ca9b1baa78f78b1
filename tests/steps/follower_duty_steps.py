"""Steps for which hosts read the operator's records."""

from behave import given, then, when

from apricotpin.components.follower import duty
from apricotpin.messages.feeds import EntryHost

_NOW_S = 100.0
_PLACES = ('a', 'b', 'c')
_KNOWN = 7
_COUNT = 5


def _hosts(count):
    return [
        EntryHost(f'{place}{number}', f'{place}{number}:1', place)
        for place in _PLACES
        for number in range(count)
    ]


def _duty_of(own, hosts):
    others = [host for host in hosts if host is not own]
    found = duty.Duty()
    found.hosts = (own, *others)
    duty.note_known(found, _KNOWN)
    return found


@given(
    'follower runs on every one of {count:d} hosts in each of 3 data centres'
)
def on_every(context, count):
    hosts = _hosts(count)
    context.duties = [_duty_of(own, hosts) for own in hosts]


@then(
    'follower reads the store itself on {readers:d} hosts of each data centre'
)
def read_on(context, readers):
    for place in _PLACES:
        reading = [
            one.hosts[0].host_id
            for one in context.duties
            if one.hosts[0].data_centre == place
            and duty.reads_itself(one, _NOW_S)
        ]
        assert len(reading) == readers, reading


@given('follower runs on a host that knows nobody')
def knows_nobody(context):
    context.duty = duty.Duty()


@given('follower runs on a host that {role} and {state}')
def runs_on(context, role, state):
    hosts = _hosts(_COUNT)
    duties = [_duty_of(own, hosts) for own in hosts]
    context.duty = next(
        one for one in duties if duty.is_reader(one) == (role == 'reads')
    )
    context.duty.failing = state == 'was turned away'
    if state == 'is up to date':
        duty.note_known(context.duty, _KNOWN + 1)


@when(
    'follower hears of a newer desired state from a host {place} '
    'after {behind:g} s'
)
def hears_newer(context, place, behind):
    own, *others = context.duty.hosts
    duty.note_heard(context.duty, _KNOWN + 1, _NOW_S)
    near = place == 'near'
    context.address = next(
        host.peer_address
        for host in others
        if (host.data_centre == own.data_centre) == near
    )
    context.now_s = _NOW_S + behind


@then('follower {fate} it from there')
def fetches_it(context, fate):
    wanted = duty.is_wanted_from(context.duty, context.address, context.now_s)
    assert wanted == (fate == 'fetches')


@then('follower {reads} the store itself')
def reads_store(context, reads):
    now_s = getattr(context, 'now_s', _NOW_S)
    assert duty.reads_itself(context.duty, now_s) == (reads == 'reads')


@when('follower fetched a desired state {pause:g} s ago')
def fetched_before(context, pause):
    context.duty.asked_s = _NOW_S - pause


@then('follower waits for {left:g} s before it fetches again')
def waits_for(context, left):
    found = duty.pause_left_s(context.duty, _NOW_S)
    assert round(found, 3) == left, found
