"""Run non-idempotent requests at most once, by claims in the log."""

import random
import secrets

from result import Ok, Result

from apricotpin.components.claims import const
from apricotpin.components.claims.internal_messages import (
    Drain,
    ForwardDone,
    LogTaskDone,
    OwnerReplied,
    RetryRequest,
    Tick,
    UpdateGauges,
)
from apricotpin.components.claims.owned_partitions import OwnedPartitions
from apricotpin.components.claims.ownership import Ownership
from apricotpin.components.claims.request_coordinator import RequestCoordinator
from apricotpin.components.claims.service import ClaimsService
from apricotpin.const import SERVICE_CLAIMS
from apricotpin.core import Handlers, Kernel
from apricotpin.errors import Failure
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.helpers.log_client import LogClient
from apricotpin.messages.admin import GetServiceStatus
from apricotpin.messages.claims import (
    Claim,
    FindOutcome,
    LookUpOutcome,
    RecordOutcome,
    ReportOutcome,
    RequestClaim,
)
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import HostsChanged
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the claims service."""
    service = _build(kernel, settings)
    kernel.register(
        SERVICE_CLAIMS,
        _handlers(service),
        const.MAILBOX_SIZE,
        on_stop=lambda: kernel.call(
            SERVICE_CLAIMS, Drain(), const.DRAIN_TIMEOUT_S
        ),
    )
    kernel.send_every(SERVICE_CLAIMS, Tick(), const.TICK_S)
    kernel.send_every(SERVICE_CLAIMS, UpdateGauges(), const.GAUGE_PERIOD_S)
    return Ok(None)


def _build(kernel: Kernel, settings: Settings) -> ClaimsService:
    backoff_s = jittered_backoff(
        const.BACKOFF_FIRST_S, const.BACKOFF_MAX_S, random.random
    )
    ownership = Ownership(settings.host_id)
    owned_partitions = OwnedPartitions(
        kernel,
        LogClient(settings.log_url, const.LOG_TIMEOUT_S),
        f'{settings.host_id}.{secrets.token_hex(const.OWNER_TOKEN_BYTES)}',
        backoff_s,
    )
    return ClaimsService(
        kernel,
        ownership,
        owned_partitions,
        RequestCoordinator(
            kernel,
            ownership,
            owned_partitions,
            backoff_s,
            settings.peer_listen.ip,
        ),
        lambda: secrets.token_hex(const.ATTEMPT_ID_BYTES),
    )


def _handlers(service: ClaimsService) -> Handlers:
    return {
        RequestClaim: service.request_claim,
        ReportOutcome: service.report_outcome,
        LookUpOutcome: service.look_up_outcome,
        Claim: service.handle_peer_request,
        RecordOutcome: service.handle_peer_request,
        FindOutcome: service.handle_peer_request,
        LogTaskDone: service.handle_log_task_done,
        ForwardDone: service.handle_forward_done,
        OwnerReplied: service.handle_owner_replied,
        RetryRequest: service.retry_request,
        Tick: service.handle_tick,
        UpdateGauges: service.update_gauges,
        HostsChanged: service.update_hosts,
        ConfigChanged: service.update_config,
        GetServiceStatus: service.report_status,
        Drain: service.drain,
    }
