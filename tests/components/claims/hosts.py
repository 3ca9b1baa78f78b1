"""Entry hosts in the test process, with claims over the stand-in log."""

import os
import time
import uuid

from gevent import sleep, socket
from gevent.server import StreamServer

from apricotpin.components import claims, metrics, peer_api
from apricotpin.components.claims.keys import parse_key
from apricotpin.components.claims.limits import ClaimLimits
from apricotpin.components.claims.ownership import Ownership
from apricotpin.const import SERVICE_CLAIMS
from apricotpin.core import Kernel
from apricotpin.helpers.addresses import Address
from apricotpin.messages.admin import GetServiceStatus
from apricotpin.messages.document import ConfigChanged, Document
from apricotpin.messages.hosts import Host, HostsChanged
from apricotpin.settings import Settings
from script.standins import log
from script.standins.web import open_server

NAMES = ('h1', 'h2', 'h3')
OWNER = 'h1'
PORT = 30000
LOG_PORT = 30100
RELAY_PORT = 30200
_RELAY_BYTES = 65536
_RANDOM_BITS = 74
_DOCUMENT = {
    'fleet': 'karatsu',
    'services': {'orders': {'kind': 'plain'}},
    'claims': {'key_lifetime_s': 600, 'claim_timeout_s': 3},
}


def test_ip():
    """Return a loopback address derived from the process id.

    Test runs at the same time use different addresses.
    """
    pid = os.getpid() % 65024
    return f'127.31.{pid // 254}.{pid % 254 + 1}'


def create_key(age_s):
    """Return a new key of an age whose partition belongs to OWNER."""
    limits = ClaimLimits.from_config(Document.from_config(_DOCUMENT).ok_value)
    ownership = Ownership(OWNER)
    ownership.update_hosts([host_record(name) for name in NAMES])
    while True:
        text = _uuid7(time.time() - age_s)
        name = parse_key('karatsu', 'orders', text).name
        if ownership.is_owner(limits.stream_of(name)):
            return text


def host_record(name, port=PORT):
    """Return the record of a live entry host."""
    address = f'{test_ip()}:{port + NAMES.index(name)}'
    return Host(name, role='entry', state='live', peer_address=address)


class InProcessHost:
    """Run one entry host in this process."""

    __slots__ = ('kernel', 'name')

    def __init__(self, name):
        self.name = name
        self.kernel = Kernel(name)
        settings = Settings.from_config(_settings(name)).ok_value
        for component in (metrics, peer_api, claims):
            component.setup(self.kernel, settings).unwrap()
        document = Document.from_config(_DOCUMENT).ok_value
        self.kernel.publish(ConfigChanged(1, document))
        self.set_hosts([host_record(other) for other in NAMES])

    def set_hosts(self, hosts):
        """Replace the host list of this host."""
        self.kernel.publish(HostsChanged(hosts))

    def call(self, message):
        """Call the claims service."""
        return self.kernel.call(SERVICE_CLAIMS, message, timeout_s=10)

    def unrecorded(self):
        """Return the number of records that are not in the log yet."""
        status = self.call(GetServiceStatus()).unwrap()
        return status.fields['outcomes_unrecorded']


def start_log():
    """Start the stand-in log; return its kernel and server."""
    kernel = Kernel('log')
    listen = f'{test_ip()}:{LOG_PORT}'
    return kernel, open_server(listen, log.set_up(kernel, 1000, 3600))


def start_relay(lost_reply_count):
    """Start a relay to OWNER that drops the first replies."""
    remaining = [lost_reply_count]

    def relay(connection, _address):
        target = Address.from_text(host_record(OWNER).peer_address)
        with socket.create_connection(target.as_tuple()) as peer:
            peer.sendall(connection.recv(_RELAY_BYTES))
            reply = peer.recv(_RELAY_BYTES)
            if remaining[0] > 0:
                remaining[0] -= 1
            else:
                connection.sendall(reply)
        connection.close()

    server = StreamServer((test_ip(), RELAY_PORT), relay)
    server.start()
    return server


def wait_for(condition):
    """Wait until a condition holds; raise TimeoutError after 20 s."""
    tries = 200
    while not condition():
        tries -= 1
        if not tries:
            raise TimeoutError('the condition did not hold within 20 s')
        sleep(0.1)


def _settings(name):
    ip = test_ip()
    number = NAMES.index(name)
    return {
        'host_id': name,
        'role': 'entry',
        'site': 'karatsu',
        'region': 'genkai',
        'data_centre': 'genkai-1',
        'peer': {'listen': f'{ip}:{PORT + number}'},
        'admin_listen': f'{ip}:{PORT + 10 + number}',
        'frontend_listen': f'{ip}:{PORT + 20 + number}',
        'log_url': f'http://{ip}:{LOG_PORT}',
        'host_list_url': f'http://{ip}:1',
    }


def _uuid7(created_s):
    random_bits = uuid.uuid4().int & ((1 << _RANDOM_BITS) - 1)
    number = int(created_s * 1000) << 80 | 7 << 76 | 2 << 62
    rand_a, rand_b = random_bits >> 62, random_bits & ((1 << 62) - 1)
    return str(uuid.UUID(int=number | rand_a << 64 | rand_b))
