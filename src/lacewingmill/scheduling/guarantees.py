"""Guaranteed slots and the blocks reserved for the unclaimed ones.

Each guaranteed gang of a team is a slot. An unclaimed slot keeps a reserved block, which shows that
the shape can be reclaimed: the block fits beside all work that may not be evicted. When the slot is
claimed, its reservation is removed and the block of the claim counts as protected; when the job
ends, that block is reserved for the slot again. Claims and ends of jobs therefore never endanger
another team's slot. An unclaimed slot without a reserved block is in shortfall; this happens only
when workers are lost or cordoned, or when the configuration guarantees more than the live workers
can hold beside the protected work that is running.
"""

import attrs

from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Block, Cluster, WorkerState
from lacewingmill.scheduling.messages import GuaranteedSlots, SlotKey
from lacewingmill.scheduling.placement import PlacementRules, find_block

__all__ = ["Slot", "SlotTable"]


@attrs.define(eq=False)
class Slot:
    """One guaranteed gang.

    :param number: index of the slot among those of its key.
    :param reserved_block: block reserved for the slot; ``None`` while claimed or in shortfall.
    :param holder: id of the job that claimed the slot; empty while unclaimed.
    :param retired: whether a later configuration dropped or replaced the slot.
    """

    key: SlotKey
    shape: Shape
    number: int
    reserved_block: Block | None = None
    holder: str = ""
    retired: bool = False

    @property
    def shortfall(self) -> bool:
        """Whether the slot is unclaimed and has no reserved block."""
        return not self.holder and self.reserved_block is None


class SlotTable:
    """The guaranteed slots of a cell."""

    def __init__(self, cluster: Cluster):
        self._cluster = cluster
        self._slots: dict[SlotKey, list[Slot]] = {}

    def slots(self) -> list[Slot]:
        """Return all slots."""
        return [slot for group in self._slots.values() for slot in group]

    def shortfalls(self) -> list[Slot]:
        """Return the unclaimed slots without a reserved block."""
        return [slot for slot in self.slots() if slot.shortfall]

    def unclaimed_slot(self, key: SlotKey) -> Slot | None:
        """Return an unclaimed slot, preferably one with a reserved block, or ``None``."""
        unclaimed = [slot for slot in self._slots.get(key, ()) if not slot.holder]
        return min(unclaimed, key=lambda slot: slot.shortfall, default=None)

    def claimed_share(self, key: SlotKey) -> float:
        """Return the share of a team's slots of a shape that are claimed, 0..1; 1 without slots."""
        group = self._slots.get(key, ())
        return sum(1 for slot in group if slot.holder) / len(group) if group else 1.0

    def configure(self, guarantees: tuple[GuaranteedSlots, ...]) -> None:
        """Replace the guarantees; claimed slots stay claimed if they are still guaranteed."""
        wanted = {(guarantee.key, guarantee.shape): guarantee.count for guarantee in guarantees}
        kept: dict[SlotKey, list[Slot]] = {}
        for slot in self.slots():
            missing_count = wanted.get((slot.key, slot.shape), 0) - len(kept.get(slot.key, ()))
            if slot.holder and missing_count > 0:
                kept.setdefault(slot.key, []).append(slot)
            else:
                self.unreserve(slot)
                slot.retired = True
        self._slots = kept
        for guarantee in guarantees:
            group = kept.setdefault(guarantee.key, [])
            for number in range(len(group), guarantee.count):
                group.append(Slot(guarantee.key, guarantee.shape, number))
        self.fill_shortfalls()

    def unreserve(self, slot: Slot) -> Block | None:
        """Remove a slot's reservation and return the block, or ``None`` if it had none."""
        block = slot.reserved_block
        if block is not None:
            self._count_reserved(slot.shape, block, -1)
            slot.reserved_block = None
        return block

    def reserve(self, slot: Slot, block: Block | None) -> None:
        """Reserve a block for a slot that has none; ``None`` leaves the slot in shortfall."""
        slot.reserved_block = block
        if block is not None:
            self._count_reserved(slot.shape, block, 1)

    def find_and_reserve(self, slot: Slot, avoid: frozenset[str] = frozenset()) -> bool:
        """Find and reserve a block for a slot in shortfall; return whether one was found.

        :param avoid: workers that the block may not use.
        """

        def units(worker_state: WorkerState) -> int:
            return (
                0 if worker_state.info.worker in avoid else worker_state.claimable_units(slot.shape)
            )

        def worker_cost(worker_state: WorkerState, taken: int) -> float:
            return worker_state.claimable_units(slot.shape) - taken

        block = find_reservable_block(self._cluster, slot.shape, PlacementRules(units, worker_cost))
        if block is None:
            return False
        self.reserve(slot, block)
        return True

    def fill_shortfalls(self) -> None:
        """Reserve blocks for all slots in shortfall; repack all reservations if some do not fit."""
        missing = _largest_first(self.shortfalls())
        if all([self.find_and_reserve(slot) for slot in missing]):
            return
        self._repack()

    def unreserve_worker(self, worker: str) -> None:
        """Remove the reservations on a worker that was lost or cordoned."""
        for slot in self.slots():
            if slot.reserved_block and any(part.worker == worker for part in slot.reserved_block):
                self.unreserve(slot)

    def make_room(self, shape: Shape, block: Block) -> bool:
        """Move reservations to free a block for protected work; undo it if not all of them fit.

        :return: whether ``block`` can now hold the gang without putting a slot in shortfall.
        """
        workers = frozenset(part.worker for part in block)
        moved = [
            (slot, slot.reserved_block)
            for slot in self.slots()
            if slot.reserved_block and any(part.worker in workers for part in slot.reserved_block)
        ]
        for slot, _ in moved:
            self.unreserve(slot)
        self.count_protected(shape, block, 1)
        fits = all(
            [self.find_and_reserve(slot) for slot in _largest_first([slot for slot, _ in moved])]
        )
        self.count_protected(shape, block, -1)
        if fits:
            return True
        for slot, _ in moved:
            self.unreserve(slot)
        for slot, reserved_block in moved:
            self.reserve(slot, reserved_block)
        return False

    def count_protected(self, shape: Shape, block: Block, sign: int) -> None:
        """Add a block to the protected resources of its workers; a ``sign`` of -1 subtracts it."""
        for part in block:
            worker_state = self._cluster.workers.get(part.worker)
            if worker_state is not None:
                worker_state.protected.add(shape, sign * part.units)

    def _count_reserved(self, shape: Shape, block: Block, sign: int) -> None:
        for part in block:
            worker_state = self._cluster.workers.get(part.worker)
            if worker_state is not None:
                worker_state.reserved.add(shape, sign * part.units)

    def _repack(self) -> None:
        """Repack all reservations, largest first; restore the old ones unless more slots fit."""
        unclaimed = [slot for slot in self.slots() if not slot.holder]
        before = [(slot, slot.reserved_block) for slot in unclaimed]
        reserved_before = sum(1 for _, reserved_block in before if reserved_block is not None)
        for slot in unclaimed:
            self.unreserve(slot)
        reserved_count = sum(1 for slot in _largest_first(unclaimed) if self.find_and_reserve(slot))
        if reserved_count > reserved_before:
            return
        for slot in unclaimed:
            self.unreserve(slot)
        for slot, reserved_block in before:
            self.reserve(slot, reserved_block)


def find_reservable_block(cluster: Cluster, shape: Shape, rules: PlacementRules) -> Block | None:
    """Find a block that fits beside protected work and reservations, ignoring evictable work."""
    return find_block(cluster, shape, rules, by_free=False)


def _largest_first(slots: list[Slot]) -> list[Slot]:
    return sorted(slots, key=lambda slot: (-slot.shape.accelerators, slot.key, slot.number))
