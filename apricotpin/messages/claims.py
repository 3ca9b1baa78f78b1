"""Messages about claims and outcomes of non-idempotent requests."""


class Outcome:
    """Carry the response of an upstream to a request with a key."""

    __slots__ = (
        'body',
        'content_type',
        'http_status',
    )

    def __init__(
        self,
        http_status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        self.http_status = http_status
        self.content_type = content_type
        self.body = body


class Claim:
    """Ask for the right to run the request of an idempotency key once.

    The local claims service sets attempt_id. If a reply is lost, the same
    attempt may ask again. Once an attempt was granted the key, no other
    attempt is granted it.
    """

    __slots__ = (
        'attempt_id',
        'host_id',
        'key',
        'request_digest',
        'service_name',
        'workspace',
    )

    def __init__(
        self,
        workspace: str,
        service_name: str,
        key: str,
        request_digest: str,
        host_id: str,
        attempt_id: str = '',
    ) -> None:
        self.workspace = workspace
        self.service_name = service_name
        self.key = key
        self.request_digest = request_digest
        self.host_id = host_id
        self.attempt_id = attempt_id


class ClaimAnswer:
    """Return the verdict on a claim, with the outcome if one is stored."""

    __slots__ = (
        'detail',
        'outcome',
        'verdict',
    )

    def __init__(
        self,
        verdict: str,
        outcome: Outcome | None = None,
        detail: str = '',
    ) -> None:
        self.verdict = verdict
        self.outcome = outcome
        self.detail = detail


class RecordOutcome:
    """Record the outcome of a claimed request, or that it was not run.

    The local claims service sets attempt_id to the attempt that was granted
    the claim.
    """

    __slots__ = (
        'attempt_id',
        'key',
        'not_run',
        'outcome',
        'service_name',
        'workspace',
    )

    def __init__(
        self,
        workspace: str,
        service_name: str,
        key: str,
        not_run: bool,
        outcome: Outcome | None = None,
        attempt_id: str = '',
    ) -> None:
        self.workspace = workspace
        self.service_name = service_name
        self.key = key
        self.not_run = not_run
        self.outcome = outcome
        self.attempt_id = attempt_id


class FindOutcome:
    """Ask for the stored outcome of a key."""

    __slots__ = (
        'key',
        'service_name',
        'workspace',
    )

    def __init__(
        self,
        workspace: str,
        service_name: str,
        key: str,
    ) -> None:
        self.workspace = workspace
        self.service_name = service_name
        self.key = key


class Recorded:
    """Report whether a record is stored durably."""

    __slots__ = ('stored',)

    def __init__(
        self,
        stored: bool,
    ) -> None:
        self.stored = stored


class RequestClaim:
    """Ask the local claims service to obtain a claim from its owner.

    The reply is a ClaimAnswer, or the failure key_invalid or key_expired.
    Only the verdict "granted" allows the sender to run the request.
    """

    __slots__ = ('claim',)

    def __init__(self, claim: Claim) -> None:
        self.claim = claim


class ReportOutcome:
    """Ask the local claims service to have an outcome recorded.

    The reply is Recorded. While the record is not stored durably, the service
    keeps trying in the background.
    """

    __slots__ = ('record',)

    def __init__(self, record: RecordOutcome) -> None:
        self.record = record


class LookUpOutcome:
    """Ask the local claims service for the stored outcome of a key.

    The reply is a ClaimAnswer, or the failure outcome_not_found, key_invalid
    or key_expired.
    """

    __slots__ = ('find',)

    def __init__(self, find: FindOutcome) -> None:
        self.find = find
