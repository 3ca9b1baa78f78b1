"""Keep the configuration in force and announce its changes."""

from loguru import logger

from apricotpin.components.configuration import const
from apricotpin.components.configuration.bundle import document_for_site
from apricotpin.components.configuration.decisions import (
    FoldState,
    fold_page,
    next_position,
)
from apricotpin.const import SERVICE_ADMIN, SERVICE_CONFIGURATION
from apricotpin.core import Kernel, Reply
from apricotpin.helpers.metrics import set_gauge
from apricotpin.messages.admin import (
    GetServiceStatus,
    Health,
    ServiceStatus,
)
from apricotpin.messages.configuration import (
    ConfigFolded,
    ConfigLogRead,
    ConfigState,
    GetConfigState,
)
from apricotpin.messages.document import ConfigChanged
from apricotpin.settings import Settings


class ConfigurationService:
    """Own the folded state of the configuration stream."""

    __slots__ = ('_announced_offset', '_kernel', '_site', '_state')

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._site = settings.site
        self._state = FoldState()
        self._announced_offset = const.NO_OFFSET

    def start(self) -> None:
        """Report not ready until a configuration is known."""
        self._report_health('no configuration is known')

    def fold_read(self, message: ConfigLogRead, reply: Reply) -> None:
        """Fold a page and answer with the position to read from next."""
        self._replace_state(fold_page(self._state, message.page))
        reply.ok(next_position(self._state, message.page, message.position))

    def give_state(self, _message: GetConfigState, reply: Reply) -> None:
        """Answer with the state that a peer may take over."""
        state = self._state
        text = state.bundle.as_text() if state.bundle else ''
        reply.ok(ConfigState(state.folded_offset, state.accepted_offset, text))

    def report(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Answer with the offsets for the status page."""
        fields = {
            'accepted_offset': self._state.accepted_offset,
            'folded_offset': self._state.folded_offset,
            'in_force_offset': self._announced_offset,
            'site': self._site,
        }
        reply.ok(ServiceStatus(SERVICE_CONFIGURATION, fields))

    def _replace_state(self, state: FoldState) -> None:
        if state.folded_offset != self._state.folded_offset:
            self._kernel.publish(
                ConfigFolded(state.accepted_offset, state.folded_offset),
            )
        self._state = state
        if state.bundle is None:
            return
        if state.accepted_offset > self._announced_offset:
            self._announce(state)

    def _announce(self, state: FoldState) -> None:
        checked = document_for_site(state.bundle, self._site)
        if checked.is_err():
            # The last document of this site stays in force.
            detail = checked.err_value.detail
            logger.bind(
                offset=state.accepted_offset,
                cause=detail,
            ).error('config_not_for_site')
            self._report_health(detail)
            return
        self._announced_offset = state.accepted_offset
        logger.bind(offset=state.accepted_offset).info('config_in_force')
        set_gauge(
            self._kernel,
            'config_accepted_offset',
            state.accepted_offset,
        )
        self._report_health('')
        self._kernel.publish(
            ConfigChanged(state.accepted_offset, checked.ok_value),
        )

    def _report_health(self, reason: str) -> None:
        health = Health(SERVICE_CONFIGURATION, not reason, reason)
        self._kernel.send(SERVICE_ADMIN, health)
