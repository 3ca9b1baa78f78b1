"""Steps for exchanges whose answers do not end."""

import time
import tracemalloc

from behave import given, then, when
from gevent import sleep, spawn

from apricotpin.helpers.exchange import Exchange, connect
from tests.endless_sender import EndlessSender
from tests.upstream_fake import open_port

_LIMIT_BYTES = 262144
_BYTES_PER_MB = 1048576
_TICK_S = 0.01
# Far below the time that the bytes go on for.
_LONGEST_PAUSE_S = 0.2
_SLOW_S = 0.1
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS = {
    'header': (_OK + b'X-Long: ', b'x'),
    'headers': (_OK, b'X-Name: text\r\n'),
    'reason': (b'HTTP/1.1 200 ', b'x'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'upgrade answers': (b'', b'HTTP/1.1 101 Switching\r\n\r\n'),
    'garbage': (b'', b'no answer'),
    'body': (_OK + b'Content-Length: 99999999999\r\n\r\n', b'x'),
    'chunks': (_CHUNKED, b'4\r\nbody\r\n'),
    'unframed body': (_OK + b'\r\n', b'x'),
    'zeros of a length': (_CHUNKED, b'0'),
    'chunk extension': (_CHUNKED + b'4;', b'x'),
    'trailers': (_CHUNKED + b'0\r\n', b'X-Name: text\r\n'),
    'trailer': (_CHUNKED + b'0\r\nX-Long: ', b'x'),
}


class Pulse:
    """Own a task that notes the longest time for which it could not run.

    It counts processor time, so that a busy machine makes no difference.
    """

    def __init__(self):
        self.longest_s = 0
        self._task = spawn(self._beat)
        sleep(0)

    def stop(self):
        """End the task."""
        self._task.kill()

    def _beat(self):
        while True:
            before_s = time.process_time()
            sleep(_TICK_S)
            pause_s = time.process_time() - before_s
            self.longest_s = max(self.longest_s, pause_s)


def start_sender(context, part, pause_s=0):
    """Start a sender of an endless part of an answer."""
    context.sender = EndlessSender(open_port(), *ENDLESS[part], pause_s)
    context.cleanups = [context.sender.close]


@given('exchange with a sender of endless {part}')
def fast_sender(context, part):
    start_sender(context, part)


@given('exchange with a slow sender of endless {part}')
def slow_sender(context, part):
    start_sender(context, part, _SLOW_S)


@when(
    'exchange reads an answer with a silence of {silent_s:g} s '
    'and a deadline of {deadline_s:g} s'
)
def read_answer(context, silent_s, deadline_s):
    by_s = time.monotonic() + deadline_s
    connection = connect(context.sender.address, by_s)
    exchange = Exchange(connection, 'GET', silent_s, by_s)
    context.pulse = Pulse()
    began_s = time.monotonic()
    tracemalloc.start()
    failed = exchange.send(b'GET / HTTP/1.1\r\n\r\n') or exchange.read_head()
    context.verdict = failed or exchange.read_all(_LIMIT_BYTES).err_value
    context.held_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    context.took_s = time.monotonic() - began_s
    sleep(_TICK_S)
    context.pulse.stop()
    exchange.close()


@then('exchange ends as {verdict} within {longest_s:g} s')
def ends_as(context, verdict, longest_s):
    assert context.verdict.value == verdict, context.verdict
    assert context.took_s <= longest_s, context.took_s


@then('exchange held at most {most:d} MB for it')
def held(context, most):
    assert context.held_bytes <= most * _BYTES_PER_MB, context.held_bytes


@then('exchange let other tasks run')
def others_ran(context):
    assert context.pulse.longest_s < _LONGEST_PAUSE_S, context.pulse.longest_s


@then('exchange closed the connection')
def closed(context):
    context.sender.wait_closed()
