"""Guaranteed slots and the blocks reserved for the unclaimed ones.

Each guaranteed gang of a team is a slot. An unclaimed slot keeps a reserved block, its witness,
which proves that the shape can be reclaimed: the block holds no work that may not be evicted. A
claimed slot's block turns into hard work and back, in place, so that claiming and finishing never
endanger another team's slot. A slot without a block is a shortfall; it arises only when workers
are lost or closed, or when a configuration asks for more than the live workers hold.
"""

import attrs

from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Block, Cluster, Node
from lacewingmill.scheduling.messages import GuaranteedSlots, SlotKey
from lacewingmill.scheduling.placement import PlacementRules, find_block

__all__ = ["Slot", "SlotBook"]


@attrs.define(eq=False)
class Slot:
    """One guaranteed gang.

    :param witness: the reserved block while unclaimed; ``None`` while claimed or in shortfall.
    :param holder: the job that claimed it; empty while unclaimed.
    :param retired: whether the configuration has dropped the guarantee since.
    """

    key: SlotKey
    shape: Shape
    number: int
    reserved_block: Block | None = None
    holder: str = ""
    retired: bool = False

    @property
    def shortfall(self) -> bool:
        """Whether the slot is unclaimed and cannot be reclaimed now."""
        return not self.holder and self.reserved_block is None


class SlotTable:
    """All guaranteed slots of a cell."""

    def __init__(self, cluster: Cluster):
        self._cluster = cluster
        self._slots: dict[SlotKey, list[Slot]] = {}

    def slots(self) -> list[Slot]:
        """Return all slots."""
        return [slot for group in self._slots.values() for slot in group]

    def shortfalls(self) -> list[Slot]:
        """Return the unclaimed slots that cannot be reclaimed now."""
        return [slot for slot in self.slots() if slot.shortfall]

    def unclaimed_slot(self, key: SlotKey) -> Slot | None:
        """Return an unclaimed slot, one with a witness if there is any."""
        unclaimed = [slot for slot in self._slots.get(key, ()) if not slot.holder]
        return min(unclaimed, key=lambda slot: slot.shortfall, default=None)

    def claimed_share(self, key: SlotKey) -> float:
        """Return the share of a team's slots of a shape that are claimed, 0..1."""
        group = self._slots.get(key, ())
        return sum(1 for slot in group if slot.holder) / len(group) if group else 1.0

    def configure(self, guarantees: tuple[GuaranteedSlots, ...]) -> None:
        """Replace the guarantees; slots that are claimed stay claimed while still guaranteed."""
        wanted = {(guarantee.key, guarantee.shape): guarantee.count for guarantee in guarantees}
        kept: dict[SlotKey, list[Slot]] = {}
        for slot in self.slots():
            room = wanted.get((slot.key, slot.shape), 0) - len(kept.get(slot.key, ()))
            if slot.holder and room > 0:
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
        """Take a slot's reservation off and return the block."""
        block = slot.reserved_block
        if block is not None:
            self._reserve(slot.shape, block, -1)
            slot.reserved_block = None
        return block

    def reserve(self, slot: Slot, block: Block | None) -> None:
        """Reserve a block for a slot that has none."""
        slot.reserved_block = block
        if block is not None:
            self._reserve(slot.shape, block, 1)

    def find_and_reserve(self, slot: Slot, avoid: frozenset[str] = frozenset()) -> bool:
        """Find a block for a slot in shortfall; return whether one was found."""

        def units(node: Node) -> int:
            return 0 if node.info.worker in avoid else node.claimable_units(slot.shape)

        def rank(node: Node, taken: int) -> float:
            return node.claimable_units(slot.shape) - taken

        block = find_reserved_block(self._cluster, slot.shape, PlacementRules(units, rank))
        if block is None:
            return False
        self.reserve(slot, block)
        return True

    def fill_shortfalls(self) -> None:
        """Find blocks for all slots in shortfall, repacking every reservation if need be."""
        missing = _largest_first(self.shortfalls())
        if all([self.find_and_reserve(slot) for slot in missing]):
            return
        self._repack()

    def unreserve_worker(self, worker: str) -> None:
        """Move the reservations off a worker that is lost or closed."""
        for slot in self.slots():
            if slot.reserved_block and any(part.worker == worker for part in slot.reserved_block):
                self.unreserve(slot)

    def make_room(self, shape: Shape, block: Block) -> bool:
        """Move reservations so that hard work may take a block; undone when not all fit.

        :return: whether ``block`` now takes the gang without endangering a slot.
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
        """Count a block as held by work that may not be evicted, or no more (``sign`` -1)."""
        for part in block:
            node = self._cluster.nodes.get(part.worker)
            if node is not None:
                node.protected.add(shape, sign * part.units)

    def _reserve(self, shape: Shape, block: Block, sign: int) -> None:
        for part in block:
            node = self._cluster.nodes.get(part.worker)
            if node is not None:
                node.reserved.add(shape, sign * part.units)

    def _repack(self) -> None:
        """Pack all reservations anew, largest first; keep the old ones unless more slots fit."""
        unclaimed = [slot for slot in self.slots() if not slot.holder]
        before = [(slot, slot.reserved_block) for slot in unclaimed]
        homed_before = sum(1 for _, reserved_block in before if reserved_block is not None)
        for slot in unclaimed:
            self.unreserve(slot)
        homed = sum(1 for slot in _largest_first(unclaimed) if self.find_and_reserve(slot))
        if homed > homed_before:
            return
        for slot in unclaimed:
            self.unreserve(slot)
        for slot, reserved_block in before:
            self.reserve(slot, reserved_block)


def find_reserved_block(cluster: Cluster, shape: Shape, rules: PlacementRules) -> Block | None:
    """Find a block by what hard work and reservations leave, whatever evictable work holds."""
    return find_block(cluster, shape, rules, by_free=False)


def _largest_first(slots: list[Slot]) -> list[Slot]:
    return sorted(slots, key=lambda slot: (-slot.shape.accelerators, slot.key, slot.number))
