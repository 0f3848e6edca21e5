"""The calls to the store that VMs execute for each other."""

import attrs

from lacewingmill.jobs.ports import Record, Transaction

__all__ = [
    "CONFLICT",
    "HISTORY_LOST",
    "LEASE_ENDED",
    "PATHS",
    "REFUSED",
    "RELAY_PATHS",
    "UNANSWERED",
    "CALL_TYPES",
    "EndCall",
    "GrantCall",
    "ReadCall",
    "ReadResult",
    "RenewCall",
    "ScanCall",
    "ScanResult",
    "WatchCall",
]


@attrs.frozen
class ReadCall:
    """A read of a key."""

    key: str


@attrs.frozen
class ScanCall:
    """A read of all keys under a prefix."""

    prefix: str


@attrs.frozen
class WatchCall:
    """A wait for changes under a prefix after a revision."""

    prefix: str
    after: int
    wait_s: float


@attrs.frozen
class GrantCall:
    """A request for a new lease."""

    ttl_s: float


@attrs.frozen
class RenewCall:
    """A request to renew a lease."""

    lease: int


@attrs.frozen
class EndCall:
    """A request to end a lease at once."""

    lease: int


@attrs.frozen
class ReadResult:
    """The record of a key, and a revision from which a watch of it misses no change."""

    record: Record | None
    revision: int


@attrs.frozen
class ScanResult:
    """The records under a prefix, and a revision from which a watch misses no change."""

    records: tuple[Record, ...]
    revision: int


CALL_TYPES: dict[str, type] = {
    "/store/read": ReadCall,
    "/store/scan": ScanCall,
    "/store/watch": WatchCall,
    "/store/commit": Transaction,
    "/store/grant": GrantCall,
    "/store/renew": RenewCall,
    "/store/end": EndCall,
}
PATHS = {call_type: path for path, call_type in CALL_TYPES.items()}
RELAY_PATHS = frozenset(CALL_TYPES)
# HTTP statuses of failed calls.
CONFLICT, LEASE_ENDED, HISTORY_LOST, REFUSED, UNANSWERED = 412, 404, 410, 503, 504
