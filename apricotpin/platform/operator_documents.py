"""Decodes the operator's records in the platform's store."""

import types
from typing import Any, Final

from apricotpin.messages import desired
from apricotpin.messages.feeds import FeedEntry
from apricotpin.platform import names
from apricotpin.platform.entries import (
    as_integer,
    as_non_empty_string,
    as_number,
    decode_entry,
)

_MS_PER_S: Final = 1000.0
_ROUTE_KINDS: Final = types.MappingProxyType(
    {
        'idempotent': desired.RouteKind.IDEMPOTENT,
        'non_idempotent': desired.RouteKind.NON_IDEMPOTENT,
        'streaming': desired.RouteKind.STREAM,
    }
)
_DEFAULT_PRIORITY: Final = 9
# Limits on callers' requests that apply where the desired state sets none:
# bytes of the head and of the body, ms for the head and ms of idleness.
_DEFAULT_LIMITS: Final = (16384, 4194304, 3000, 15000)


def decode_operator_record(key: str, content: bytes) -> FeedEntry:
    """Decode a desired state or a declared version of a model."""
    if key == names.KEY_CONFIG:
        return decode_entry(key, content, _decode_desired_state)
    if key.startswith(names.KEY_VERSION_PREFIX):
        return decode_entry(key, content, _decode_model_version)
    return FeedEntry(key, None, 'unknown key')


def _decode_desired_state(fields: dict[str, Any]) -> desired.DesiredState:
    workspaces = fields.get('tenants')
    return desired.DesiredState(
        version=as_integer(fields['version']),
        routes=tuple(_decode_route(route) for route in fields['routes']),
        services=tuple(
            _decode_service(service) for service in fields['services']
        ),
        workspaces=None
        if workspaces is None
        else tuple(map(_decode_workspace, workspaces)),
        limits=_decode_limits(fields.get('limits') or {}),
    )


def _decode_route(fields: dict[str, Any]) -> desired.Route:
    splits = fields.get('traffic_split')
    if splits:
        parts = tuple(
            desired.TrafficSplit(
                as_non_empty_string(part['service']), as_number(part['weight'])
            )
            for part in splits
        )
    else:
        parts = (
            desired.TrafficSplit(as_non_empty_string(fields['service']), 1),
        )
    return desired.Route(
        name=as_non_empty_string(fields['name']),
        host=as_non_empty_string(fields['hostname']),
        path_prefix=as_non_empty_string(fields['path_prefix']),
        kind=_ROUTE_KINDS[fields['route_type']],
        splits=parts,
        timeout_s=as_number(fields['timeout_ms']) / _MS_PER_S,
        latency_goal_s=as_number(fields['goal_ms']) / _MS_PER_S,
        event_gap_goal_s=as_number(fields.get('gap_target_ms', 0)) / _MS_PER_S,
        max_attempts=as_integer(fields.get('max_attempts', 1)),
        priority=as_integer(fields.get('priority', _DEFAULT_PRIORITY)),
        anonymous=bool(fields.get('anonymous')),
        resumable=bool(fields.get('resumable')),
    )


def _decode_service(fields: dict[str, Any]) -> desired.ServiceSpec:
    engine = fields.get('engine')
    return desired.ServiceSpec(
        name=as_non_empty_string(fields['name']),
        max_connections=fields.get('max_connections', 0),
        engine=_decode_engine(engine)
        if engine and engine.get('models')
        else None,
        origin=fields.get('origin') or '',
        data_centre=fields.get('zone') or '',
    )


def _decode_engine(fields: dict[str, Any]) -> desired.Engine:
    model = fields['models'][0]
    return desired.Engine(
        model=as_non_empty_string(model['name']),
        slots=as_integer(fields['slots']),
        layers=as_integer(fields.get('layers', 1)),
        chunks=as_integer(fields.get('chunks', 0)),
        chunk_bytes=as_integer(fields.get('chunk_bytes', 0)),
        warm_up_s=as_number(model.get('warm_s', 0)),
    )


def _decode_workspace(fields: dict[str, Any]) -> desired.Workspace:
    return desired.Workspace(
        fields['name'],
        tuple(fields['api_keys']),
        fields.get('priority'),
    )


def _decode_limits(fields: dict[str, Any]) -> desired.CallerLimits:
    head, body, head_ms, idle_ms = _DEFAULT_LIMITS
    return desired.CallerLimits(
        head_max_bytes=fields.get('max_header_bytes') or head,
        body_max_bytes=fields.get('max_body_bytes') or body,
        head_timeout_s=(fields.get('header_timeout_ms') or head_ms) / _MS_PER_S,
        idle_timeout_s=(fields.get('idle_timeout_ms') or idle_ms) / _MS_PER_S,
    )


def _decode_model_version(fields: dict[str, Any]) -> desired.ModelVersion:
    return desired.ModelVersion(
        as_non_empty_string(fields['model']), as_integer(fields['version'])
    )
