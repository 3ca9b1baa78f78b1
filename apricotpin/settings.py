"""Settings of a process, read from JSON and checked before it starts."""

import pathlib
import types
from typing import Any, Final

from result import Err, Ok, Result

from apricotpin.const import ROLE_AGENT, ROLE_ENTRY
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.schemas import make_check, read_json

_check: Final = make_check('settings', ErrorKind.SETTINGS_INVALID)

# Settings that only one role requires.
_ROLE_REQUIREMENTS: Final = types.MappingProxyType(
    {
        ROLE_ENTRY: ('frontend_listen',),
        ROLE_AGENT: ('service', 'upstream_address'),
    }
)


class Settings:
    """Hold the checked settings of a process."""

    __slots__ = (
        'admin_listen',
        'advertise',
        'data_centre',
        'engine_url',
        'frontend_listen',
        'grace_s',
        'host_id',
        'host_list_url',
        'log_level',
        'log_retention_s',
        'log_url',
        'origin_urls',
        'peer_listen',
        'region',
        'role',
        'seed_peers',
        'service',
        'site',
        'upstream_address',
        'weights_memory_bytes',
    )

    def __init__(self, checked: dict[str, Any]) -> None:
        self.host_id: str = checked['host_id']
        self.role: str = checked['role']
        self.site: str = checked['site']
        self.region: str = checked['region']
        self.data_centre: str = checked['data_centre']
        self.peer_listen = Address.from_text(checked['peer']['listen'])
        self.advertise: str = checked['peer'].get(
            'advertise',
            checked['peer']['listen'],
        )
        self.admin_listen = Address.from_text(checked['admin_listen'])
        self.frontend_listen: str = checked.get('frontend_listen', '')
        self.log_url: str = checked['log_url']
        self.log_retention_s: float = checked['log_retention_s']
        self.host_list_url: str = checked['host_list_url']
        self.origin_urls: list[str] = checked['origin_urls']
        self.engine_url: str = checked.get('engine_url', '')
        self.upstream_address: str = checked.get('upstream_address', '')
        self.service: str = checked.get('service', '')
        self.seed_peers: list[str] = checked['seed_peers']
        self.grace_s: float = checked['grace_s']
        self.weights_memory_bytes: int = checked['weights_memory_bytes']
        self.log_level: str = checked['log_level']

    @classmethod
    def from_config(cls, document: Any) -> Result['Settings', Failure]:
        """Check a parsed document and build the settings from it."""
        return _check(document).and_then(_check_role).map(cls)

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Result['Settings', Failure]:
        """Read and check a settings file; the failure names the file."""
        document = read_json(path, ErrorKind.SETTINGS_INVALID)
        if document.is_err():
            return document
        return cls.from_config(document.ok_value).map_err(
            lambda failure: Failure(
                failure.kind,
                f'file={path} {failure.detail}',
            ),
        )


def _check_role(checked: dict[str, Any]) -> Result[dict[str, Any], Failure]:
    role = checked['role']
    missing = [name for name in _ROLE_REQUIREMENTS[role] if name not in checked]
    if not missing:
        return Ok(checked)
    detail = f'path={missing[0]} value=null expected="a value for {role}"'
    return Err(Failure(ErrorKind.SETTINGS_INVALID, detail))
