"""Steps for reads of the log service that begin before a silence."""

import json
import time

import gevent
from behave import given, then, when
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from apricotpin.components.configuration.tasks import follow_log
from apricotpin.const import SERVICE_CONFIGURATION, SERVICE_METRICS
from apricotpin.core import Kernel
from apricotpin.messages.configuration import (
    ConfigLogRead,
    ConfigLogReadFailed,
    GetNextConfigRead,
)
from apricotpin.messages.metrics import Count

# Longer than any scenario.
_SILENT_S = 60


class _Log:
    """Respond to reads with one record once it is back from a silence."""

    def __init__(self):
        self.is_back = False
        self.requests = 0
        self._server = WSGIServer(('127.0.0.1', 0), self._serve, log=None)
        self._server.start()
        self.url = f'http://127.0.0.1:{self._server.server_port}'

    def close(self):
        """Stop the log."""
        self._server.stop(timeout=0)

    def _serve(self, _environ, start_response):
        self.requests += 1
        if not self.is_back:
            gevent.sleep(_SILENT_S)
        start_response('200 OK', [('Content-Type', 'application/json')])
        record = {'offset': 0, 'appended_ms': 0, 'value': {}}
        page = {'records': [record], 'earliest_offset': 0, 'next_offset': 1}
        return [json.dumps(page).encode()]


@given("configuration's log, which becomes silent during a long poll")
def start_log(context):
    context.log = _Log()
    context.kernel = Kernel('entry')
    context.cleanups = [context.log.close, context.kernel.stop]
    context.was_read = Event()

    def handle_read(message, reply):
        reply.ok()
        if message.page.records:
            context.was_read.set()

    context.kernel.register(
        SERVICE_CONFIGURATION,
        {
            GetNextConfigRead: lambda _message, reply: reply.ok(0),
            ConfigLogRead: handle_read,
            ConfigLogReadFailed: lambda _message, reply: reply.ok(),
        },
    )
    context.kernel.register(
        SERVICE_METRICS, {Count: lambda _message, reply: reply.ok()}
    )
    context.kernel.spawn(follow_log, context.kernel, context.log.url)
    with gevent.Timeout(1):
        while not context.log.requests:
            gevent.sleep(0.01)


@when("configuration's log responds again after {silent:g} s")
def respond_again(context, silent):
    gevent.sleep(silent)
    context.log.is_back = True
    context.back_s = time.monotonic()


@then('configuration has read a record of that moment within {limit:g} s')
def has_read(context, limit):
    context.was_read.wait(limit)
    took_s = time.monotonic() - context.back_s
    assert context.was_read.is_set(), took_s
