"""Decodes the records of workers and entry hosts, and loaded layers."""

import json
from typing import Any, Final

from apricotpin.messages.feeds import EntryHost, FeedEntry
from apricotpin.messages.upstreams import LoadedLayers, UpstreamEntry
from apricotpin.platform import names
from apricotpin.platform.entries import (
    as_address,
    as_integer,
    as_non_empty_string,
    decode_entry,
)

# More than any worker has. Limits of queues are computed from this number.
_SLOTS_MAX: Final = 100000


def decode_upstream_record(key: str, content: bytes) -> FeedEntry:
    """Decode a worker's record; its key is the worker's instance id."""
    return decode_entry(
        key, content, lambda fields: _decode_upstream(key, fields)
    )


def decode_host_record(key: str, content: bytes) -> FeedEntry:
    """Decode the record of an entry host; its key is the host id."""
    return decode_entry(key, content, lambda fields: _decode_host(key, fields))


def encode_host_record(host: EntryHost) -> bytes:
    """Encode the record of an entry host."""
    fields = {
        'peer_address': host.peer_address,
        'data_centre': host.data_centre,
    }
    return json.dumps(fields).encode()


def decode_loaded_layers(
    fields: dict[str, Any],
) -> tuple[LoadedLayers, ...] | None:
    """Return the layers that a worker has loaded, None if not reported."""
    models = fields.get('models')
    if models is None:
        return None
    if not models:
        return ()
    ranges = fields.get('layers')
    if not ranges:
        # Without the field, all layers of the models are loaded; an empty
        # field means none.
        return tuple(
            LoadedLayers(
                as_non_empty_string(model['name']),
                as_integer(model['version']),
                0,
                -1,
            )
            for model in models
            if ranges is None
        )
    if isinstance(ranges, dict):
        ranges = [ranges]
    name = as_non_empty_string(models[0]['name'])
    return tuple(
        LoadedLayers(
            as_non_empty_string(part.get('model', name)),
            as_integer(part['version']),
            # source is the first layer, and to the one after the last.
            as_integer(part['source']),
            as_integer(part['to']),
        )
        for part in ranges
    )


def _decode_upstream(key: str, fields: dict[str, Any]) -> UpstreamEntry:
    state = fields['state']
    if state not in {names.STATE_READY, names.STATE_DRAINING}:
        raise ValueError(f'state is {state!r}, expected ready or draining')
    return UpstreamEntry(
        instance_id=key,
        service=as_non_empty_string(fields['service']),
        address=as_address(fields['address']),
        data_centre=as_non_empty_string(fields['zone']),
        slots=as_integer(fields['slots'], 1, _SLOTS_MAX),
        draining=state == names.STATE_DRAINING,
        started_ms=as_integer(fields.get('born', 0)),
        loaded=decode_loaded_layers(fields),
    )


def _decode_host(key: str, fields: dict[str, Any]) -> EntryHost:
    return EntryHost(
        key,
        as_address(fields['peer_address']),
        as_non_empty_string(fields['data_centre']),
    )
