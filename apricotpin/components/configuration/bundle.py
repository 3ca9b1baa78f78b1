"""Base document with site overlays, and the document of each site."""

import copy
import json
from typing import Any

from json_merge_patch import merge
from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.document import Document


class Bundle:
    """Hold a base document and a JSON merge patch for each site."""

    __slots__ = ('base', 'overlays')

    def __init__(self, base: Any, overlays: dict[str, Any]) -> None:
        self.base = base
        self.overlays = overlays

    @classmethod
    def from_config(cls, fields: Any) -> Result['Bundle', Failure]:
        """Build a bundle from JSON fields and check every site's document."""
        if not isinstance(fields, dict):
            return _invalid('.', fields, 'an object with base and overlays')
        overlays = fields.get('overlays', {})
        if not isinstance(overlays, dict):
            return _invalid('overlays', overlays, 'an object')
        return check_sites(cls(fields.get('base'), overlays))

    @classmethod
    def from_text(cls, text: str) -> Result['Bundle', Failure]:
        """Parse the text that as_text returns."""
        try:
            fields = json.loads(text)
        except ValueError as error:
            return Err(Failure(ErrorKind.CONFIG_INVALID, str(error)))
        return cls.from_config(fields)

    def as_fields(self) -> dict[str, Any]:
        """Return the JSON object that log records contain."""
        return {'base': self.base, 'overlays': self.overlays}

    def as_text(self) -> str:
        """Return compact JSON, the same for equal bundles."""
        return json.dumps(
            self.as_fields(),
            sort_keys=True,
            separators=(',', ':'),
        )


def merged_for_site(bundle: Bundle, site: str) -> Result[Any, Failure]:
    """Return the JSON document of a site.

    Without any overlay the base applies to all sites. Otherwise a site
    without an overlay is an error.
    """
    if not bundle.overlays:
        return Ok(copy.deepcopy(bundle.base))
    if site not in bundle.overlays:
        known = ','.join(sorted(bundle.overlays))
        detail = f'path=overlays value={site} expected="one of {known}"'
        return Err(Failure(ErrorKind.CONFIG_INVALID, detail))
    # merge() modifies its first argument, and its result shares objects with
    # the second.
    overlay = copy.deepcopy(bundle.overlays[site])
    return Ok(merge(copy.deepcopy(bundle.base), overlay))


def document_for_site(bundle: Bundle, site: str) -> Result[Document, Failure]:
    """Return the validated document of a site."""
    return merged_for_site(bundle, site).and_then(_checked_document)


def claim_partitions_of(bundle: Bundle) -> dict[str, int]:
    """Return the number of claim partitions by site.

    Without any overlay the number of the base has an empty site name.
    """
    return {
        site: document_for_site(bundle, site).unwrap().claims.claim_partitions
        for site in bundle.overlays or ('',)
    }


def check_sites(bundle: Bundle) -> Result[Bundle, Failure]:
    """Validate the document of every site; a failure names the site."""
    if not isinstance(bundle.base, dict):
        return _invalid('base', bundle.base, 'an object')
    for site, overlay in bundle.overlays.items():
        if not isinstance(overlay, dict):
            return _invalid(f'overlays.{site}', overlay, 'an object')
        checked = document_for_site(bundle, site)
        if checked.is_err():
            failure = checked.err_value
            detail = f'site={site} {failure.detail}'
            return Err(Failure(failure.kind, detail))
    if bundle.overlays:
        return Ok(bundle)
    return _checked_document(copy.deepcopy(bundle.base)).map(
        lambda _document: bundle,
    )


def _checked_document(merged: Any) -> Result[Document, Failure]:
    return Document.from_config(merged).and_then(_check_references)


def _check_references(document: Document) -> Result[Document, Failure]:
    for service in document.services.values():
        path = f'services.{service.name}.model'
        if service.kind == 'model' and service.model not in document.models:
            return _invalid(path, service.model, 'a name under models')
    return Ok(document)


def _invalid(path: str, found: Any, expected: str) -> Result[Any, Failure]:
    detail = f'path={path} value={json.dumps(found)} expected="{expected}"'
    return Err(Failure(ErrorKind.CONFIG_INVALID, detail))
