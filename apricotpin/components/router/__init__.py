"""Admission of requests and selection of their upstreams."""

import random

from result import Ok, Result

from apricotpin.components.router.const import (
    BACKOFF_FIRST_S,
    BACKOFF_MAX_S,
    ROUTER_MAILBOX_SIZE,
)
from apricotpin.components.router.service import RouterService
from apricotpin.const import SERVICE_ADMIN, SERVICE_ROUTER
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.messages.admin import GetServiceStatus, Health
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import HostsChanged
from apricotpin.messages.routing import (
    Admit,
    AttemptEnded,
    SelectUpstreamHost,
    ReleaseTicket,
)
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the router service."""
    generator = random.Random()  # noqa: S311
    service = RouterService(
        kernel,
        settings.data_centre,
        generator.randrange,
        jittered_backoff(
            BACKOFF_FIRST_S,
            BACKOFF_MAX_S,
            generator.random,
        ),
    )
    kernel.register(
        SERVICE_ROUTER,
        {
            ConfigChanged: service.update_config,
            HostsChanged: service.update_hosts,
            Admit: service.admit,
            SelectUpstreamHost: service.select_upstream,
            AttemptEnded: service.end_attempt,
            ReleaseTicket: service.release_ticket,
            GetServiceStatus: service.report_status,
        },
        mailbox_size=ROUTER_MAILBOX_SIZE,
    )
    not_ready = Health(SERVICE_ROUTER, False, 'no configuration is known yet')
    kernel.send(SERVICE_ADMIN, not_ready)
    return Ok(None)
