"""Bring the local engine to its target version and publish what it serves."""

import random
import time
import types
from typing import Any, Final

from loguru import logger

from apricotpin.components.engine import const
from apricotpin.components.engine.decisions import (
    begin_next_order,
    begin_read_if_due,
    engine_state,
    record_order_outcome,
    record_read_outcome,
    set_target_version,
)
from apricotpin.components.engine.engine_client import (
    activate_version,
    load_version,
    read_report,
)
from apricotpin.components.engine.gate import may_switch
from apricotpin.components.engine.state import Engine, TargetVersion
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
    """Own the engine's target version, its orders and its last report."""

    __slots__ = (
        '_published_fields',
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
        self._published_fields: dict[str, Any] = {}

    def handle_config(self, message: ConfigChanged, reply: Reply) -> None:
        """Update the fraction of hosts that may switch at the same time."""
        self._switch_fraction = message.document.weights.switch_fraction
        reply.ok()

    def handle_hosts(self, message: HostsChanged, reply: Reply) -> None:
        """Update the host list with the versions that other hosts confirmed."""
        self._hosts = message.hosts
        reply.ok()
        self._advance()

    def set_target(self, message: SetTargetVersion, reply: Reply) -> None:
        """Set the target version; request its chunks if the engine lacks it."""
        target = TargetVersion(message.manifest, message.fencing_number)
        set_target_version(self._engine, target)
        reply.ok()
        request_chunks_if_lacking(self._kernel, self._engine)
        self._advance()

    def set_target_with_chunks(
        self, message: VersionComplete, reply: Reply
    ) -> None:
        """Set the target version together with its chunks."""
        target = TargetVersion(
            message.manifest,
            message.fencing_number,
            message.chunks,
        )
        set_target_version(self._engine, target)
        reply.ok()
        self._advance()

    def handle_tick(self, _message: EngineTick, reply: Reply) -> None:
        """Start the status read and the order that are due."""
        reply.ok()
        self._advance()

    def handle_read_done(self, message: EngineReadDone, reply: Reply) -> None:
        """Record the outcome of a status read and take the next step."""
        reply.ok()
        if message.outcome.is_err():
            count_retry(self._kernel, ErrorKind.ENGINE_UNAVAILABLE.value)
        label = record_read_outcome(
            self._engine,
            message.serial,
            message.outcome,
            time.monotonic(),
        )
        if label is not None:
            self._record_order(label, '')
        request_chunks_if_lacking(self._kernel, self._engine)
        self._advance()

    def handle_step_done(self, message: EngineStepDone, reply: Reply) -> None:
        """Record the outcome of an order and take the next step."""
        reply.ok()
        label = record_order_outcome(self._engine, message, time.monotonic())
        failed = message.outcome.is_err()
        detail = message.outcome.err_value.detail if failed else ''
        self._record_order(label, f'{message.step} {detail}')
        self._advance()

    def report_status(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Reply with the fields of the status page."""
        engine = self._engine
        state = engine_state(engine)
        target = engine.target
        fields = {
            'model': state.model,
            'version': state.version,
            'switching': state.switching,
            'in_flight': state.in_flight,
            'wanted_version': target.manifest.version if target else '',
            'fencing_number': target.fencing_number if target else 0,
            'confirmed': engine.is_confirmed,
            'loaded': engine.orders.is_loaded,
            'outranked': engine.follows_newer_order,
            'order_failures': engine.orders.failures,
            'failed_reads': engine.reads.failure_count,
        }
        reply.ok(ServiceStatus(SERVICE_ENGINE, fields))

    def _advance(self) -> None:
        now_s = time.monotonic()
        if begin_read_if_due(self._engine, now_s):
            serial = self._engine.reads.serial
            self._kernel.spawn(self._run_read, serial)
        step = begin_next_order(self._engine, self._gate_is_open, now_s)
        if step is not None:
            self._kernel.spawn(self._run_order, step, self._engine.target)
        self._publish_state()

    def _gate_is_open(self) -> bool:
        manifest = self._engine.target.manifest
        own_host = Host(
            self._settings.host_id,
            service_name=self._settings.service,
            state=HOST_LIVE,
            model=manifest.model,
            version=manifest.version,
        )
        return may_switch(self._hosts, own_host, self._switch_fraction)

    def _run_read(self, serial: int) -> None:
        outcome = read_report(self._settings.engine_url)
        self._kernel.send(SERVICE_ENGINE, EngineReadDone(serial, outcome))

    def _run_order(self, step: str, target: TargetVersion) -> None:
        outcome = _ORDER_FUNCTIONS[step](self._settings.engine_url, target)
        done = EngineStepDone(step, target.manifest.digest, outcome)
        self._kernel.send(SERVICE_ENGINE, done)

    def _record_order(self, label: str, detail: str) -> None:
        count(self._kernel, 'engine_orders_total', label)
        bound_logger = logger.bind(
            outcome=label,
            version=self._engine.target.manifest.version,
            fencing_number=self._engine.target.fencing_number,
            detail=detail.strip(),
        )
        if label in {const.ORDER_DONE, const.ORDER_CONFIRMED}:
            bound_logger.info('engine_order')
            return
        bound_logger.warning('engine_order')
        count_retry(self._kernel, f'engine_order_{label}')
        if label == const.ORDER_REFUSED:
            count_refusal(self._kernel, ErrorKind.ENGINE_REFUSED)

    def _publish_state(self) -> None:
        state = engine_state(self._engine)
        fields = {name: getattr(state, name) for name in state.__slots__}
        if fields == self._published_fields:
            return
        self._published_fields = fields
        self._kernel.publish(state)
        self._report_health(state)

    def _report_health(self, state: EngineState) -> None:
        reason = '' if state.version else 'the engine serves no version'
        if self._engine.reads.report is None:
            reason = ErrorKind.ENGINE_UNAVAILABLE.value
        health = Health(SERVICE_ENGINE, not reason, reason)
        self._kernel.send(SERVICE_ADMIN, health)


def request_chunks_if_lacking(kernel: Kernel, engine: Engine) -> None:
    """Request the chunks of the target from the weights service if needed."""
    if engine.lacks_chunks:
        manifest = engine.target.manifest
        needed = ChunksNeeded(manifest.model, manifest.version)
        kernel.send(SERVICE_WEIGHTS, needed)
