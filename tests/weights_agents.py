"""Agents in one process with real sockets, with stand-ins beside them."""

import pathlib
import tempfile

import gevent
from loguru import logger

from apricotpin.components import admin, engine, metrics, peer_api, weights
from apricotpin.const import SERVICE_METRICS
from apricotpin.core import Kernel
from apricotpin.helpers.hashing import digest_hex
from apricotpin.messages.document import ConfigChanged, Document
from apricotpin.messages.hosts import Host, HostsChanged
from apricotpin.messages.metrics import RenderMetrics
from apricotpin.settings import Settings
from script.cluster import STANDINS, send_json
from script.processes import ProcessGroup, responds_ok, wait_until
from script.standins.contents import Weights, encode_manifest, manifest_of

NETWORK_PREFIX = '127.36'
ORIGIN = f'{NETWORK_PREFIX}.0.1:24003'
SIZE_BYTES = 65536
CHUNK_BYTES = 8192
READY_TIMEOUT_S = 30
SILENCED_COMPONENTS = ('engine', 'weights')
COMPONENTS = (metrics, admin, peer_api, engine, weights)


def weights_of(version):
    """Return the stand-in weights of a version."""
    return Weights('model', version, SIZE_BYTES, CHUNK_BYTES)


def settings_of(index, engine_url=True, memory_bytes=1000000):
    """Return the settings of an agent."""
    ip = f'{NETWORK_PREFIX}.1.{index + 1}'
    document = {
        'host_id': f'host-{index}',
        'role': 'agent',
        'site': 'test',
        'region': 'region',
        'data_centre': 'centre',
        'peer': {'listen': f'{ip}:24100'},
        'admin_listen': f'{ip}:24102',
        'log_url': f'http://{ORIGIN}',
        'host_list_url': f'http://{ORIGIN}',
        'origin_urls': [f'http://{ORIGIN}'],
        'service': 'model',
        'upstream_address': f'{ip}:24103',
        'weights_memory_bytes': memory_bytes,
        'grace_s': 1,
    }
    if engine_url:
        document['engine_url'] = f'http://{ip}:24103'
    return Settings.from_config(document).unwrap()


class AgentGroup:
    """Own the stand-in processes and the agents' kernels of a scenario."""

    def __init__(self, count, serves):
        for module in SILENCED_COMPONENTS:
            logger.disable(f'apricotpin.components.{module}')
        self.count = count
        self.kernels = []
        self._directory = tempfile.TemporaryDirectory()
        self.group = ProcessGroup(pathlib.Path(self._directory.name))
        versions = [weights_of(name).as_text() for name in ('v1', 'v2')]
        self._start('origin', ORIGIN, *versions)
        options = []
        if serves != 'nothing':
            options = [f'--serves={weights_of(serves).as_text()}']
        for index in range(count):
            address = f'{NETWORK_PREFIX}.1.{index + 1}:24103'
            self._start(f'engine-{index}', address, *options)
        wait_until(
            self._standins_respond, READY_TIMEOUT_S, 'the stand-ins respond'
        )

    def apply_versions(self, versions, memory_bytes):
        """Start the agents and make each version their target, one by one."""
        for index in range(self.count):
            settings = settings_of(index, memory_bytes=memory_bytes)
            kernel = Kernel(settings.host_id)
            self.kernels.append(kernel)
            for component in COMPONENTS:
                component.setup(kernel, settings).unwrap()
        for offset, version in enumerate(versions):
            document = self._document(version)
            for kernel in self.kernels:
                kernel.publish(HostsChanged(self._hosts()))
                kernel.publish(ConfigChanged(offset + 1, document))
            gevent.sleep(0)

    def statuses(self):
        """Return the status of each engine."""
        return [
            send_json(
                'GET', f'http://{NETWORK_PREFIX}.1.{index + 1}:24103/status'
            )
            for index in range(self.count)
        ]

    def metrics(self):
        """Return the metric lines of all agents."""
        pages = [
            kernel.call(SERVICE_METRICS, RenderMetrics()).unwrap().decode()
            for kernel in self.kernels
        ]
        return [line for page in pages for line in page.splitlines()]

    def stop(self):
        """Stop the agents and the stand-ins and remove their files."""
        for kernel in self.kernels:
            kernel.stop()
        self.group.stop()
        self._directory.cleanup()
        for module in SILENCED_COMPONENTS:
            logger.enable(f'apricotpin.components.{module}')

    def _start(self, name, address, *options):
        kind = name.partition('-')[0]
        arguments = [STANDINS, kind, f'--listen={address}', *options]
        self.group.start(name, arguments)

    def _standins_respond(self):
        self.group.check_running()
        addresses = [
            f'{NETWORK_PREFIX}.1.{index + 1}:24103'
            for index in range(self.count)
        ]
        addresses.append(ORIGIN)
        return all(
            responds_ok(f'http://{address}/faults') for address in addresses
        )

    def _document(self, version):
        manifest = encode_manifest(manifest_of(weights_of(version)))
        target = {
            'version': version,
            'manifest_digest': digest_hex(manifest),
        }
        document = {
            'fleet': 'test',
            'services': {'model': {'kind': 'model', 'model': 'model'}},
            'models': {'model': target},
        }
        return Document.from_config(document).unwrap()

    def _hosts(self):
        return [
            Host(
                f'host-{index}',
                role='agent',
                region='region',
                peer_address=f'{NETWORK_PREFIX}.1.{index + 1}:24100',
                service_name='model',
                state='live',
            )
            for index in range(self.count)
        ]
