"""Decodes what the operator declares in the platform's store."""

import types
from typing import Any, Final

from apricotpin.messages import desired
from apricotpin.messages.feeds import FeedEntry
from apricotpin.platform import names
from apricotpin.platform.entries import as_text, as_whole, decode_entry

_MS_PER_S: Final = 1000.0
_KINDS: Final = types.MappingProxyType(
    {
        'idempotent': desired.RouteKind.IDEMPOTENT,
        'non_idempotent': desired.RouteKind.NON_IDEMPOTENT,
        'streaming': desired.RouteKind.STREAM,
    }
)
_DEFAULT_PRIORITY: Final = 9
# What a caller may send where the desired state names no limit.
_DEFAULT_LIMITS: Final = (16384, 4194304, 3000, 15000)


def operator_entry(key: str, content: bytes) -> FeedEntry:
    """Decode a record of the operator."""
    if key == names.KEY_CONFIG:
        return decode_entry(key, content, _desired_state)
    if key.startswith(names.KEY_VERSION_PREFIX):
        return decode_entry(key, content, _model_version)
    return FeedEntry(key, None, 'unknown key')


def _desired_state(fields: dict[str, Any]) -> desired.DesiredState:
    tenants = fields.get('tenants')
    return desired.DesiredState(
        version=as_whole(fields['version']),
        routes=tuple(_route(route) for route in fields['routes']),
        services=tuple(_service(service) for service in fields['services']),
        tenants=None if tenants is None else tuple(map(_tenant, tenants)),
        limits=_limits(fields.get('limits') or {}),
    )


def _route(fields: dict[str, Any]) -> desired.Route:
    splits = fields.get('traffic_split')
    if splits:
        parts = tuple(
            desired.TrafficSplit(part['service'], part['weight'])
            for part in splits
        )
    else:
        parts = (desired.TrafficSplit(as_text(fields['service']), 1),)
    return desired.Route(
        name=fields['name'],
        host=fields['hostname'],
        path_prefix=fields['path_prefix'],
        kind=_KINDS[fields['route_type']],
        splits=parts,
        timeout_s=fields['timeout_ms'] / _MS_PER_S,
        latency_goal_s=fields['goal_ms'] / _MS_PER_S,
        event_gap_goal_s=fields.get('gap_target_ms', 0) / _MS_PER_S,
        max_attempts=fields.get('max_attempts', 1),
        priority=fields.get('priority', _DEFAULT_PRIORITY),
        anonymous=bool(fields.get('anonymous')),
        resumable=bool(fields.get('resumable')),
    )


def _service(fields: dict[str, Any]) -> desired.ServiceSpec:
    engine = fields.get('engine')
    return desired.ServiceSpec(
        name=as_text(fields['name']),
        max_connections=fields.get('max_connections', 0),
        engine=_engine(engine) if engine and engine.get('models') else None,
        origin=fields.get('origin') or '',
        data_centre=fields.get('zone') or '',
    )


def _engine(fields: dict[str, Any]) -> desired.Engine:
    model = fields['models'][0]
    return desired.Engine(
        model=as_text(model['name']),
        slots=fields['slots'],
        layers=fields.get('layers', 1),
        chunks=fields.get('chunks', 0),
        chunk_bytes=fields.get('chunk_bytes', 0),
        warm_up_s=model.get('warm_s', 0),
    )


def _tenant(fields: dict[str, Any]) -> desired.Tenant:
    return desired.Tenant(
        fields['name'],
        tuple(fields['api_keys']),
        fields.get('priority'),
    )


def _limits(fields: dict[str, Any]) -> desired.CallerLimits:
    head, body, head_ms, idle_ms = _DEFAULT_LIMITS
    return desired.CallerLimits(
        head_max_bytes=fields.get('max_header_bytes') or head,
        body_max_bytes=fields.get('max_body_bytes') or body,
        head_timeout_s=(fields.get('header_timeout_ms') or head_ms) / _MS_PER_S,
        idle_timeout_s=(fields.get('idle_timeout_ms') or idle_ms) / _MS_PER_S,
    )


def _model_version(fields: dict[str, Any]) -> desired.ModelVersion:
    return desired.ModelVersion(
        as_text(fields['model']), as_whole(fields['version'])
    )
