"""Steps for the delays of the paths between data centres."""

from behave import given, then, when

from apricotpin.components.presence import paths
from apricotpin.helpers.wire import decode_datagram, encode_datagram
from apricotpin.messages.fleet import EntryHello, PathDelay

_NOW_S = 10000.0
_HELLO_PERIOD_S = 0.9
_LOCAL = 'here'
_REMOTE = 'there'
_MS_PER_S = 1000


@given(
    'presence receives hellos of {count:d} hosts whose clocks are {offset:g} s '
    'ahead'
)
def receives_hellos(context, count, offset):
    context.hosts = {}
    context.names = [f'host-{number}' for number in range(count)]
    context.offset_s = offset
    context.reported = []


@given(
    "presence's hellos report a delay of {outbound:g} s from the local data "
    'centre'
)
def report_outbound(context, outbound):
    context.reported = [PathDelay(_LOCAL, round(outbound * _MS_PER_S))]


def _receive_hello(context, name, sent_s, transit_s):
    hello = EntryHello(
        name,
        '10.0.0.1:1',
        _REMOTE,
        [],
        sent_ms=round((sent_s + context.offset_s) * _MS_PER_S),
        paths=context.reported,
    )
    # Encoded and decoded, so that a field lost on the wire is noticed.
    received = decode_datagram(encode_datagram(hello))
    paths.record_hello(context.hosts, received, sent_s + transit_s)


def _receive_hellos(context, names, first_s, last_s, transit_s):
    sent_s = first_s
    while sent_s + transit_s <= last_s:
        for name in names:
            _receive_hello(context, name, sent_s, transit_s)
        sent_s += _HELLO_PERIOD_S


@when(
    "presence's hellos take {before:g} s for {first:g} s and then "
    '{after:g} s for {second:g} s'
)
def take_longer(context, before, first, after, second):
    context.now_s = _NOW_S + second
    _receive_hellos(context, context.names, _NOW_S - first, _NOW_S, before)
    _receive_hellos(context, context.names, _NOW_S, context.now_s, after)


@when(
    "presence's hellos take {before:g} s for {first:g} s and then none "
    'arrives for {second:g} s'
)
def fall_silent(context, before, first, second):
    context.now_s = _NOW_S + second
    _receive_hellos(context, context.names, _NOW_S - first, _NOW_S, before)


@when("presence's hellos of {slow:d} hosts take {takes:g} s after {first:g} s")
def some_late(context, slow, takes, first):
    context.now_s = _NOW_S + 2
    _receive_hellos(context, context.names, _NOW_S - first, _NOW_S, 0.001)
    late, punctual = context.names[:slow], context.names[slow:]
    _receive_hellos(context, late, _NOW_S, context.now_s, takes)
    _receive_hellos(context, punctual, _NOW_S, context.now_s, 0.001)


@then('presence measures an inbound delay of {delay:g} s')
def measures_inbound(context, delay):
    found = paths.delays_from(context.hosts, context.now_s)
    assert round(found[_REMOTE], 2) == delay, found


@then('presence measures a delay of {delay:g} s for both directions')
def measures_both(context, delay):
    found = paths.round_trip_delays(context.hosts, _LOCAL, context.now_s)
    assert round(found[_REMOTE], 2) == delay, found


@then('presence measures no inbound delay')
def measures_none(context):
    found = paths.delays_from(context.hosts, context.now_s)
    assert not found, found
