"""Executes ownership decisions: election in the store, succession, renewal and hand-over."""

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
from lacewingmill.exceptions import MessageInvalid, StoreConflict, StoreUnavailable
from lacewingmill.membership.view import FleetView
from lacewingmill.models import Fence, OwnerRecord
from lacewingmill.ports import Clock, Store, StoreEntry
from lacewingmill.store_keys import EPOCH_PREFIX, OWNER_PREFIX

__all__ = ["Elector"]

OWNER_LEASE_S = 2.0
RENEW_INTERVAL_S = 0.5
STEP_INTERVAL_S = 0.1


class Elector:
    """Takes part in the election of a cell's owner.

    :param cell: name of the cell.
    :param vm: name of this VM.
    :param control: address at which other VMs reach this one.
    :param take_over: called with a fence when this VM becomes owner; returns whether it
        recovered the cell.
    :param on_lost: called when this VM stops being the owner.
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
        take_over: Callable[[Fence], bool],
        on_lost: Callable[[], None],
    ):
        self._key = OWNER_PREFIX + cell
        self._epoch_key = EPOCH_PREFIX + cell
        self._vm = vm
        self._control = control
        self._store = store
        self._clock = clock
        self._log = log
        self._fleet = fleet
        self._take_over = take_over
        self._on_lost = on_lost
        self._own: OwnerRecord | None = None
        self._stored: OwnerRecord | None = None
        self._stored_revision = 0
        self._latest: OwnerRecord | None = None
        self._owner_seen_at = clock.now()
        self._absent_since: float | None = clock.now()
        self._store_down_since: float | None = None
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
        """The record of the owner as known to this VM; ``None`` while none is known."""
        return self._own or self._latest

    @property
    def is_owner(self) -> bool:
        """Whether this VM owns the cell."""
        return self._own is not None

    def observe_owner(self, record: OwnerRecord | None, from_vm: str) -> None:
        """Process an owner record received from a peer or read from the store.

        :param from_vm: the VM whose heartbeat carried the record; empty for the store.
        """
        if record is None:
            return
        if self._latest is None or record.fence > self._latest.fence:
            self._latest = record
            self._owner_seen_at = self._clock.now()
            self.signal.set_owner(self.owner)
        if record.vm == from_vm and record == self._latest:
            self._owner_seen_at = self._clock.now()

    def read_owner_record(self) -> None:
        """Read the owner record from the store.

        :raises StoreUnavailable: when the store does not answer.
        """
        entry = self._store.get(self._key)
        self._store_down_since = None
        self._stored = self._decode_record(entry) if entry is not None else None
        self._stored_revision = entry.revision if entry is not None else 0
        if self._stored is None:
            if self._absent_since is None:
                self._absent_since = self._clock.now()
            return
        self._absent_since = None
        self.observe_owner(self._stored, "")

    def _decode_record(self, entry: StoreEntry) -> OwnerRecord | None:
        """Return the stored owner; an unreadable record counts as absent, and is replaced."""
        try:
            return decode(entry.value, OwnerRecord)
        except MessageInvalid as exc:
            self._log.emit(LogEvent.CELL_OWNER_UNREADABLE, key=self._key, reason=exc.message)
            return None

    def on_store_unavailable(self) -> None:
        """Record that the store does not answer."""
        if self._store_down_since is None:
            self._store_down_since = self._clock.now()

    def on_store_available(self) -> None:
        """Record that the store answers."""
        self._store_down_since = None

    def run(self) -> None:
        """Decide and act in an endless loop."""
        stepped_at = self._clock.now()
        while True:
            if self._clock.now() - stepped_at > OWNER_LEASE_S:
                self._reread_owner_record()  # a paused process may have been replaced as owner
            stepped_at = self._clock.now()
            self._step()
            self._clock.sleep(STEP_INTERVAL_S)

    def hand_over(self) -> None:
        """Give up ownership at a planned stop, so that another VM can take over at once."""
        self.eligible = False
        if self._own is None:
            return
        self._release_ownership()
        self._log.emit(LogEvent.CELL_HANDED_OVER)
        try:
            self._store.delete(self._key, expected=self._stored_revision)
        except (StoreConflict, StoreUnavailable):
            return  # the lease expires without further action

    def step_down(self) -> None:
        """Give up ownership because another VM holds a higher fence."""
        if self._own is not None:
            self._release_ownership()

    def _release_ownership(self) -> None:
        self._own = None
        self._on_lost()
        self.signal.set_owner(self.owner)

    def _facts(self) -> OwnershipFacts:
        return OwnershipFacts(
            self._vm,
            self._own,
            self._stored,
            self._latest,
            self._owner_seen_at,
            self._owner_leaving(),
            self._absent_since,
            self._store_down_since,
            self._fleet.entry_rank(self._vm, exclude=self._latest.vm if self._latest else ""),
            self.eligible,
        )

    def _owner_leaving(self) -> bool:
        state = self._fleet.peer_state(self._latest.vm) if self._latest is not None else None
        return state is not None and state.leaving

    def _step(self) -> None:
        decision = decide_ownership(self._facts(), self._clock.now())
        try:
            if decision.step is OwnershipStep.STEP_DOWN:
                self._log.emit(LogEvent.CELL_LOST, to=self._latest.vm)
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
            self._reread_owner_record()

    def _reread_owner_record(self) -> None:
        try:
            self.read_owner_record()
        except StoreUnavailable:
            self.on_store_unavailable()

    def _elect(self) -> None:
        """Claim the next epoch by compare-and-swap, then publish the owner record."""
        entry = self._store.get(self._epoch_key)
        last_epoch = decode(entry.value, OwnerRecord).fence.epoch if entry else 0
        if self._latest is not None:
            last_epoch = max(last_epoch, self._latest.fence.epoch)
        record = OwnerRecord(self._vm, self._control, Fence(last_epoch + 1, 0))
        self._store.put(self._epoch_key, encode(record), expected=entry.revision if entry else 0)
        if self._become_owner(record.fence, LogEvent.CELL_TAKEN):
            self._publish()

    def _become_owner(self, fence: Fence, event: LogEvent) -> bool:
        own = OwnerRecord(self._vm, self._control, fence)
        self._own = self._latest = own
        recovered = self._take_over(fence)
        if not recovered or self._own is not own:
            self._abandon_takeover(own, recovered)
            return False
        self.signal.set_owner(own)
        self._log.emit(event, fence=attrs.astuple(fence))
        return True

    def _abandon_takeover(self, own: OwnerRecord, recovered: bool) -> None:
        """Stop a takeover that a higher fence or a planned stop has overtaken.

        An owner seen meanwhile was not signalled, because this VM counted as the owner.
        """
        self._own = None
        if recovered:
            self._on_lost()
        if self._latest != own:
            self.signal.set_owner(self._latest)
        self._log.emit(LogEvent.CELL_NOT_TAKEN, fence=attrs.astuple(own.fence), to=self._latest.vm)

    def _publish(self) -> None:
        """Write the owner record under a new lease unless the stored one has a higher fence."""
        if self._stored is not None and self._stored.fence > self._own.fence:
            self.observe_owner(self._stored, "")
            return
        own = self._own
        lease = self._store.grant_lease(OWNER_LEASE_S)
        if self._own is not own:  # given up during the call; the lease lapses unused
            return
        self._lease = lease
        self._stored_revision = self._store.put(
            self._key, encode(own), expected=self._stored_revision, lease=lease
        )
        self._stored = own
        self._absent_since = None
        self._renewed_at = self._clock.now()

    def _renew(self) -> None:
        now = self._clock.now()
        if not self._lease or now - self._renewed_at < RENEW_INTERVAL_S:
            return
        self._renewed_at = now
        if not self._store.renew_lease(self._lease):
            self._reread_owner_record()
