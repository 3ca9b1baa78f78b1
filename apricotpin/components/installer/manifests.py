"""Decide when a version's manifest is doubted, and replace it."""

import json

from apricotpin.components.installer import const
from apricotpin.components.installer.state import VersionPieces
from apricotpin.helpers.hashing import matches_digest_of, sha256_hex


def index_to_fetch(pieces: VersionPieces) -> int | None:
    """Return the index of the manifest, None while it is being fetched."""
    is_fetched = const.MANIFEST_INDEX in pieces.fetching
    return None if is_fetched else const.MANIFEST_INDEX


def record_corrupt_piece(pieces: VersionPieces, index: int) -> int:
    """Record a piece that does not match; return how many did so in a row.

    Entry hosts send only pieces that match their manifest. If one repeatedly
    does not match this one, one of the two manifests is corrupt.
    """
    manifest = pieces.manifest
    count = manifest.corrupt_counts.get(index, 0) + 1
    manifest.corrupt_counts[index] = count
    manifest.corrupt_in_row += 1
    if count % const.CORRUPT_FETCHES_MAX == 0:
        manifest.is_doubted = True
    return manifest.corrupt_in_row


def record_unreadable(pieces: VersionPieces) -> int:
    """Record an unreadable manifest; return how many fetches failed so."""
    pieces.manifest.corrupt_in_row += 1
    return pieces.manifest.corrupt_in_row


def dismiss_doubt(pieces: VersionPieces) -> None:
    """Go on with the manifest in use, since none could be fetched."""
    pieces.manifest.is_doubted = False


def replace_manifest(pieces: VersionPieces, content: bytes) -> bool:
    """Use a manifest; return whether it replaces a different one.

    Pieces that do not match it are dropped. Raise ValueError, KeyError or
    TypeError if it is unreadable.
    """
    document = json.loads(content)
    layers = int(document['layers'])
    digests = [str(one) for one in document['digests']]
    if layers < 1 or not digests:
        raise ValueError('the manifest names no layers or no pieces')
    manifest = pieces.manifest
    manifest.is_doubted = False
    digest = sha256_hex(content)
    if digest == manifest.digest:
        return False
    has_previous = bool(manifest.digest)
    manifest.digest = digest
    manifest.corrupt_counts.clear()
    manifest.corrupt_in_row = 0
    pieces.layers = layers
    pieces.digests = digests
    _drop_mismatching(pieces)
    return has_previous


def _drop_mismatching(pieces: VersionPieces) -> None:
    dropped = [
        index
        for index, content in pieces.content.items()
        if not matches_digest_of(index, content, pieces.digests)
    ]
    for index in dropped:
        pieces.content.pop(index)
    pieces.staged.difference_update(dropped)
    pieces.check.discard()
