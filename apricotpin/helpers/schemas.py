"""Checks of JSON documents against the schemas of the package."""

import json
import pathlib
from collections.abc import Callable
from importlib import resources
from typing import Any, Final

import fastjsonschema
from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure

_SCHEMAS_PACKAGE: Final = 'apricotpin.schemas'
# Longer values are cut, so that the message stays on one readable line.
_VALUE_LENGTH_MAX: Final = 120

Check = Callable[[Any], Result[Any, Failure]]


def make_check(schema_name: str, failure_kind: ErrorKind) -> Check:
    """Return a function that checks a document and fills in defaults.

    Its failure names the path in the document, the value and the expected
    form.
    """
    schemas = resources.files(_SCHEMAS_PACKAGE)
    text = schemas.joinpath(f'{schema_name}.json').read_text()
    validate = fastjsonschema.compile(json.loads(text))

    def check(document: Any) -> Result[Any, Failure]:
        try:
            # If an object itself is a default, the second pass fills in the
            # defaults of its fields.
            return Ok(validate(validate(document)))
        except fastjsonschema.JsonSchemaValueException as error:
            return Err(Failure(failure_kind, _describe(error)))

    return check


def read_json(
    path: pathlib.Path,
    failure_kind: ErrorKind,
) -> Result[Any, Failure]:
    """Read a JSON file; the failure names the file and the cause."""
    try:
        return Ok(json.loads(path.read_text()))
    except (OSError, ValueError) as error:
        detail = f'file={path} cause="{error}"'
        return Err(Failure(failure_kind, detail))


def _describe(error: fastjsonschema.JsonSchemaValueException) -> str:
    path = '.'.join(str(part) for part in error.path[1:]) or '.'
    expected = error.message.removeprefix(error.name).strip()
    found = json.dumps(error.value)
    if len(found) > _VALUE_LENGTH_MAX:
        found = f'{found[:_VALUE_LENGTH_MAX]}...'
    return f'path={path} value={found} expected="{expected}"'
