"""Reads configuration files and names the file that has an error."""

import json
import pathlib
import re
from collections.abc import Iterable
from typing import Any, Final

from result import Err, Ok, Result

from apricotpin.components.configuration.bundle import Bundle
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.schemas import read_json

_SITE_PATTERN: Final = re.compile('site=([^ ]+) ')
_PATH_PATTERN: Final = re.compile('path=([^ ]+) ')


class BundleFiles:
    """Name the files that make up a configuration."""

    __slots__ = ('base', 'overlays')

    def __init__(
        self,
        base: pathlib.Path,
        overlays: dict[str, pathlib.Path],
    ) -> None:
        self.base = base
        self.overlays = overlays

    @classmethod
    def from_options(
        cls,
        base: pathlib.Path,
        overlay_options: Iterable[str],
    ) -> Result['BundleFiles', Failure]:
        """Parse options of the form site=file."""
        overlays = {}
        for option in overlay_options:
            site, separator, file_name = option.partition('=')
            if not separator or not site or not file_name:
                detail = f'value={json.dumps(option)} expected="site=file"'
                return Err(Failure(ErrorKind.CONFIG_INVALID, detail))
            if site in overlays:
                detail = f'value={site} expected="one overlay for each site"'
                return Err(Failure(ErrorKind.CONFIG_INVALID, detail))
            overlays[site] = pathlib.Path(file_name)
        return Ok(cls(base, overlays))


def load_bundle(files: BundleFiles) -> Result[Bundle, Failure]:
    """Read and check the files; a failure names file, path and value."""
    base = read_json(files.base, ErrorKind.CONFIG_INVALID)
    if base.is_err():
        return base
    overlays = {}
    for site, path in files.overlays.items():
        overlay = read_json(path, ErrorKind.CONFIG_INVALID)
        if overlay.is_err():
            return overlay
        overlays[site] = overlay.ok_value
    fields = {'base': base.ok_value, 'overlays': overlays}
    checked = Bundle.from_config(fields)
    return checked.map_err(
        lambda failure: _with_file(failure, files, overlays),
    )


def _with_file(
    failure: Failure,
    files: BundleFiles,
    overlays: dict[str, Any],
) -> Failure:
    site = _first_group(_SITE_PATTERN, failure.detail)
    path = _first_group(_PATH_PATTERN, failure.detail)
    if path.startswith('overlays.'):
        site = path.partition('.')[2]
    file_name = files.base
    if site in overlays and _overlay_sets(overlays[site], path):
        file_name = files.overlays[site]
    return Failure(failure.kind, f'file={file_name} {failure.detail}')


def _first_group(pattern: re.Pattern[str], text: str) -> str:
    found = pattern.search(text)
    return found.group(1) if found else ''


def _overlay_sets(overlay: Any, path: str) -> bool:
    """Return whether an overlay, not the base, set the value at a path."""
    if not isinstance(overlay, dict):
        return True
    current: Any = overlay
    for part in path.split('.'):
        if not isinstance(current, dict):
            return True
        if part not in current:
            return False
        current = current[part]
    return not isinstance(current, dict)
