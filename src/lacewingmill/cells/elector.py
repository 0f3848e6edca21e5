"""Carries ownership decisions out: elections in the store, succession, hand-over."""

from collections.abc import Callable

import attrs

from lacewingmill.cells.owner_signal import OwnerSignal
from lacewingmill.cells.ownership import (
    OwnershipFacts,
    OwnershipStep,
    decide_ownership,
)
from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import StoreConflict, StoreUnavailable
from lacewingmill.membership.view import FleetView
from lacewingmill.models import Fence, OwnerRecord
from lacewingmill.ports import Clock, Store
from lacewingmill.store_keys import EPOCH_PREFIX, OWNER_PREFIX

__all__ = ["Elector"]

OWNER_LEASE_S = 2.0
RENEW_EVERY_S = 0.5
STEP_S = 0.1


class Elector:
    """Keeps one cell owned.

    :param cell: name of the cell.
    :param vm: name of this VM.
    :param control: address at which other VMs reach this one.
    :param take: called with a fence when this VM becomes owner; returns whether it could recover.
    :param leave: called when it is owner no more.
    """

    def __init__(
        self,
        cell: str,
        vm: str,
        control: str,
        store: Store,
        clock: Clock,
        log: EventLog,
        fleet: FleetView,
        take: Callable[[Fence], bool],
        leave: Callable[[], None],
    ):
        self._key = OWNER_PREFIX + cell
        self._epoch_key = EPOCH_PREFIX + cell
        self._vm = vm
        self._control = control
        self._store = store
        self._clock = clock
        self._log = log
        self._fleet = fleet
        self._take = take
        self._leave = leave
        self._own: OwnerRecord | None = None
        self._stored: OwnerRecord | None = None
        self._stored_revision = 0
        self._heard: OwnerRecord | None = None
        self._owner_heard_at = clock.now()
        self._absent_since: float | None = clock.now()
        self._store_away_since: float | None = None
        self._lease = ""
        self._renewed_at = 0.0
        self.eligible = False
        self.signal = OwnerSignal()

    @property
    def key(self) -> str:
        """The store key of the owner record."""
        return self._key

    @property
    def owner(self) -> OwnerRecord | None:
        """The owner as far as this VM knows."""
        return self._own or self._heard

    @property
    def is_owner(self) -> bool:
        """Whether this VM owns the cell."""
        return self._own is not None

    def observe_owner(self, record: OwnerRecord | None, from_vm: str) -> None:
        """Take in an owner record from a peer's heartbeat."""
        if record is None:
            return
        if self._heard is None or record.fence > self._heard.fence:
            self._heard = record
            self._owner_heard_at = self._clock.now()
            self.signal.move(self.owner)
        if record.vm == from_vm and record == self._heard:
            self._owner_heard_at = self._clock.now()

    def read_owner_record(self) -> None:
        """Read the owner record after the watch saw it change.

        :raises StoreUnavailable: when the store does not answer.
        """
        entry = self._store.get(self._key)
        self._store_away_since = None
        if entry is None:
            self._stored, self._stored_revision = None, 0
            if self._absent_since is None:
                self._absent_since = self._clock.now()
            return
        self._stored, self._stored_revision = decode(entry.value, OwnerRecord), entry.revision
        self._absent_since = None
        self.observe_owner(self._stored, "")

    def on_store_unavailable(self) -> None:
        """The store did not answer."""
        if self._store_away_since is None:
            self._store_away_since = self._clock.now()

    def on_store_available(self) -> None:
        """The store answers."""
        self._store_away_since = None

    def run(self) -> None:
        """Decide and act for ever."""
        stepped_at = self._clock.now()
        while True:
            if self._clock.now() - stepped_at > OWNER_LEASE_S:
                self._reread()  # this process was paused, and another may own the cell by now
            stepped_at = self._clock.now()
            self._step()
            self._clock.sleep(STEP_S)

    def hand_over(self) -> None:
        """Give the cell up at a planned stop, so that another VM takes it at once."""
        self.eligible = False
        if self._own is None:
            return
        self._give_up()
        self._log.emit(LogEvent.CELL_HANDED_OVER)
        try:
            self._store.delete(self._key, expected=self._stored_revision)
        except (StoreConflict, StoreUnavailable):
            return  # the lease lapses by itself

    def step_down(self) -> None:
        """A worker has accepted a higher fence."""
        if self._own is not None:
            self._give_up()

    def _give_up(self) -> None:
        self._own = None
        self._leave()
        self.signal.move(self.owner)

    def _facts(self) -> OwnershipFacts:
        return OwnershipFacts(
            self._vm,
            self._own,
            self._stored,
            self._heard,
            self._owner_heard_at,
            self._owner_leaving(),
            self._absent_since,
            self._store_away_since,
            self._fleet.entry_rank(self._vm, exclude=self._heard.vm if self._heard else ""),
            self.eligible,
        )

    def _owner_leaving(self) -> bool:
        state = self._fleet.peer_state(self._heard.vm) if self._heard is not None else None
        return state is not None and state.leaving

    def _step(self) -> None:
        decision = decide_ownership(self._facts(), self._clock.now())
        try:
            if decision.step is OwnershipStep.STEP_DOWN:
                self._log.emit(LogEvent.CELL_LOST, to=self._heard.vm)
                self.step_down()
            elif decision.step is OwnershipStep.ELECT:
                self._elect()
            elif decision.step is OwnershipStep.SUCCEED:
                self._become_owner(decision.fence, LogEvent.CELL_SUCCEEDED)
            elif decision.step is OwnershipStep.REPUBLISH:
                self._publish()
            elif self._own is not None:
                self._renew()
        except StoreUnavailable:
            self.on_store_unavailable()
        except StoreConflict:
            self._reread()

    def _reread(self) -> None:
        try:
            self.read_owner_record()
        except StoreUnavailable:
            self.on_store_unavailable()

    def _elect(self) -> None:
        """Take the next epoch by compare-and-swap, then publish the owner record."""
        entry = self._store.get(self._epoch_key)
        last = decode(entry.value, OwnerRecord).fence.epoch if entry else 0
        if self._heard is not None:
            last = max(last, self._heard.fence.epoch)
        record = OwnerRecord(self._vm, self._control, Fence(last + 1, 0))
        self._store.put(self._epoch_key, encode(record), expected=entry.revision if entry else 0)
        if self._become_owner(record.fence, LogEvent.CELL_TAKEN):
            self._publish()

    def _become_owner(self, fence: Fence, event: LogEvent) -> bool:
        self._own = OwnerRecord(self._vm, self._control, fence)
        self._heard = self._own
        if not self._take(fence):
            self._own = None
            return False
        self.signal.move(self._own)
        self._log.emit(event, fence=attrs.astuple(fence))
        return True

    def _publish(self) -> None:
        """Write the owner record under a fresh lease, replacing any lower one."""
        if self._stored is not None and self._stored.fence > self._own.fence:
            self.observe_owner(self._stored, "")
            return
        self._lease = self._store.grant_lease(OWNER_LEASE_S)
        self._stored_revision = self._store.put(
            self._key, encode(self._own), expected=self._stored_revision, lease=self._lease
        )
        self._stored = self._own
        self._absent_since = None
        self._renewed_at = self._clock.now()

    def _renew(self) -> None:
        now = self._clock.now()
        if not self._lease or now - self._renewed_at < RENEW_EVERY_S:
            return
        self._renewed_at = now
        if not self._store.renew_lease(self._lease):
            self._reread()
