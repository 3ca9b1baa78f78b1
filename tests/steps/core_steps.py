"""Steps for the micro-kernel."""

import gevent
from behave import given, then, when
from loguru import logger

from apricotpin.core import Kernel


class Ping:
    """Carry a number to a service."""

    __slots__ = ('number',)

    def __init__(self, number):
        self.number = number


class Unhandled:
    """Represent a message that no service handles."""

    __slots__ = ()


def _double(message, reply):
    reply.ok(message.number * 2)


def _never_reply(_message, _reply):
    """Never reply."""


def _fail(_message, _reply):
    raise RuntimeError('handler failed')


_HANDLERS = {'doubles': _double, 'never replies': _never_reply, 'fails': _fail}


@given('a kernel with service "{name}" that {behaviour}')
def register_service(context, name, behaviour):
    """Start a kernel with one service whose mailbox holds two messages."""
    context.kernel = Kernel('test')
    context.cleanups = [context.kernel.stop]
    handlers = {Ping: _HANDLERS[behaviour]}
    context.kernel.register(name, handlers, mailbox_size=2)


@when('"{name}" is called with {message}')
def call_service(context, name, message):
    """Call a service and store the result."""
    sent = Unhandled() if message == 'unhandled' else Ping(int(message))
    context.outcome = context.kernel.call(name, sent, timeout_s=0.05)


@when('{count:d} messages are sent to "{name}" at once')
def send_messages(context, count, name):
    """Send all messages before the service can handle one."""
    context.sent = [
        context.kernel.send(name, Ping(number)) for number in range(count)
    ]
    gevent.sleep(0)


@then('the call returns {expected}')
def check_outcome(context, expected):
    """Compare the reply's value or the error kind."""
    outcome = context.outcome
    found = (
        str(outcome.ok_value)
        if outcome.is_ok()
        else outcome.err_value.kind.value
    )
    assert found == expected, found


@then('{count:d} sends are refused as {kind}')
def check_refusals(context, count, kind):
    """Compare the number and the kind of the refused sends."""
    refused = [
        sent.err_value.kind.value for sent in context.sent if sent.is_err()
    ]
    assert refused == [kind] * count, refused


@when('{count:d} messages are published at once')
def publish_messages(context, count):
    """Publish all messages before the service can handle one."""
    context.logged = []
    sink = logger.add(context.logged.append, format='{message} {extra}')
    context.cleanups.append(lambda: logger.remove(sink))
    for number in range(count):
        context.kernel.publish(Ping(number))


@then('the log names {count:d} messages that "{name}" did not receive')
def check_logged_drops(context, count, name):
    """Compare the number of log lines on dropped messages of a service."""
    dropped = [line for line in context.logged if 'message_dropped' in line]
    assert len(dropped) == count, context.logged
    assert all(f"'service': '{name}'" in line for line in dropped), dropped
