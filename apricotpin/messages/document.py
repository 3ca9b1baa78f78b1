"""The configuration document as typed values."""

from typing import Any

from result import Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.schemas import make_check

_check = make_check('document', ErrorKind.CONFIG_INVALID)


class Rule:
    """State whether requests of a method and path prefix are idempotent."""

    __slots__ = ('idempotent', 'method', 'not_run_statuses', 'path_prefix')

    def __init__(self, checked: dict[str, Any]) -> None:
        self.method: str = checked['method']
        self.path_prefix: str = checked['path_prefix']
        self.idempotent: bool = checked['idempotent']
        self.not_run_statuses: list[int] = checked['not_run_statuses']


class ServiceConfig:
    """Describe how entry hosts treat the requests of a service."""

    __slots__ = (
        'checks_fencing',
        'echoes_request_id',
        'kind',
        'model',
        'name',
        'rules',
        'silent_s',
        'timeout_s',
    )

    def __init__(self, name: str, checked: dict[str, Any]) -> None:
        self.name = name
        self.kind: str = checked['kind']
        self.model: str = checked.get('model', '')
        self.rules = [Rule(rule) for rule in checked['rules']]
        self.timeout_s: float = checked['timeout_s']
        self.silent_s: float = checked['silent_s']
        self.echoes_request_id: bool = checked['echoes_request_id']
        self.checks_fencing: bool = checked['checks_fencing']


class ModelTarget:
    """Name the version of a model that every host is to serve."""

    __slots__ = ('manifest_digest', 'name', 'version')

    def __init__(self, name: str, checked: dict[str, Any]) -> None:
        self.name = name
        self.version: str = checked['version']
        self.manifest_digest: str = checked['manifest_digest']


class WeightsConfig:
    """Describe how weights are distributed."""

    __slots__ = (
        'origin_copies',
        'origin_region',
        'region_order',
        'stall_s',
        'stripes',
        'switch_fraction',
        'window_chunks',
    )

    def __init__(self, checked: dict[str, Any]) -> None:
        self.origin_copies: int = checked['origin_copies']
        self.origin_region: str = checked['origin_region']
        self.region_order: list[str] = checked['region_order']
        self.stripes: int = checked['stripes']
        self.window_chunks: int = checked['window_chunks']
        self.stall_s: float = checked['stall_s']
        self.switch_fraction: float = checked['switch_fraction']


class LimitsConfig:
    """Hold the limits of admission and retries on an entry host."""

    __slots__ = ('in_flight_max', 'priority_step', 'retry_budget_ratio')

    def __init__(self, checked: dict[str, Any]) -> None:
        self.in_flight_max: int = checked['in_flight_max']
        self.priority_step: float = checked['priority_step']
        self.retry_budget_ratio: float = checked['retry_budget_ratio']


class ClaimsConfig:
    """Hold the limits of claims on non-idempotent requests."""

    __slots__ = ('claim_partitions', 'claim_timeout_s', 'key_lifetime_s')

    def __init__(self, checked: dict[str, Any]) -> None:
        self.claim_partitions: int = checked['claim_partitions']
        self.claim_timeout_s: float = checked['claim_timeout_s']
        self.key_lifetime_s: float = checked['key_lifetime_s']


class Document:
    """Hold a complete configuration that passed the schema."""

    __slots__ = (
        'claims',
        'fleet',
        'limits',
        'models',
        'priorities',
        'services',
        'weights',
    )

    def __init__(self, checked: dict[str, Any]) -> None:
        self.fleet: str = checked['fleet']
        self.services = {
            name: ServiceConfig(name, fields)
            for name, fields in checked['services'].items()
        }
        self.models = {
            name: ModelTarget(name, fields)
            for name, fields in checked['models'].items()
        }
        self.weights = WeightsConfig(checked['weights'])
        self.limits = LimitsConfig(checked['limits'])
        self.claims = ClaimsConfig(checked['claims'])
        self.priorities: dict[str, int] = {
            name: fields['priority']
            for name, fields in checked['workspaces'].items()
        }

    @classmethod
    def from_config(cls, document: Any) -> Result['Document', Failure]:
        """Check a merged JSON document; the failure names path and value."""
        return _check(document).map(cls)


class ConfigChanged:
    """Announce the configuration that applies from now on."""

    __slots__ = ('accepted_offset', 'document')

    def __init__(self, accepted_offset: int, document: Document) -> None:
        self.accepted_offset = accepted_offset
        self.document = document
