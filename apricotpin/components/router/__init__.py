"""Admission of requests and selection of their upstreams."""

import random

from result import Ok, Result

from apricotpin.components.router.const import (
    ROUTER_MAILBOX_SIZE,
    SUSPICION_FIRST_S,
    SUSPICION_LONGEST_S,
)
from apricotpin.components.router.service import RouterService
from apricotpin.const import SERVICE_ADMIN, SERVICE_ROUTER
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.helpers.backoff import jittered_pause
from apricotpin.messages.admin import GetServiceStatus, Health
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import HostsChanged
from apricotpin.messages.routing import (
    Admit,
    AttemptEnded,
    ChooseUpstream,
    EndRequest,
)
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the router service."""
    generator = random.Random()  # noqa: S311
    service = RouterService(
        kernel,
        settings.data_centre,
        generator.randrange,
        jittered_pause(
            SUSPICION_FIRST_S,
            SUSPICION_LONGEST_S,
            generator.random,
        ),
    )
    kernel.register(
        SERVICE_ROUTER,
        {
            ConfigChanged: service.note_config,
            HostsChanged: service.note_hosts,
            Admit: service.admit,
            ChooseUpstream: service.choose,
            AttemptEnded: service.end_attempt,
            EndRequest: service.end_request,
            GetServiceStatus: service.report,
        },
        mailbox_size=ROUTER_MAILBOX_SIZE,
    )
    not_ready = Health(SERVICE_ROUTER, False, 'no configuration is known yet')
    kernel.send(SERVICE_ADMIN, not_ready)
    return Ok(None)
