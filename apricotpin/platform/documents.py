"""Decodes what the operator and the workers keep in the platform's store.

Writers may be torn or foreign: whatever cannot be read becomes an entry
without a meaning, with the fault beside it.
"""

import json
from typing import Any, Final

from apricotpin.messages.desired import (
    CallerLimits,
    DesiredState,
    Engine,
    ModelVersion,
    Route,
    RouteKind,
    ServiceSpec,
    Split,
    Tenant,
)
from apricotpin.messages.feeds import EntryHost, FeedEntry
from apricotpin.messages.upstreams import LoadedLayers, UpstreamEntry
from apricotpin.platform import names

_MS_PER_S: Final = 1000.0
_FAULTS: Final = (ValueError, TypeError, KeyError, AttributeError, IndexError)
_KINDS: Final = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'streaming': RouteKind.STREAM,
}
_DEFAULT_PRIORITY: Final = 9
# What a caller may send where the desired state names no limit.
_DEFAULT_LIMITS: Final = (16384, 4194304, 3000, 15000)


def operator_entry(key: str, content: bytes) -> FeedEntry:
    """Decode a record of the operator."""
    if key == names.KEY_CONFIG:
        return _decode(key, content, _desired_state)
    if key.startswith(names.KEY_VERSION_PREFIX):
        return _decode(key, content, _model_version)
    return FeedEntry(key, None, 'unknown key')


def upstream_entry(key: str, content: bytes) -> FeedEntry:
    """Decode a worker's record, which lies under its id."""
    return _decode(key, content, lambda fields: _upstream(key, fields))


def host_entry(key: str, content: bytes) -> FeedEntry:
    """Decode the record of an entry host of this system."""
    return _decode(key, content, lambda fields: _host(key, fields))


def encode_host(host: EntryHost) -> bytes:
    """Encode the record of an entry host of this system."""
    fields = {
        'peer_address': host.peer_address,
        'data_centre': host.data_centre,
    }
    return json.dumps(fields).encode()


def loaded_layers(fields: dict[str, Any]) -> tuple[LoadedLayers, ...] | None:
    """Return the layers that a worker says it holds, None if it is silent."""
    models = fields.get('models')
    if models is None:
        return None
    ranges = fields.get('layers')
    if not ranges:
        # Without a range a worker holds what it names as a whole.
        return tuple(
            LoadedLayers(_text(model['name']), _whole(model['version']), 0, -1)
            for model in models
            if ranges is None
        )
    if isinstance(ranges, dict):
        ranges = [ranges]
    name = _text(models[0]['name']) if models else ''
    return tuple(
        LoadedLayers(
            _text(part.get('model', name)),
            _whole(part['version']),
            # source is the first layer, to the one after the last.
            _whole(part['source']),
            _whole(part['to']),
        )
        for part in ranges
    )


def _decode(key: str, content: bytes, decoder: Any) -> FeedEntry:
    if not content:
        return FeedEntry(key, None)
    try:
        return FeedEntry(key, decoder(json.loads(content)))
    except _FAULTS as error:
        return FeedEntry(key, None, repr(error))


def _desired_state(fields: dict[str, Any]) -> DesiredState:
    tenants = fields.get('tenants')
    return DesiredState(
        version=_whole(fields['version']),
        routes=tuple(_route(route) for route in fields['routes']),
        services=tuple(_service(service) for service in fields['services']),
        tenants=None if tenants is None else tuple(map(_tenant, tenants)),
        limits=_limits(fields.get('limits') or {}),
    )


def _route(fields: dict[str, Any]) -> Route:
    splits = fields.get('traffic_split')
    if splits:
        parts = tuple(Split(part['service'], part['weight']) for part in splits)
    else:
        parts = (Split(_text(fields['service']), 1),)
    return Route(
        name=fields['name'],
        host=fields['hostname'],
        path_prefix=fields['path_prefix'],
        kind=_KINDS[fields['route_type']],
        splits=parts,
        timeout_s=fields['timeout_ms'] / _MS_PER_S,
        goal_s=fields['goal_ms'] / _MS_PER_S,
        gap_s=fields.get('gap_target_ms', 0) / _MS_PER_S,
        max_attempts=fields.get('max_attempts', 1),
        priority=fields.get('priority', _DEFAULT_PRIORITY),
        anonymous=bool(fields.get('anonymous')),
        resumable=bool(fields.get('resumable')),
    )


def _service(fields: dict[str, Any]) -> ServiceSpec:
    engine = fields.get('engine')
    return ServiceSpec(
        name=_text(fields['name']),
        max_connections=fields.get('max_connections', 0),
        engine=_engine(engine) if engine and engine.get('models') else None,
        origin=fields.get('origin') or '',
        data_centre=fields.get('zone') or '',
    )


def _engine(fields: dict[str, Any]) -> Engine:
    model = fields['models'][0]
    return Engine(
        model=_text(model['name']),
        slots=fields['slots'],
        layers=fields.get('layers', 1),
        chunks=fields.get('chunks', 0),
        chunk_bytes=fields.get('chunk_bytes', 0),
        warm_s=model.get('warm_s', 0),
    )


def _tenant(fields: dict[str, Any]) -> Tenant:
    return Tenant(
        fields['name'],
        tuple(fields['api_keys']),
        fields.get('priority'),
    )


def _limits(fields: dict[str, Any]) -> CallerLimits:
    head, body, head_ms, idle_ms = _DEFAULT_LIMITS
    return CallerLimits(
        head_bytes=fields.get('max_header_bytes') or head,
        body_bytes=fields.get('max_body_bytes') or body,
        head_s=(fields.get('header_timeout_ms') or head_ms) / _MS_PER_S,
        idle_s=(fields.get('idle_timeout_ms') or idle_ms) / _MS_PER_S,
    )


def _model_version(fields: dict[str, Any]) -> ModelVersion:
    return ModelVersion(_text(fields['model']), _whole(fields['version']))


def _upstream(key: str, fields: dict[str, Any]) -> UpstreamEntry:
    state = fields['state']
    if state not in {names.STATE_READY, names.STATE_DRAINING}:
        raise ValueError(f'state {state!r} is unknown')
    address = _text(fields['address'])
    port = int(address.rpartition(':')[2])
    if not 0 < port < 65536:
        raise ValueError(f'address {address!r} has no port')
    return UpstreamEntry(
        instance_id=key,
        service=_text(fields['service']),
        address=address,
        data_centre=_text(fields['zone']),
        slots=_whole(fields['slots']),
        draining=state == names.STATE_DRAINING,
        started_ms=_whole(fields.get('born', 0)),
        loaded=loaded_layers(fields),
    )


def _host(key: str, fields: dict[str, Any]) -> EntryHost:
    return EntryHost(
        key,
        _text(fields['peer_address']),
        _text(fields['data_centre']),
    )


def _text(found: Any) -> str:
    if not isinstance(found, str) or not found:
        raise ValueError(f'{found!r} is not a text')
    return found


def _whole(found: Any) -> int:
    if isinstance(found, bool) or not isinstance(found, int):
        raise ValueError(f'{found!r} is not a whole number')
    return found
