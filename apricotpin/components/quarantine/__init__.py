"""Hold back requests whose prompts have a part that crashes workers."""

from result import Ok, Result

from apricotpin.components.quarantine.const import (
    MAILBOX_SIZE,
    REFRESH_PERIOD_S,
)
from apricotpin.components.quarantine.service import (
    ConfirmBreaks,
    QuarantineService,
    RefreshEvidence,
)
from apricotpin.const import SERVICE_QUARANTINE
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages import prompts


def setup(kernel: Kernel, _settings: HostSettings) -> Result[None, Failure]:
    """Register the quarantine service."""
    service = QuarantineService(kernel)
    kernel.register(
        SERVICE_QUARANTINE,
        {
            prompts.CheckPrompt: service.check_prompt,
            prompts.PromptServed: service.record_served,
            prompts.AttemptBroken: service.record_broken,
            prompts.CrashEvidenceReceived: service.receive_evidence,
            ConfirmBreaks: service.confirm_breaks,
            RefreshEvidence: service.refresh,
        },
        mailbox_size=MAILBOX_SIZE,
    )
    kernel.send_every(SERVICE_QUARANTINE, RefreshEvidence(), REFRESH_PERIOD_S)
    return Ok(None)
