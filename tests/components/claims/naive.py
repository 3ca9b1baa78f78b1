"""Naive claims: one append per record, and every decision reads the log."""


class NaiveClaims:
    """Decide claims by reading the whole stream after each append."""

    __slots__ = ('_log',)

    def __init__(self, log):
        self._log = log

    def claim(self, key, digest, attempt_id, now_s):
        """Append a claim, read everything and return the verdict."""
        fields = {'kind': 'claimed', 'key': key, 'digest': digest}
        self._log.append([{**fields, 'attempt_id': attempt_id}], now_s)
        claims, finals = read_history(self._log.history, check_epoch=False)
        held = claims[key]
        if held['digest'] != digest:
            return 'reused'
        final = finals.get(key)
        if final is not None:
            return verdict_of_final(final)
        return 'granted' if held['attempt_id'] == attempt_id else 'running'

    def record(self, key, attempt_id, not_run, now_s):
        """Append a final record; return whether the key has one of its kind."""
        kind = 'closed' if not_run else 'ended'
        fields = {'kind': kind, 'key': key, 'attempt_id': attempt_id}
        self._log.append([fields], now_s)
        _claims, finals = read_history(self._log.history, check_epoch=False)
        return key in finals and finals[key]['kind'] == kind

    def is_held_by(self, key, attempt_id):
        """Return whether the attempt holds the first claim of a key."""
        claims, _finals = read_history(self._log.history, check_epoch=False)
        return holder_of(claims, key) == attempt_id


def read_history(history, check_epoch=True):
    """Return the first valid claim and the first final record of each key."""
    claims = {}
    finals = {}
    opened = None
    for entry in history:
        fields = entry.value
        if fields['kind'] == 'open':
            opened = (fields['epoch'], fields['owner'])
            continue
        key = fields['key']
        if fields['kind'] == 'claimed':
            if not check_epoch or (fields['epoch'], fields['owner']) == opened:
                claims.setdefault(key, fields)
        elif holder_of(claims, key) == fields['attempt_id']:
            finals.setdefault(key, fields)
    return claims, finals


def holder_of(claims, key):
    """Return the attempt that holds a key, or None."""
    return claims[key]['attempt_id'] if key in claims else None


def verdict_of_final(final):
    """Return the verdict on a key with a final record."""
    return 'not_run' if final['kind'] == 'closed' else 'done'
