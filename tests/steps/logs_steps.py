"""Steps for the writer of log lines."""

import os
import re
import time

from behave import then, when
from gevent import sleep, spawn
from gevent.os import make_nonblocking, nb_read

from apricotpin.helpers.logs import LineWriter
from apricotpin.hosting import LOG_FLUSH_TIMEOUT_S

# 200 bytes a line: more than 64 KiB, which a pipe holds, in 1,900 lines.
_LINE = 'event=request_ended id={0:04d} ' + 'x' * 168 + '\n'
_SETTLE_S = 0.05


def _read_all(descriptor, received):
    make_nonblocking(descriptor)
    while part := nb_read(descriptor, 65536):
        received.append(part)


@when('a process logs {lines:d} lines to a reader that {reads}, and ends')
def log_lines(context, lines, reads):
    readable, writable = os.pipe()
    context.received = []
    writer = LineWriter(writable, 'level=warning event=lines_dropped')
    writing = spawn(writer.run)
    if reads == 'reads at once':
        spawn(_read_all, readable, context.received)
    sleep(0)
    began_s = time.monotonic()
    for number in range(lines):
        writer.put(_LINE.format(number))
    writer.flush(LOG_FLUSH_TIMEOUT_S)
    context.took_s = time.monotonic() - began_s
    writing.kill()
    os.close(writable)
    if reads != 'reads at once':
        _read_all(readable, context.received)
    sleep(_SETTLE_S)


@then(
    'the reader has received {received} lines and a count of {dropped:d} '
    'dropped lines'
)
def check_received(context, received, dropped):
    text = b''.join(context.received).decode()
    numbers = [int(one) for one in re.findall(r' id=(\d+) x+\n', text)]
    assert numbers == list(range(len(numbers))), numbers[:9]
    counts = re.findall(r'event=lines_dropped count=(\d+)\n', text)
    expected_counts = [str(dropped)] if dropped else []
    assert counts == expected_counts, counts
    if received != 'part':
        assert len(numbers) == int(received), len(numbers)


@then('logging and the end took at most {seconds:g} s')
def check_time(context, seconds):
    assert context.took_s <= seconds, context.took_s
