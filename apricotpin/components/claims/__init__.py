"""At-most-once execution of non-idempotent requests, by claims in the log."""

import random
import secrets

from result import Ok, Result

from apricotpin.components.claims import const
from apricotpin.components.claims.exchange import Exchange
from apricotpin.components.claims.internal import (
    Answered,
    Drain,
    Forwarded,
    LogReplied,
    ReportFigures,
    Tick,
    TryAgain,
)
from apricotpin.components.claims.owner import Owner
from apricotpin.components.claims.ownership import Ownership
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
    kernel.send_every(SERVICE_CLAIMS, ReportFigures(), const.FIGURES_PERIOD_S)
    return Ok(None)


def _build(kernel: Kernel, settings: Settings) -> ClaimsService:
    pause_s = jittered_backoff(
        const.FIRST_PAUSE_S, const.LONGEST_PAUSE_S, random.random
    )
    ownership = Ownership(settings.host_id)
    owner = Owner(
        kernel,
        LogClient(settings.log_url, const.LOG_TIMEOUT_S),
        f'{settings.host_id}.{secrets.token_hex(const.OWNER_TOKEN_BYTES)}',
        pause_s,
    )
    return ClaimsService(
        kernel,
        ownership,
        owner,
        Exchange(
            kernel,
            ownership,
            owner,
            pause_s,
            settings.peer_listen.ip,
        ),
        lambda: secrets.token_hex(const.ATTEMPT_ID_BYTES),
    )


def _handlers(service: ClaimsService) -> Handlers:
    return {
        RequestClaim: service.request_claim,
        ReportOutcome: service.report_outcome,
        LookUpOutcome: service.look_up_outcome,
        Claim: service.answer_peer,
        RecordOutcome: service.answer_peer,
        FindOutcome: service.answer_peer,
        LogReplied: service.note_log_reply,
        Forwarded: service.note_forwarded,
        Answered: service.note_answered,
        TryAgain: service.try_again,
        Tick: service.tick,
        ReportFigures: service.report_figures,
        HostsChanged: service.change_hosts,
        ConfigChanged: service.change_config,
        GetServiceStatus: service.report_status,
        Drain: service.drain,
    }
