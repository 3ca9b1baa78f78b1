"""Steps for how long the paths between data centres take."""

from behave import given, then, when

from apricotpin.components.presence import paths
from apricotpin.helpers.wire import decode_datagram, encode_datagram
from apricotpin.messages.fleet import EntryHello, PathDelay

_NOW_S = 10000.0
_PERIOD_S = 0.9
_HERE = 'here'
_THERE = 'there'
_MS_PER_S = 1000


@given(
    'presence greets from {count:d} hosts whose clocks are {apart:g} s apart'
)
def greets_from(context, count, apart):
    context.hosts = {}
    context.names = [f'host-{number}' for number in range(count)]
    context.apart_s = apart
    context.told = []


@given("presence's hosts there measured {there:g} s of what came from here")
def measured_there(context, there):
    context.told = [PathDelay(_HERE, round(there * _MS_PER_S))]


def _greet(context, name, sent_s, takes_s):
    hello = EntryHello(
        name,
        '10.0.0.1:1',
        _THERE,
        [],
        sent_ms=round((sent_s + context.apart_s) * _MS_PER_S),
        paths=context.told,
    )
    # The encoding is part of what is measured.
    heard = decode_datagram(encode_datagram(hello))
    paths.note_greeting(context.hosts, heard, sent_s + takes_s)


def _greet_for(context, names, first_s, last_s, takes_s):
    sent_s = first_s
    while sent_s + takes_s <= last_s:
        for name in names:
            _greet(context, name, sent_s, takes_s)
        sent_s += _PERIOD_S


@when(
    "presence's greetings take {before:g} s for {first:g} s and then "
    '{after:g} s for {second:g} s'
)
def take_longer(context, before, first, after, second):
    context.now_s = _NOW_S + second
    _greet_for(context, context.names, _NOW_S - first, _NOW_S, before)
    _greet_for(context, context.names, _NOW_S, context.now_s, after)


@when(
    "presence's greetings take {before:g} s for {first:g} s and then nothing "
    'comes for {second:g} s'
)
def fall_silent(context, before, first, second):
    context.now_s = _NOW_S + second
    _greet_for(context, context.names, _NOW_S - first, _NOW_S, before)


@when(
    "presence's greetings of {late:d} hosts take {takes:g} s after {first:g} s"
)
def some_late(context, late, takes, first):
    context.now_s = _NOW_S + 2
    _greet_for(context, context.names, _NOW_S - first, _NOW_S, 0.001)
    slow, usual = context.names[:late], context.names[late:]
    _greet_for(context, slow, _NOW_S, context.now_s, takes)
    _greet_for(context, usual, _NOW_S, context.now_s, 0.001)


@then('presence measures a delay of {delay:g} s from there')
def measures_from(context, delay):
    found = paths.delays_from(context.hosts, context.now_s)
    assert round(found[_THERE], 2) == delay, found


@then('presence measures a delay of {delay:g} s there and back')
def measures_both(context, delay):
    found = paths.round_trips(context.hosts, _HERE, context.now_s)
    assert round(found[_THERE], 2) == delay, found


@then('presence measures no delay from there')
def measures_none(context):
    found = paths.delays_from(context.hosts, context.now_s)
    assert not found, found
