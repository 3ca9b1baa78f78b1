"""Serve requests that are refused at once, and close their connections.

    python3 -m tests.refused_callers 2000

It is a process of its own, since the event loop aborts the process if the wait
for a connection outlives it.
"""

from script import patched  # noqa: F401, I001 (must come first)

import contextlib
import sys
from typing import Final

from gevent import joinall, socket, spawn

from apricotpin.components.gateway.application import RequestHandler
from apricotpin.components.gateway.callers import RawRequest
from apricotpin.errors import ErrorKind
from apricotpin.messages.upstreams import SelectUpstream
from apricotpin.platform.call_codec import make_codec
from tests.steps.gateway_disconnect_steps import World

_REQUESTS_PER_WAVE: Final = 50
_HEADERS: Final = (('Host', 'a.test'), ('X-Attempt-Id', 'r1'))


class _NoBody:
    def read(self, _limit):
        return b''


def _refuse(_message, reply):
    reply.err(ErrorKind.OVERLOADED, 'all workers are full')


def _serve_refused(kernel):
    caller, accepted = socket.socketpair()
    raw = RawRequest('POST', '/x/', list(_HEADERS), _NoBody(), 99, accepted)
    with contextlib.closing(
        RequestHandler(kernel, make_codec(), raw)
    ) as handler:
        caller.close()
        list(handler.run(lambda _status, _headers: None))
    # The listener for callers closes the descriptor in this way.
    accepted._sock.close()


def main():
    """Serve as many requests as the argument says; end with 0."""
    world = World('idempotent')
    world.handlers[SelectUpstream] = _refuse
    for _ in range(int(sys.argv[1]) // _REQUESTS_PER_WAVE):
        requests = [
            spawn(_serve_refused, world.kernel)
            for _ in range(_REQUESTS_PER_WAVE)
        ]
        joinall(requests)
    sys.exit(0)


if __name__ == '__main__':
    main()
