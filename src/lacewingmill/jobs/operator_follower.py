"""Follows what the operator writes to the store: the configuration and the evacuations."""

import random
from collections.abc import Callable

import attrs

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import DocumentInvalid, HistoryLost, StoreUnavailable
from lacewingmill.jobs.model import QueueTable
from lacewingmill.jobs.ports import Record, TransactionStore
from lacewingmill.ports import Clock
from lacewingmill.retries import Backoff

__all__ = ["OperatorFollower", "OperatorKeys"]

# Share of the time within which a change must be in force after which a watch is repeated, in case
# its connection has failed silently. The rest is for the time-out of the call and for a read.
WATCH_SHARE = 0.7
RETRY_S = 0.2
MAX_RETRY_S = 0.8


@attrs.frozen
class OperatorKeys:
    """The operator's keys in the store.

    :param prefix: prefix of all of them.
    :param configuration: key of the configuration of queues and teams.
    :param evacuations: prefix of the keys that name evacuated failure domains.
    """

    prefix: str
    configuration: str
    evacuations: str


class OperatorFollower:
    """Keeps the newest configuration and the set of evacuated failure domains.

    A lower version of the configuration never replaces a higher one. ``synced_at`` is the time at
    which both were last known to be the newest, in seconds.

    :param decode: decodes a configuration; raises ``DocumentInvalid`` for a malformed one.
    :param in_force_s: time within which a change must be in force, in seconds.
    :param on_evacuated: called when the set of evacuated failure domains has changed.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        keys: OperatorKeys,
        decode: Callable[[bytes], QueueTable],
        in_force_s: float,
        on_evacuated: Callable[[], None],
        rng: random.Random,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._keys = keys
        self._decode = decode
        self._watch_wait_s = in_force_s * WATCH_SHARE
        self._on_evacuated = on_evacuated
        self._backoff = Backoff(RETRY_S, MAX_RETRY_S, rng)
        self._store_unavailable = False
        self._revision = 0  # up to which all changes are known; 0 when all must be read again
        self.table: QueueTable | None = None
        self.evacuated_domains: frozenset[str] = frozenset()
        self.synced_at = clock.now()

    def run(self) -> None:
        """Follow changes until killed."""
        self._revision = 0  # an error may have ended the earlier loop between a read and its use
        while True:
            try:
                self._follow()
            except HistoryLost:
                self._revision = 0
                self._clock.sleep(RETRY_S)  # the store may discard its history again soon
            except StoreUnavailable as exc:
                if not self._store_unavailable:
                    self._log.emit(LogEvent.STORE_UNAVAILABLE, reason=exc.message)
                self._store_unavailable = True
                self._revision = 0  # the lost answer may have contained changes
                self._clock.sleep(self._backoff.next_s())
                continue
            self._backoff.reset()
            if self._store_unavailable:
                self._log.emit(LogEvent.STORE_AVAILABLE)
            self._store_unavailable = False
            self.synced_at = self._clock.now()

    def load(self) -> None:
        """Read all keys of the operator.

        :raises StoreUnavailable: when the store does not answer.
        """
        known = self._revision
        records, revision = self._store.scan(self._keys.prefix)
        if self._is_outdated(known, revision):
            return
        domains = {self._domain(record.key) for record in records} - {""}
        self._set_evacuated(frozenset(domains))
        for record in records:
            self._apply_configuration(record)
        self._revision = revision

    def _follow(self) -> None:
        if not self._revision:
            self.load()
            return
        known = self._revision
        changes = self._store.watch(self._keys.prefix, after=known, wait_s=self._watch_wait_s)
        if self._is_outdated(known, changes.revision):
            return
        domains = set(self.evacuated_domains)
        for change in changes.changes:
            if change.record is None:
                domains.discard(self._domain(change.key))
                continue
            domains.add(self._domain(change.key))
            self._apply_configuration(change.record)
        self._set_evacuated(frozenset(domains - {""}))
        self._revision = changes.revision

    def _is_outdated(self, known: int, revision: int) -> bool:
        """Whether another read that ended meanwhile knows more than an answer of the store.

        :param known: revision that was known when the store was called.
        :param revision: revision up to which the answer is complete.
        """
        return self._revision != known and revision <= self._revision

    def _domain(self, key: str) -> str:
        """Return the failure domain whose evacuation a key requests; empty for another key."""
        prefix = self._keys.evacuations
        return key.removeprefix(prefix) if key.startswith(prefix) else ""

    def _set_evacuated(self, domains: frozenset[str]) -> None:
        if domains != self.evacuated_domains:
            self.evacuated_domains = domains
            self._on_evacuated()

    def _apply_configuration(self, record: Record) -> None:
        if record.key != self._keys.configuration:
            return
        try:
            table = self._decode(record.value)
        except DocumentInvalid as exc:
            self._log.emit(LogEvent.CATALOGUE_UNREADABLE, key=record.key, reason=exc.message)
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self._log.emit(LogEvent.CATALOGUE_IN_FORCE, version=table.version)
