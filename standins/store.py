"""Stand-in for the platform's key-value service."""

import random
from urllib.parse import unquote

import attrs
import gevent
from gevent.event import Event

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from lacewingmill.codec import encode, encode_json
from lacewingmill.ports import StoreEntry, WatchResponse
from standins.faults import Faults, apply_faults, query_value

__all__ = ["StoreStandin", "StoreTable"]

MAX_VALUE_BYTES = 1024 * 1024
LEASE_SWEEP_INTERVAL_S = 0.1


@attrs.define
class StoreCounts:
    """Number of requests received, by kind.

    :param waiting: watches that wait for a change at present.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    waiting: int = 0


class StoreTable:
    """Keys, revisions and leases, without I/O.

    Methods that depend on the time take it as ``now``.
    """

    def __init__(self):
        self.revision = 0
        self._entries: dict[str, StoreEntry] = {}
        self._changed_revisions: dict[str, int] = {}
        self._lease_keys: dict[str, set[str]] = {}
        self._lease_ends_at: dict[str, float] = {}
        self._lease_ttls_s: dict[str, float] = {}
        self._granted_leases = 0

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry of a key, or ``None``."""
        return self._entries.get(key)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 if it does not exist."""
        entry = self._entries.get(key)
        return entry.revision if entry else 0

    def put(self, key: str, value: bytes, lease: str) -> int:
        """Write a key without a check and return the new revision.

        :param lease: lease with which the key expires; empty for none.
        """
        self.revision += 1
        self._entries[key] = StoreEntry(key, value, self.revision)
        self._changed_revisions[key] = self.revision
        for keys in self._lease_keys.values():
            keys.discard(key)
        if lease:
            self._lease_keys[lease].add(key)
        return self.revision

    def delete(self, key: str) -> int:
        """Delete a key without a check and return the new revision."""
        self.revision += 1
        self._entries.pop(key, None)
        self._changed_revisions[key] = self.revision
        return self.revision

    def entries(self, prefix: str) -> list[StoreEntry]:
        """Return the entries under a prefix, sorted by key."""
        return [self._entries[key] for key in sorted(self._entries) if key.startswith(prefix)]

    def changed_after(self, prefix: str, revision: int) -> tuple[str, ...]:
        """Return the keys under a prefix that changed after a revision."""
        return tuple(
            key
            for key, changed in self._changed_revisions.items()
            if changed > revision and key.startswith(prefix)
        )

    def grant(self, ttl_s: float, now: float) -> str:
        """Grant a lease and return its id."""
        self._granted_leases += 1
        lease = f"lease-{self._granted_leases}"
        self._lease_keys[lease] = set()
        self._lease_ttls_s[lease] = ttl_s
        self._lease_ends_at[lease] = now + ttl_s
        return lease

    def has_lease(self, lease: str) -> bool:
        """Return whether a lease is live."""
        return lease in self._lease_ends_at

    def renew(self, lease: str, now: float) -> bool:
        """Renew a lease; return whether it was live."""
        if lease not in self._lease_ends_at:
            return False
        self._lease_ends_at[lease] = now + self._lease_ttls_s[lease]
        return True

    def expire(self, now: float) -> bool:
        """Delete expired leases with their keys; return whether any key was deleted."""
        expired = [lease for lease, end in self._lease_ends_at.items() if end <= now]
        any_deleted = False
        for lease in expired:
            del self._lease_ends_at[lease]
            for key in self._lease_keys.pop(lease):
                self.delete(key)
                any_deleted = True
        return any_deleted


class StoreStandin:
    """HTTP service over a :class:`StoreTable`.

    :param clock: a :class:`lacewingmill.ports.Clock`.
    """

    def __init__(self, address: str, clock, seed: int = 0):
        self.faults = Faults()
        self.counts = StoreCounts()
        self._table = StoreTable()
        self._clock = clock
        self._rng = random.Random(seed)
        self._changed = Event()
        self._server = HttpServer(address, self._handle)

    def start(self) -> None:
        """Start listening and expiring leases."""
        self._server.start()
        gevent.spawn(self._sweep)

    def _sweep(self) -> None:
        while True:
            gevent.sleep(LEASE_SWEEP_INTERVAL_S)
            if self._table.expire(self._clock.now()):
                self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _handle(self, req: HttpRequest) -> HttpResponse:
        if req.path == "/stats":
            return HttpResponse(200, encode_json(self.counts))
        return apply_faults(self.faults, self._rng, self._dispatch, req)

    def _dispatch(self, req: HttpRequest) -> HttpResponse:
        if req.path.startswith("/kv/"):
            return self._handle_key(req, unquote(req.path[len("/kv/") :]))
        if req.path == "/list":
            self.counts.reads += 1
            return HttpResponse(200, encode(self._table.entries(query_value(req, "prefix"))))
        if req.path == "/watch":
            return self._handle_watch(req)
        if req.path.startswith("/lease"):
            return self._handle_lease(req)
        return HttpResponse(404)

    def _handle_key(self, req: HttpRequest, key: str) -> HttpResponse:
        if req.method == "GET":
            self.counts.reads += 1
            entry = self._table.get(key)
            if entry is None:
                return HttpResponse(404)
            return HttpResponse(200, entry.value, headers={"Revision": str(entry.revision)})
        self.counts.writes += 1
        return self._handle_write(req, key)

    def _handle_write(self, req: HttpRequest, key: str) -> HttpResponse:
        if len(req.body) > MAX_VALUE_BYTES:
            return HttpResponse(413)
        current = self._table.revision_of(key)
        if current != int(query_value(req, "expected", "0")):
            return HttpResponse(409, headers={"Revision": str(current)})
        lease = query_value(req, "lease")
        if lease and not self._table.has_lease(lease):
            return HttpResponse(410, b"lease has lapsed")
        if req.method == "DELETE":
            revision = self._table.delete(key)
        else:
            revision = self._table.put(key, req.body, lease)
        self._wake()
        return HttpResponse(200, headers={"Revision": str(revision)})

    def _handle_lease(self, req: HttpRequest) -> HttpResponse:
        self.counts.writes += 1
        now = self._clock.now()
        if req.path == "/lease":
            return HttpResponse(
                200, self._table.grant(float(query_value(req, "ttl_s", "10")), now).encode()
            )
        lease = req.path.rpartition("/")[2]
        return HttpResponse(200 if self._table.renew(lease, now) else 410)

    def _handle_watch(self, req: HttpRequest) -> HttpResponse:
        self.counts.watches += 1
        prefix = query_value(req, "prefix")
        after = int(query_value(req, "after", "0"))
        ends_at = self._clock.now() + float(query_value(req, "wait_s", "0"))
        self.counts.waiting += 1
        try:
            while not (keys := self._table.changed_after(prefix, after)):
                remaining_s = ends_at - self._clock.now()
                if remaining_s <= 0 or self.faults.down:
                    break
                self._changed.wait(remaining_s)
        finally:
            self.counts.waiting -= 1
        return HttpResponse(200, encode(WatchResponse(self._table.revision, keys)))
