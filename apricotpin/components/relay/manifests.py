"""Decide whether to use, to keep and to read again a version's manifest."""

import json
from typing import Any

from apricotpin.components.relay import const
from apricotpin.components.relay.state import CachedVersion
from apricotpin.helpers.hashing import matches_digest_of, sha256_hex
from apricotpin.messages.desired import Engine


def is_readable(content: bytes) -> bool:
    """Return whether content is a manifest with layers and digests."""
    try:
        document = json.loads(content)
    except ValueError:
        return False
    if not isinstance(document, dict):
        return False
    layers, digests = document.get('layers'), document.get('digests')
    has_layers = isinstance(layers, int) and layers > 0
    return has_layers and isinstance(digests, list) and bool(digests)


def confirm_manifest(
    cached: CachedVersion, content: bytes, engine: Engine | None
) -> bool:
    """Return whether a readable manifest may be used; remember it if not.

    No digest covers the manifest itself. One that contradicts the desired
    state is used only if it is read twice alike.
    """
    document = json.loads(content)
    if engine is None or not _contradicts(document, engine):
        return True
    digest = sha256_hex(content)
    if cached.manifest.unconfirmed_digest == digest:
        return True
    cached.manifest.unconfirmed_digest = digest
    return False


def replace_manifest(
    cached: CachedVersion, content: bytes, now_s: float
) -> bool:
    """Use a manifest; return whether it differs from the one before.

    Pieces that do not match the new manifest are dropped.
    """
    manifest = cached.manifest
    manifest.is_doubted = False
    manifest.read_s = now_s
    digest = sha256_hex(content)
    if digest == manifest.digest:
        return False
    manifest.digest = digest
    manifest.digests = json.loads(content)['digests']
    cached.corrupt_counts.clear()
    dropped = [
        index
        for index, piece in cached.content.items()
        if index != const.MANIFEST_INDEX and not is_intact(cached, index, piece)
    ]
    for index in dropped:
        cached.content.pop(index)
    return True


def is_intact(cached: CachedVersion, index: int, content: bytes) -> bool:
    """Return whether a piece matches its digest in the manifest."""
    return matches_digest_of(index, content, cached.digests)


def should_read_again(
    cached: CachedVersion, doubted_digest: str, now_s: float
) -> bool:
    """Return whether a requester's doubt about the manifest is followed.

    A manifest that was read a moment ago is not read again: the source of the
    pieces that do not match it must be at fault.
    """
    manifest = cached.manifest
    if manifest.is_doubted or doubted_digest != manifest.digest:
        return False
    return now_s - manifest.read_s > const.MANIFEST_TRUSTED_S


def is_awaited(cached: CachedVersion, doubted_digest: str) -> bool:
    """Return whether a requester has to wait for the manifest in transfer."""
    manifest = cached.manifest
    return manifest.is_doubted and doubted_digest == manifest.digest


def _contradicts(document: dict[str, Any], engine: Engine) -> bool:
    if document['layers'] != engine.layers:
        return True
    # A desired state without the number of pieces states 0.
    return engine.chunks not in {0, len(document['digests'])}
