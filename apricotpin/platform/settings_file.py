"""Reads the platform's settings file into HostSettings."""

import pathlib
import types
from typing import Any, Final

import yaml
from result import Err, Ok, Result

from apricotpin.const import ROLE_HOST_AGENT, ROLE_HOST_ENTRY
from apricotpin.errors import ErrorKind, Failure
from apricotpin.host_settings import HostSettings, OperatorLimits
from apricotpin.platform import names

_MS_PER_S: Final = 1000.0
_BYTES_PER_MBIT: Final = 125000
_ROLES: Final = types.MappingProxyType(
    {
        names.MACHINE_CLASS_ENTRY: ROLE_HOST_ENTRY,
        names.MACHINE_CLASS_AGENT: ROLE_HOST_AGENT,
    }
)


class FieldError(Exception):
    """Report a field that is missing or of a wrong type, by its path."""


class Fields:
    """Read typed fields of a parsed document; errors name a field's path."""

    __slots__ = ('_document', '_path')

    def __init__(self, document: Any, path: str = '') -> None:
        if not isinstance(document, dict):
            raise FieldError(f'path={path or "."} expected="a mapping"')
        self._document = document
        self._path = path

    def text(self, name: str) -> str:
        """Return a non-empty string."""
        found = self._document.get(name)
        if isinstance(found, str) and found:
            return found
        raise self._field_error(name, 'a non-empty string')

    def number(self, name: str) -> float:
        """Return a number."""
        found = self._document.get(name)
        if isinstance(found, int | float) and not isinstance(found, bool):
            return float(found)
        raise self._field_error(name, 'a number')

    def optional_number(self, name: str) -> float | None:
        """Return a number, None if the field is missing."""
        return self.number(name) if self.has(name) else None

    def flag(self, name: str) -> bool:
        """Return whether a field is true; a missing one counts as false."""
        return self._document.get(name) is True

    def has(self, name: str) -> bool:
        """Return whether a field is present."""
        return name in self._document

    def nested(self, name: str) -> 'Fields':
        """Return the fields of a nested mapping."""
        return Fields(self._document.get(name), self._join(name))

    def first_port(self, name: str) -> int:
        """Return the first of a list of ports."""
        found = self._document.get(name)
        if isinstance(found, list) and found and isinstance(found[0], int):
            return found[0]
        raise self._field_error(name, 'a list of ports')

    def mapping(self, name: str) -> dict[str, str]:
        """Return a mapping from strings to strings."""
        found = self._document.get(name)
        if isinstance(found, dict):
            return {str(key): str(entry) for key, entry in found.items()}
        raise self._field_error(name, 'a mapping')

    def _join(self, name: str) -> str:
        return f'{self._path}.{name}' if self._path else name

    def _field_error(self, name: str, expected: str) -> FieldError:
        found = self._document.get(name)
        return FieldError(
            f'path={self._join(name)} value={found!r} expected="{expected}"',
        )


def read_settings(path: pathlib.Path) -> Result[HostSettings, Failure]:
    """Read and check the settings file; the failure names file and path."""
    try:
        document = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError, UnicodeDecodeError) as error:
        return Err(_failure(path, f'error={str(error)!r}'))
    try:
        return Ok(_decode(Fields(document)))
    except FieldError as error:
        return Err(_failure(path, str(error)))


def _failure(path: pathlib.Path, detail: str) -> Failure:
    return Failure(ErrorKind.SETTINGS_INVALID, f'file={path} {detail}')


def _decode(fields: Fields) -> HostSettings:
    machine_class = fields.text('machine_class')
    role = _ROLES.get(machine_class)
    if role is None:
        raise FieldError(
            f'path=machine_class value={machine_class} expected="edge or side"',
        )
    is_entry = role == ROLE_HOST_ENTRY
    listen = fields.nested('listen')
    return HostSettings(
        host_id=fields.text('node_name'),
        role=role,
        ip=fields.text('ip'),
        data_centre=fields.text('zone'),
        region=fields.text('region'),
        region_by_data_centre=fields.mapping('zones'),
        frontend_listen=listen.text('frontend') if is_entry else '',
        ready_listen=listen.text('ready') if is_entry else '',
        internal_port=fields.first_port('internal_ports'),
        store_address=fields.nested('platform').text('address'),
        upstream_address='' if is_entry else fields.text('app'),
        service='' if is_entry else fields.text('service'),
        limits=_decode_limits(fields.nested('bounds')),
        is_first_start=fields.flag('bootstrap'),
        link_bytes_per_s=_decode_link_rate(fields),
    )


def _decode_link_rate(fields: Fields) -> float:
    """Return the rate of the host's link, 0 if the settings do not name it."""
    if not fields.has('limits'):
        return 0
    rate_mbps = fields.nested('limits').optional_number('link_mbps') or 0
    if rate_mbps < 0:
        raise FieldError(
            f'path=limits.link_mbps value={rate_mbps} expected="0 or more"',
        )
    return rate_mbps * _BYTES_PER_MBIT


def _decode_limits(fields: Fields) -> OperatorLimits:
    return OperatorLimits(
        config_apply_limit_s=fields.number('config_apply_ms') / _MS_PER_S,
        contact_limit_s=fields.number('contact_ms') / _MS_PER_S,
        drain_limit_s=fields.number('drain_ms') / _MS_PER_S,
        grace_s=fields.number('grace_s'),
        retry_allowance=fields.number('retry_allowance'),
        retry_budget_ratio=fields.number('retry_budget_ratio'),
        retry_window_s=fields.number('retry_window_s'),
        version_limit_s=fields.number('version_ms') / _MS_PER_S,
    )
