"""Drive the local engine to the wanted version and report what it serves."""

import random
import time
import types
from typing import Any, Final

from loguru import logger

from apricotpin.components.engine import const
from apricotpin.components.engine.decisions import (
    expect_version,
    next_order,
    read_due,
    settle_order,
    settle_read,
    state_of,
)
from apricotpin.components.engine.engine_client import (
    activate_version,
    load_version,
    read_report,
)
from apricotpin.components.engine.gate import may_switch
from apricotpin.components.engine.state import Engine, Wanted
from apricotpin.const import (
    HOST_LIVE,
    SERVICE_ADMIN,
    SERVICE_ENGINE,
    SERVICE_WEIGHTS,
)
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from apricotpin.helpers.metrics import count, count_refusal, count_retry
from apricotpin.messages.admin import (
    GetServiceStatus,
    Health,
    ServiceStatus,
)
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import Host, HostsChanged
from apricotpin.messages.transfers import (
    ChunksNeeded,
    EngineReadDone,
    EngineStepDone,
    EngineTick,
    SetTargetVersion,
)
from apricotpin.messages.weights import EngineState, VersionComplete
from apricotpin.settings import Settings

_ORDER_FUNCTIONS: Final = types.MappingProxyType(
    {
        const.STEP_LOAD: load_version,
        const.STEP_ACTIVATE: activate_version,
    }
)


class EngineService:
    """Own the order in force and what the engine last reported."""

    __slots__ = (
        '_announced',
        '_engine',
        '_hosts',
        '_kernel',
        '_settings',
        '_switch_fraction',
    )

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._engine = Engine(settings.grace_s, random.random)
        self._hosts: list[Host] = []
        self._switch_fraction = 1.0
        self._announced: dict[str, Any] = {}

    def note_config(self, message: ConfigChanged, reply: Reply) -> None:
        """Take the fraction of hosts that switch at a time."""
        self._switch_fraction = message.document.weights.switch_fraction
        reply.ok()

    def note_hosts(self, message: HostsChanged, reply: Reply) -> None:
        """Take the versions that other hosts have confirmed."""
        self._hosts = message.hosts
        reply.ok()
        self._advance()

    def expect(self, message: SetTargetVersion, reply: Reply) -> None:
        """Take the version that the engine shall serve."""
        wanted = Wanted(message.manifest, message.fencing_number)
        expect_version(self._engine, wanted)
        reply.ok()
        ask_for_chunks(self._kernel, self._engine)
        self._advance()

    def take_version(self, message: VersionComplete, reply: Reply) -> None:
        """Take the chunks of a version."""
        wanted = Wanted(
            message.manifest,
            message.fencing_number,
            message.chunks,
        )
        expect_version(self._engine, wanted)
        reply.ok()
        self._advance()

    def tick(self, _message: EngineTick, reply: Reply) -> None:
        """Ask the engine and give orders that are due."""
        reply.ok()
        self._advance()

    def note_read(self, message: EngineReadDone, reply: Reply) -> None:
        """Take what the engine serves."""
        reply.ok()
        if message.outcome.is_err():
            count_retry(self._kernel, ErrorKind.ENGINE_UNAVAILABLE.value)
        label = settle_read(
            self._engine,
            message.serial,
            message.outcome,
            time.monotonic(),
        )
        if label is not None:
            self._note_order(label, '')
        ask_for_chunks(self._kernel, self._engine)
        self._advance()

    def note_step(self, message: EngineStepDone, reply: Reply) -> None:
        """Take the outcome of an order."""
        reply.ok()
        label = settle_order(self._engine, message, time.monotonic())
        failed = message.outcome.is_err()
        detail = message.outcome.err_value.detail if failed else ''
        self._note_order(label, f'{message.step} {detail}')
        self._advance()

    def report(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Answer with the state for the status page."""
        engine = self._engine
        state = state_of(engine)
        wanted = engine.wanted
        fields = {
            'model': state.model,
            'version': state.version,
            'switching': state.switching,
            'in_flight': state.in_flight,
            'wanted_version': wanted.manifest.version if wanted else '',
            'fencing_number': wanted.fencing_number if wanted else 0,
            'confirmed': engine.confirmed,
            'loaded': engine.orders.loaded,
            'outranked': engine.outranked,
            'order_failures': engine.orders.failures,
            'failed_reads': engine.reads.failed,
        }
        reply.ok(ServiceStatus(SERVICE_ENGINE, fields))

    def _advance(self) -> None:
        now_s = time.monotonic()
        if read_due(self._engine, now_s):
            serial = self._engine.reads.serial
            self._kernel.spawn(self._read, serial)
        step = next_order(self._engine, self._gate_is_open, now_s)
        if step is not None:
            self._kernel.spawn(self._order, step, self._engine.wanted)
        self._announce()

    def _gate_is_open(self) -> bool:
        manifest = self._engine.wanted.manifest
        own_host = Host(
            self._settings.host_id,
            service_name=self._settings.service,
            state=HOST_LIVE,
            model=manifest.model,
            version=manifest.version,
        )
        return may_switch(self._hosts, own_host, self._switch_fraction)

    def _read(self, serial: int) -> None:
        outcome = read_report(self._settings.engine_url)
        self._kernel.send(SERVICE_ENGINE, EngineReadDone(serial, outcome))

    def _order(self, step: str, wanted: Wanted) -> None:
        outcome = _ORDER_FUNCTIONS[step](self._settings.engine_url, wanted)
        done = EngineStepDone(step, wanted.manifest.digest, outcome)
        self._kernel.send(SERVICE_ENGINE, done)

    def _note_order(self, label: str, detail: str) -> None:
        count(self._kernel, 'engine_orders_total', label)
        bound = logger.bind(
            outcome=label,
            version=self._engine.wanted.manifest.version,
            fencing_number=self._engine.wanted.fencing_number,
            detail=detail.strip(),
        )
        if label in {const.ORDER_DONE, const.ORDER_CONFIRMED}:
            bound.info('engine_order')
            return
        bound.warning('engine_order')
        count_retry(self._kernel, f'engine_order_{label}')
        if label == const.ORDER_REFUSED:
            count_refusal(self._kernel, ErrorKind.ENGINE_REFUSED)

    def _announce(self) -> None:
        state = state_of(self._engine)
        fields = {name: getattr(state, name) for name in state.__slots__}
        if fields == self._announced:
            return
        self._announced = fields
        self._kernel.publish(state)
        self._report_health(state)

    def _report_health(self, state: EngineState) -> None:
        reason = '' if state.version else 'the engine serves no version'
        if self._engine.reads.report is None:
            reason = ErrorKind.ENGINE_UNAVAILABLE.value
        health = Health(SERVICE_ENGINE, not reason, reason)
        self._kernel.send(SERVICE_ADMIN, health)


def ask_for_chunks(kernel: Kernel, engine: Engine) -> None:
    """Tell the weights service which version the engine lacks, if any."""
    if engine.lacks_chunks:
        manifest = engine.wanted.manifest
        needed = ChunksNeeded(manifest.model, manifest.version)
        kernel.send(SERVICE_WEIGHTS, needed)
