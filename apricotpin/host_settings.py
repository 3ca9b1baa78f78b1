"""Settings of a process on a platform with a settings file per host."""

from apricotpin.helpers.addresses import Address


class OperatorLimits:
    """Hold the limits that the operators set for all hosts.

    version_limit_s is how long after the declaration of a version an older
    version may still be used. Within retry_window_s, retries are limited to
    retry_budget_ratio of the requests plus retry_allowance.
    """

    __slots__ = (
        'config_apply_limit_s',
        'contact_limit_s',
        'drain_limit_s',
        'grace_s',
        'retry_allowance',
        'retry_budget_ratio',
        'retry_window_s',
        'version_limit_s',
    )

    def __init__(
        self,
        config_apply_limit_s: float,
        contact_limit_s: float,
        drain_limit_s: float,
        grace_s: float,
        retry_allowance: float,
        retry_budget_ratio: float,
        retry_window_s: float,
        version_limit_s: float,
    ) -> None:
        self.config_apply_limit_s = config_apply_limit_s
        self.contact_limit_s = contact_limit_s
        self.drain_limit_s = drain_limit_s
        self.grace_s = grace_s
        self.retry_allowance = retry_allowance
        self.retry_budget_ratio = retry_budget_ratio
        self.retry_window_s = retry_window_s
        self.version_limit_s = version_limit_s


class HostSettings:
    """Hold the checked settings of a host.

    Addresses are ip:port; an address that the role does not need is empty.
    """

    __slots__ = (
        'admin_listen',
        'data_centre',
        'frontend_listen',
        'host_id',
        'ip',
        'is_first_start',
        'limits',
        'link_bytes_per_s',
        'log_level',
        'peer_address',
        'peer_listen',
        'ready_listen',
        'region',
        'region_by_data_centre',
        'role',
        'service',
        'site',
        'store_address',
        'upstream_address',
    )

    def __init__(
        self,
        host_id: str,
        role: str,
        ip: str,
        data_centre: str,
        region: str,
        region_by_data_centre: dict[str, str],
        frontend_listen: str,
        ready_listen: str,
        internal_port: int,
        store_address: str,
        upstream_address: str,
        service: str,
        limits: OperatorLimits,
        is_first_start: bool = False,
        link_bytes_per_s: float = 0,
    ) -> None:
        # Rate of the host's own link, 0 if it is not known.
        self.link_bytes_per_s = link_bytes_per_s
        # Whether the whole system starts for the first time, with workers
        # that have their weights loaded already.
        self.is_first_start = is_first_start
        self.host_id = host_id
        self.role = role
        self.site = ''
        self.ip = ip
        self.data_centre = data_centre
        self.region = region
        # The region of each data centre.
        self.region_by_data_centre = region_by_data_centre
        self.frontend_listen = frontend_listen
        self.ready_listen = ready_listen
        self.peer_address = f'{ip}:{internal_port}'
        self.peer_listen = Address.from_text(self.peer_address)
        self.admin_listen = Address(ip, internal_port + 1)
        self.store_address = store_address
        self.upstream_address = upstream_address
        self.service = service
        self.limits = limits
        self.log_level = 'info'

    @property
    def grace_s(self) -> float:
        """Return the time in seconds that a stop may take."""
        return self.limits.grace_s
