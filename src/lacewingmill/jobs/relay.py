"""A client of the store that relays calls through other VMs while the store does not serve this VM.

The store may reject or ignore some VMs while it serves others. Every write is conditional, so a
second VM may safely repeat one whose answer was lost.
"""

import math
import random
from collections.abc import Callable
from typing import Any, TypeVar

import attrs

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import (
    ConnectFailed,
    HistoryLost,
    LeaseEnded,
    MessageInvalid,
    StoreRefused,
    StoreUnavailable,
    TransactionConflict,
    TransportError,
)
from lacewingmill.jobs.keys import OWNER_KEY
from lacewingmill.jobs.ports import Changes, Lease, Record, Transaction, TransactionStore
from lacewingmill.jobs.relay_calls import (
    CALL_TYPES,
    CONFLICT,
    HISTORY_LOST,
    LEASE_ENDED,
    PATHS,
    REFUSED,
    UNANSWERED,
    EndCall,
    GrantCall,
    ReadCall,
    ReadResult,
    RenewCall,
    ScanCall,
    ScanResult,
    WatchCall,
)
from lacewingmill.ports import Clock
from lacewingmill.retries import Backoff

__all__ = ["RelayedStore", "StoreRelay"]

# Time after a failure in which relaying is not tried again, and the store at first.
BACKOFF_S = 0.5
# While the store stays unavailable, the time grows to this. Clients wait about 3 s.
MAX_BACKOFF_S = 1.0
PEER_BACKOFF_S = 3.0
# After this time without an answer, a write is probed. It is shorter than the time for which a
# client can wait for a refusal and still come back.
VERIFIED_S = 1.0
# A VM that relayed a call within this time gets a write without a probe before it.
PEER_VERIFIED_S = 2.0
# Maximum number of VMs tried for one call. When the store is down for all VMs, more do not help.
MAX_PEERS = 3
# Longer than the timeout for the store, which the other VM may have to wait for.
RELAY_TIMEOUT_S = 1.0
# A VM that can relay reads the store within milliseconds, or within 0.33 s when the store is slow.
PROBE_TIMEOUT_S = 0.5
# No further VM is tried after this time. Clients wait about 3 s, and a refusal after a quarter of
# that leaves them time to retry.
RELAY_BUDGET_S = 0.75
# A probe takes a few milliseconds, and some more through another VM.
MIN_PROBE_S = 0.05
T = TypeVar("T")


@attrs.frozen
class _ProbeLimits:
    """Time limits of a read that finds out whether the store answers.

    :param timeout_s: time limit of each call, in seconds.
    :param relay_until: time after which no further VM is tried, in seconds.
    """

    timeout_s: float
    relay_until: float


class RelayedStore:
    """The store, called directly or through another VM.

    :param direct: client that calls the store directly.
    :param peers: returns ``host:port`` of the other VMs.
    :param rng: chooses among the other VMs.
    """

    def __init__(
        self,
        direct: TransactionStore,
        http_client: HttpClient,
        clock: Clock,
        log: EventLog,
        peers: Callable[[], list[str]],
        rng: random.Random,
    ):
        self._direct = direct
        self._http_client = http_client
        self._clock = clock
        self._log = log
        self._peers = peers
        self._rng = rng
        self._direct_retry_at = 0.0
        self._relay_retry_at = 0.0
        self._peer_retry_at: dict[str, float] = {}
        self._peer_relayed_at: dict[str, float] = {}
        self._answered_at = clock.now()
        self._probe_writes = False
        self._last_relay = ""
        self._relaying = False
        self._backoff = Backoff(BACKOFF_S, MAX_BACKOFF_S, rng)

    @property
    def direct_available(self) -> bool:
        """Whether the store may be called directly, that is, no back-off is in effect."""
        return self._clock.now() >= self._direct_retry_at

    @property
    def unavailable_s(self) -> float:
        """Time since the last answered call, in seconds; 0 while no back-off is in effect."""
        if self.direct_available and self._clock.now() >= self._relay_retry_at:
            return 0.0
        return self._clock.now() - self._answered_at

    def get(self, key: str) -> Record | None:
        """Return the record of a key; ``None`` for an absent key."""
        return self.read(key)[0]

    def read(self, key: str) -> tuple[Record | None, int]:
        """Return the record of a key, and a revision from which a watch of it misses no change."""
        result = self._call(lambda: ReadResult(*self._direct.read(key)), ReadCall(key), ReadResult)
        return result.record, result.revision

    def scan(self, prefix: str) -> tuple[tuple[Record, ...], int]:
        """Return all records under a prefix, and a revision from which a watch misses no change."""
        result = self._call(
            lambda: ScanResult(*self._direct.scan(prefix)), ScanCall(prefix), ScanResult
        )
        return result.records, result.revision

    def watch(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes under a prefix after a revision."""
        return self._call(
            lambda: self._direct.watch(prefix, after=after, wait_s=wait_s),
            WatchCall(prefix, after, wait_s),
            Changes,
        )

    def commit(self, transaction: Transaction, answer_by: float = math.inf) -> int:
        """Execute a transaction and return its revision.

        A write without an answer may have taken effect, so its client must not be told that it has
        not. Unless the store has answered a moment ago, a read finds out whether it does.

        :param answer_by: time by which the caller needs to know that nothing was written, in
            seconds.
        """
        if self._probe_writes or self._clock.now() - self._answered_at > VERIFIED_S:
            self._probe(answer_by)
        return self._call(lambda: self._direct.commit(transaction), transaction, int)

    def grant(self, ttl_s: float) -> Lease:
        """Create a lease."""
        return self._call(lambda: self._direct.grant(ttl_s), GrantCall(ttl_s), Lease)

    def renew(self, lease: int) -> None:
        """Renew a lease."""
        self._call(lambda: self._direct.renew(lease), RenewCall(lease), type(None))

    def end(self, lease: int) -> None:
        """End a lease now; its keys are deleted."""
        self._call(lambda: self._direct.end(lease), EndCall(lease), type(None))

    def _call(
        self,
        direct: Callable[[], T],
        message: Any,
        result_type: type[T],
        limits: _ProbeLimits | None = None,
    ) -> T:
        """Call the store directly, or through another VM when that fails.

        :param direct: makes the direct call.
        :param message: the same call as a message for another VM.
        :param limits: time limits of a probe; ``None`` for any other call.
        :raises StoreRefused: when certainly nothing was written.
        :raises StoreUnavailable: when a write may have taken effect.
        """
        if not self.direct_available:
            failure = StoreRefused("a direct call to the store failed a moment ago")
            return self._call_peers(message, result_type, failure, limits)
        try:
            answer = direct()
        except StoreRefused as exc:
            self.back_off(unanswered=False)
            return self._call_peers(message, result_type, exc, limits)
        except StoreUnavailable as exc:
            if not self.record_unanswered(message):
                raise
            return self._call_peers(message, result_type, exc, limits)
        self._backoff.reset()
        self._record_answer(relaying=False)
        return answer

    def _call_peers(
        self,
        message: Any,
        result_type: type[T],
        failure: StoreUnavailable,
        limits: _ProbeLimits | None,
    ) -> T:
        """Relay a call through another VM.

        :param failure: the failure of the direct call; unless it is a refusal, a write may have
            taken effect already.
        :param limits: time limits of a probe; ``None`` for any other call.
        """
        failures = [failure]
        if limits is None:
            limits = _ProbeLimits(PROBE_TIMEOUT_S, self._clock.now() + RELAY_BUDGET_S)
        if self._clock.now() >= self._relay_retry_at:
            for peer in self._choose_peers():
                if self._clock.now() > limits.relay_until:
                    break
                try:
                    answer = self._relay_verified(peer, message, result_type, limits.timeout_s)
                except StoreUnavailable as exc:
                    failures.append(exc)
                    continue
                self._last_relay = peer
                self._record_answer(relaying=True)
                return answer
            self._relay_retry_at = self._clock.now() + BACKOFF_S
        refused = all(isinstance(exc, StoreRefused) for exc in failures)
        error = StoreRefused if refused else StoreUnavailable
        reasons = "; ".join(str(exc) for exc in failures)
        raise error(f"neither the store nor another VM answers: {reasons}", step="store")

    def _probe(self, answer_by: float) -> None:
        """Check with a read that the store answers, before a write is sent.

        The caller's time is divided between the store and another VM.

        :raises StoreRefused: when the store does not answer; the write was not sent.
        """
        now = self._clock.now()
        remaining_s = answer_by - now
        if remaining_s < MIN_PROBE_S:
            raise StoreRefused("no time to find out whether the store answers", step="probe")
        timeout_s = min(PROBE_TIMEOUT_S, remaining_s / 2)
        limits = _ProbeLimits(timeout_s, now + min(RELAY_BUDGET_S, 2 * timeout_s))
        try:
            self._call(
                lambda: ReadResult(*self._direct.read(OWNER_KEY, timeout_s=timeout_s)),
                ReadCall(OWNER_KEY),
                ReadResult,
                limits,
            )
        except StoreUnavailable as exc:
            raise StoreRefused(exc.message, step="probe") from exc

    def record_unanswered(self, message: Any) -> bool:
        """Record that the store did not answer a call; return whether it is unavailable.

        The store may leave only watches unanswered for a while, so a read is tried after a watch.
        """
        unavailable = not (isinstance(message, WatchCall) and self._answers_reads())
        if unavailable:
            self.back_off(unanswered=True)
        return unavailable

    def _answers_reads(self) -> bool:
        try:
            self._direct.read(OWNER_KEY)
        except StoreUnavailable:
            return False
        return True

    def back_off(self, *, unanswered: bool) -> None:
        """Make no direct calls for a while.

        :param unanswered: whether the failed call got no answer; writes are then probed until
            another call is answered.
        """
        self._probe_writes = self._probe_writes or unanswered
        if self.direct_available:  # calls that fail together count as one failure
            self._direct_retry_at = self._clock.now() + self._backoff.next_s()

    def _record_answer(self, *, relaying: bool) -> None:
        self._answered_at = self._clock.now()
        self._probe_writes = False
        if relaying is self._relaying:
            return
        self._relaying = relaying
        self._log.emit(LogEvent.STORE_RELAYED, relaying=relaying, through=self._last_relay)

    def _choose_peers(self) -> list[str]:
        now = self._clock.now()
        peers = [peer for peer in self._peers() if self._peer_retry_at.get(peer, 0.0) <= now]
        self._rng.shuffle(peers)
        peers.sort(key=lambda peer: (peer != self._last_relay, self._peer_retry_at.get(peer, 0.0)))
        return peers[:MAX_PEERS]

    def _relay_verified(
        self, peer: str, message: Any, result_type: type[T], probe_timeout_s: float
    ) -> T:
        """Relay a call, but a write only through a VM that has just relayed another call.

        A write that gets no answer may have taken effect; a read without an answer does no harm.
        """
        relayed_at = self._peer_relayed_at.get(peer, float("-inf"))
        if self._clock.now() - relayed_at < PEER_VERIFIED_S:
            return self._relay(peer, message, result_type, RELAY_TIMEOUT_S)
        if not isinstance(message, Transaction):
            return self._relay(peer, message, result_type, probe_timeout_s)
        try:
            self._relay(peer, ReadCall(OWNER_KEY), ReadResult, probe_timeout_s)
        except StoreUnavailable as exc:
            raise StoreRefused(exc.message, step="probe", peer=peer) from exc
        return self._relay(peer, message, result_type, RELAY_TIMEOUT_S)

    def _relay(self, peer: str, message: Any, result_type: type[T], timeout_s: float) -> T:
        timeout_s += getattr(message, "wait_s", 0.0)
        try:
            reply = self._http_client.call(
                peer, "POST", PATHS[type(message)], body=encode(message), timeout_s=timeout_s
            )
        except ConnectFailed as exc:
            self._peer_retry_at[peer] = self._clock.now() + PEER_BACKOFF_S
            raise StoreRefused(exc.message, step="relay", peer=peer) from exc
        except TransportError as exc:
            self._peer_retry_at[peer] = self._clock.now() + PEER_BACKOFF_S
            raise StoreUnavailable(exc.message, step="relay", peer=peer) from exc
        if reply.status == CONFLICT:
            revisions = decode(reply.body, dict[str, int])
            raise TransactionConflict("a key has another revision", revisions=revisions)
        if reply.status == LEASE_ENDED:
            raise LeaseEnded("the lease has ended", step="relay", peer=peer)
        if reply.status == HISTORY_LOST:
            raise HistoryLost("the store has discarded changes", step="relay", peer=peer)
        if reply.status == REFUSED:
            raise StoreRefused("the other VM is refused too", step="relay", peer=peer)
        if reply.status != 200:
            raise StoreUnavailable(f"answered {reply.status}", step="relay", peer=peer)
        self._peer_relayed_at[peer] = self._clock.now()
        try:
            return decode(reply.body, result_type)
        except MessageInvalid as exc:
            raise StoreUnavailable(f"answer: {exc}", step="relay", peer=peer) from exc


class StoreRelay:
    """Executes store calls for other VMs, by direct calls only.

    :param direct: client that calls the store directly.
    :param store: the store as this VM uses it; failures of relayed calls make it back off too.
    """

    def __init__(self, direct: TransactionStore, store: RelayedStore):
        self._direct = direct
        self._store = store

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Execute a call of another VM and return the response."""
        try:
            message = decode(req.body, CALL_TYPES[req.path])
        except MessageInvalid as exc:
            return HttpResponse(400, str(exc).encode(), "text/plain")
        if not self._store.direct_available:
            return HttpResponse(REFUSED)
        try:
            return HttpResponse(200, encode(self._execute(message)))
        except TransactionConflict as exc:
            return HttpResponse(CONFLICT, encode(exc.revisions))
        except LeaseEnded:
            return HttpResponse(LEASE_ENDED)
        except HistoryLost:
            return HttpResponse(HISTORY_LOST)
        except StoreRefused:
            self._store.back_off(unanswered=False)
            return HttpResponse(REFUSED)
        except StoreUnavailable:
            self._store.record_unanswered(message)
            return HttpResponse(UNANSWERED)

    def _execute(self, message: Any) -> Any:
        match message:
            case ReadCall(key):
                return ReadResult(*self._direct.read(key))
            case ScanCall(prefix):
                return ScanResult(*self._direct.scan(prefix))
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
