"""Process that responds to each request with bytes that do not end.

It is a separate process so that bytes are always ready to be read.
"""

import json
import os
import socket
import subprocess
import sys
import threading
import time

import gevent

_HEAD_END = b'\r\n\r\n'
_BLOCK_BYTES = 65536
_CLOSED_S = 5
# The process ends itself after this time if its test could not end it.
_LIFETIME_S = 30


class EndlessSender:
    """Own the process, which sends the beginning and then the filler forever.

    With a pause, it sends one filler after each pause.
    """

    def __init__(self, listener, beginning, filler, pause_s=0):
        self.address = '127.0.0.1:{0}'.format(listener.getsockname()[1])
        settings = {
            'listener': listener.fileno(),
            'beginning': beginning.decode('latin-1'),
            'filler': filler.decode('latin-1'),
            'pause_s': pause_s,
        }
        self._process = subprocess.Popen(
            [sys.executable, __file__, json.dumps(settings)],
            pass_fds=[listener.fileno()],
            stdout=subprocess.PIPE,
        )
        listener.close()
        # Wait until the process has started: connections made before that
        # would wait in the listener.
        self._process.stdout.readline()

    def wait_closed(self):
        """Wait until a connection closes and return the bytes sent on it."""
        with gevent.Timeout(_CLOSED_S):
            return int(self._process.stdout.readline())

    def close(self):
        """End the process."""
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


def _serve(connection, settings):
    received = b''
    while _HEAD_END not in received:
        part = connection.recv(_BLOCK_BYTES)
        if not part:
            return
        received += part
    sent_bytes = _send_endlessly(connection, settings)
    _report(sent_bytes)


def _report(line):
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _send_endlessly(connection, settings):
    filler = settings['filler'].encode('latin-1')
    pause_s = settings['pause_s']
    if not pause_s:
        filler *= max(1, _BLOCK_BYTES // len(filler))
    sent_bytes = 0
    try:
        connection.sendall(settings['beginning'].encode('latin-1'))
        while True:
            time.sleep(pause_s)
            connection.sendall(filler)
            sent_bytes += len(filler)
    except OSError:
        return sent_bytes


def main():
    """Serve each connection of the inherited listener in its own thread."""
    settings = json.loads(sys.argv[1])
    ending = threading.Timer(_LIFETIME_S, os._exit, (1,))
    ending.daemon = True
    ending.start()
    listener = socket.socket(fileno=settings['listener'])
    listener.setblocking(True)
    _report('listening')
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=_serve, args=(connection, settings)).start()


if __name__ == '__main__':
    main()
