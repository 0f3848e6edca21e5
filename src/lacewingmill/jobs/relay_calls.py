"""The calls of the store that VMs carry out for each other."""

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
    "CALLS",
    "EndCall",
    "GrantCall",
    "ReadCall",
    "Reading",
    "RenewCall",
    "ScanCall",
    "Scanned",
    "WatchCall",
]


@attrs.frozen
class ReadCall:
    """Asks for a key."""

    key: str


@attrs.frozen
class ScanCall:
    """Asks for all keys under a prefix."""

    prefix: str


@attrs.frozen
class WatchCall:
    """Waits for changes under a prefix after a revision."""

    prefix: str
    after: int
    wait_s: float


@attrs.frozen
class GrantCall:
    """Asks for a lease."""

    ttl_s: float


@attrs.frozen
class RenewCall:
    """Renews a lease."""

    lease: int


@attrs.frozen
class EndCall:
    """Ends a lease."""

    lease: int


@attrs.frozen
class Reading:
    """A key, and a revision from which a watch of it misses nothing."""

    record: Record | None
    revision: int


@attrs.frozen
class Scanned:
    """Keys under a prefix, and a revision from which a watch misses nothing."""

    records: tuple[Record, ...]
    revision: int


CALLS: dict[str, type] = {
    "/store/read": ReadCall,
    "/store/scan": ScanCall,
    "/store/watch": WatchCall,
    "/store/commit": Transaction,
    "/store/grant": GrantCall,
    "/store/renew": RenewCall,
    "/store/end": EndCall,
}
PATHS = {kind: path for path, kind in CALLS.items()}
RELAY_PATHS = frozenset(CALLS)
CONFLICT, LEASE_ENDED, HISTORY_LOST, REFUSED, UNANSWERED = 412, 404, 410, 503, 504
