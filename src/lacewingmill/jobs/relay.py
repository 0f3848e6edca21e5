"""A store that asks other VMs to carry a call out when it turns this VM away.

The store may reject or ignore some VMs while it serves others. Each write of this product is
conditional, so that a second VM may repeat one whose answer was lost.
"""

import random
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import (
    ConnectFailed,
    HistoryLost,
    LeaseEnded,
    StoreRefused,
    StoreUnavailable,
    TransactionConflict,
    TransportError,
)
from lacewingmill.jobs.keys import OWNER_KEY
from lacewingmill.jobs.ports import Changes, Lease, Record, Transaction, TransactionStore
from lacewingmill.jobs.relay_calls import (
    CALLS,
    CONFLICT,
    HISTORY_LOST,
    LEASE_ENDED,
    PATHS,
    REFUSED,
    UNANSWERED,
    EndCall,
    GrantCall,
    ReadCall,
    Reading,
    RenewCall,
    ScanCall,
    Scanned,
    WatchCall,
)
from lacewingmill.ports import Clock

__all__ = ["RelayedStore", "StoreRelay"]

# How long a way that failed is left alone before one call tries it again.
REST_S = 0.5
PEER_REST_S = 3.0
# A VM that relayed a call so lately is trusted with a write at once.
PEER_TRUST_S = 2.0
# Most VMs asked for one call; when the store is down for all, more would not help.
PEERS_ASKED = 3
# Above the store's own timeout, which the other VM waits for.
RELAY_TIMEOUT_S = 1.0
# A VM that can relay reads the store in milliseconds, or in a third of a second from a slow store.
PROBE_TIMEOUT_S = 0.5
# No further VM is asked after so long: callers wait about three seconds, and a refusal that comes
# after a quarter of that leaves time to come back.
ASKING_S = 0.75
T = TypeVar("T")


class RelayedStore:
    """The store, directly or through another VM.

    :param direct: the store itself.
    :param peers: returns ``host:port`` of the other VMs.
    """

    def __init__(
        self,
        direct: TransactionStore,
        caller: HttpClient,
        clock: Clock,
        log: EventLog,
        peers: Callable[[], list[str]],
        rng: random.Random,
    ):
        self._direct = direct
        self._caller = caller
        self._clock = clock
        self._log = log
        self._peers = peers
        self._rng = rng
        self._direct_rests_until = 0.0
        self._relays_rest_until = 0.0
        self._peer_rests_until: dict[str, float] = {}
        self._peer_served_at: dict[str, float] = {}
        self._answered_at = clock.now()
        self._suspect = False
        self._helper = ""
        self._relaying = False

    @property
    def reached(self) -> bool:
        """Whether the last direct call was answered."""
        return self._clock.now() >= self._direct_rests_until

    @property
    def away_s(self) -> float:
        """How long no call has been answered, directly or not, in seconds; 0 while they are."""
        if self.reached and self._clock.now() >= self._relays_rest_until:
            return 0.0
        return self._clock.now() - self._answered_at

    def get(self, key: str) -> Record | None:
        """Return a key, or ``None``."""
        return self.read(key)[0]

    def read(self, key: str) -> tuple[Record | None, int]:
        """Return a key, and a revision from which a watch of it misses nothing."""
        found = self._call(lambda: Reading(*self._direct.read(key)), ReadCall(key), Reading)
        return found.record, found.revision

    def scan(self, prefix: str) -> tuple[tuple[Record, ...], int]:
        """Return all keys under a prefix, and a revision from which a watch misses nothing."""
        found = self._call(lambda: Scanned(*self._direct.scan(prefix)), ScanCall(prefix), Scanned)
        return found.records, found.revision

    def watch(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision."""
        return self._call(
            lambda: self._direct.watch(prefix, after=after, wait_s=wait_s),
            WatchCall(prefix, after, wait_s),
            Changes,
        )

    def commit(self, transaction: Transaction) -> int:
        """Carry a transaction out and return its revision."""
        if self._suspect:
            self._probe()
        return self._call(lambda: self._direct.commit(transaction), transaction, int)

    def grant(self, ttl_s: float) -> Lease:
        """Return a new lease."""
        return self._call(lambda: self._direct.grant(ttl_s), GrantCall(ttl_s), Lease)

    def renew(self, lease: int) -> None:
        """Renew a lease."""
        self._call(lambda: self._direct.renew(lease), RenewCall(lease), type(None))

    def end(self, lease: int) -> None:
        """End a lease now; its keys vanish."""
        self._call(lambda: self._direct.end(lease), EndCall(lease), type(None))

    def _call(self, direct: Callable[[], T], message: Any, kind: type[T]) -> T:
        """Try the store, then other VMs.

        :raises StoreRefused: when certainly nothing was done.
        :raises StoreUnavailable: when the call may have taken effect.
        """
        if not self.reached:
            failure = StoreRefused("the store did not serve this VM a moment ago")
            return self._call_peers(message, kind, failure)
        try:
            answer = direct()
        except StoreRefused as exc:
            self.rest(suspect=False)
            return self._call_peers(message, kind, exc)
        except StoreUnavailable as exc:
            if not self.unanswered(message):
                raise
            return self._call_peers(message, kind, exc)
        self._note(relaying=False)
        return answer

    def _call_peers(self, message: Any, kind: type[T], failure: StoreUnavailable) -> T:
        """Ask other VMs to carry a call out.

        :param failure: why the store itself did not; unless it refused, the call may have taken
            effect already.
        """
        failures = [failure]
        began_at = self._clock.now()
        if self._clock.now() >= self._relays_rest_until:
            for peer in self._choose_peers():
                if self._clock.now() - began_at > ASKING_S:
                    break
                try:
                    answer = self._relay_safely(peer, message, kind)
                except StoreUnavailable as exc:
                    failures.append(exc)
                    continue
                self._helper = peer
                self._note(relaying=True)
                return answer
            self._relays_rest_until = self._clock.now() + REST_S
        refused = all(isinstance(exc, StoreRefused) for exc in failures)
        error = StoreRefused if refused else StoreUnavailable
        reasons = "; ".join(str(exc) for exc in failures)
        raise error(f"neither the store nor another VM answers: {reasons}", step="store")

    def _probe(self) -> None:
        """Read something before a write, after a call without an answer.

        A write without an answer leaves its caller in doubt; a read does not.

        :raises StoreRefused: when the store does not answer; the write was not sent.
        """
        try:
            self.read(OWNER_KEY)
        except StoreUnavailable as exc:
            raise StoreRefused(exc.message, step="probe") from exc

    def unanswered(self, message: Any) -> bool:
        """Take in that the store did not answer a call; return whether it is away.

        Watches alone may be unanswered for a while, so a read tells.
        """
        away = not (isinstance(message, WatchCall) and self._reads())
        if away:
            self.rest(suspect=True)
        return away

    def _reads(self) -> bool:
        try:
            self._direct.read(OWNER_KEY)
        except StoreUnavailable:
            return False
        return True

    def rest(self, *, suspect: bool) -> None:
        """Leave the store alone for a moment.

        :param suspect: whether it did not answer at all.
        """
        self._suspect = self._suspect or suspect
        self._direct_rests_until = self._clock.now() + REST_S

    def _note(self, *, relaying: bool) -> None:
        self._answered_at = self._clock.now()
        self._suspect = False
        if relaying is self._relaying:
            return
        self._relaying = relaying
        self._log.emit(LogEvent.STORE_RELAYED, relaying=relaying, through=self._helper)

    def _choose_peers(self) -> list[str]:
        now = self._clock.now()
        peers = [peer for peer in self._peers() if self._peer_rests_until.get(peer, 0.0) <= now]
        self._rng.shuffle(peers)
        peers.sort(key=lambda peer: (peer != self._helper, self._peer_rests_until.get(peer, 0.0)))
        return peers[:PEERS_ASKED]

    def _relay_safely(self, peer: str, message: Any, kind: type[T]) -> T:
        """Relay a call, but a write only through a VM that has just carried a call out.

        A write that a VM does not answer leaves its caller in doubt; a read does not.
        """
        served_at = self._peer_served_at.get(peer, float("-inf"))
        if self._clock.now() - served_at < PEER_TRUST_S:
            return self._relay(peer, message, kind, RELAY_TIMEOUT_S)
        if not isinstance(message, Transaction):
            return self._relay(peer, message, kind, PROBE_TIMEOUT_S)
        try:
            self._relay(peer, ReadCall(OWNER_KEY), Reading, PROBE_TIMEOUT_S)
        except StoreUnavailable as exc:
            raise StoreRefused(exc.message, step="probe", peer=peer) from exc
        return self._relay(peer, message, kind, RELAY_TIMEOUT_S)

    def _relay(self, peer: str, message: Any, kind: type[T], timeout_s: float) -> T:
        timeout_s += getattr(message, "wait_s", 0.0)
        try:
            reply = self._caller.call(
                peer, "POST", PATHS[type(message)], body=encode(message), timeout_s=timeout_s
            )
        except ConnectFailed as exc:
            self._peer_rests_until[peer] = self._clock.now() + PEER_REST_S
            raise StoreRefused(exc.message, step="relay", peer=peer) from exc
        except TransportError as exc:
            self._peer_rests_until[peer] = self._clock.now() + PEER_REST_S
            raise StoreUnavailable(exc.message, step="relay", peer=peer) from exc
        if reply.status == CONFLICT:
            revisions = decode(reply.body, dict[str, int])
            raise TransactionConflict("a key is at another revision", revisions=revisions)
        if reply.status == LEASE_ENDED:
            raise LeaseEnded("the lease has ended", step="relay", peer=peer)
        if reply.status == HISTORY_LOST:
            raise HistoryLost("changes are gone", step="relay", peer=peer)
        if reply.status == REFUSED:
            raise StoreRefused("the other VM is refused too", step="relay", peer=peer)
        if reply.status != 200:
            raise StoreUnavailable(f"answered {reply.status}", step="relay", peer=peer)
        self._peer_served_at[peer] = self._clock.now()
        try:
            return decode(reply.body, kind)
        except msgspec.DecodeError as exc:
            raise StoreUnavailable(f"answer: {exc}", step="relay", peer=peer) from exc


class StoreRelay:
    """Carries calls out for other VMs, directly only.

    :param direct: the store itself.
    :param store: the store as this VM uses it; it learns when the store does not answer.
    """

    def __init__(self, direct: TransactionStore, store: RelayedStore):
        self._direct = direct
        self._store = store

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer a call of another VM."""
        try:
            message = decode(req.body, CALLS[req.path])
        except msgspec.DecodeError as exc:
            return HttpResponse(400, str(exc).encode(), "text/plain")
        if not self._store.reached:
            return HttpResponse(REFUSED)
        try:
            return HttpResponse(200, encode(self._carry_out(message)))
        except TransactionConflict as exc:
            return HttpResponse(CONFLICT, encode(exc.revisions))
        except LeaseEnded:
            return HttpResponse(LEASE_ENDED)
        except HistoryLost:
            return HttpResponse(HISTORY_LOST)
        except StoreRefused:
            self._store.rest(suspect=False)
            return HttpResponse(REFUSED)
        except StoreUnavailable:
            self._store.unanswered(message)
            return HttpResponse(UNANSWERED)

    def _carry_out(self, message: Any) -> Any:
        match message:
            case ReadCall(key):
                return Reading(*self._direct.read(key))
            case ScanCall(prefix):
                return Scanned(*self._direct.scan(prefix))
            case WatchCall(prefix, after, wait_s):
                return self._direct.watch(prefix, after=after, wait_s=wait_s)
            case GrantCall(ttl_s):
                return self._direct.grant(ttl_s)
            case RenewCall(lease):
                return self._direct.renew(lease)
            case EndCall(lease):
                return self._direct.end(lease)
            case _:
                return self._direct.commit(message)
