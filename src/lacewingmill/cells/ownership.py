"""Decides who owns a cell, without I/O, from the state that one VM knows.

The owner is elected by a compare-and-swap in the platform's store. Workers reject orders under a
lower fence, so a second owner does no harm; these rules only have to avoid contention and to
converge on one owner. No election takes place while the store is unavailable: the owner continues,
and if it fails, the live VM with the lowest rank takes over first, with a higher attempt in the
same epoch.
"""

import enum

import attrs

from lacewingmill.models import Fence, OwnerRecord

__all__ = ["OwnershipDecision", "OwnershipFacts", "OwnershipStep", "decide_ownership"]

OWNER_TIMEOUT_S = 2.0
REPUBLISH_GRACE_S = 1.0
ELECTION_RANK_DELAY_S = 0.4
STORE_OUTAGE_S = 2.0
SUCCESSION_RANK_DELAY_S = 2.0


class OwnershipStep(enum.Enum):
    """The next action of a VM."""

    KEEP = "keep"
    ELECT = "elect"
    SUCCEED = "succeed"
    REPUBLISH = "republish"
    STEP_DOWN = "step_down"


@attrs.frozen
class OwnershipFacts:
    """What one VM knows about the owner of a cell. Times are on this VM's clock.

    :param own: this VM's record while it owns the cell.
    :param stored: the record last read from the store; ``None`` if there was none.
    :param latest: the record with the highest fence seen so far in heartbeats or the store.
    :param owner_seen_at: when the owner of ``latest`` last sent a heartbeat with it, in seconds; or
        when this VM first saw that record, if that was later.
    :param owner_leaving: whether the owner has announced that it is stopping.
    :param absent_since: since when the store holds no owner record, in seconds; else ``None``.
    :param store_down_since: since when the store has not answered, in seconds; else ``None``.
    :param rank: position of this VM among the live entry VMs other than the latest owner, 0 first.
    :param eligible: whether this VM may become owner: it is ready and not stopping.
    """

    vm: str
    own: OwnerRecord | None
    stored: OwnerRecord | None
    latest: OwnerRecord | None
    owner_seen_at: float
    owner_leaving: bool
    absent_since: float | None
    store_down_since: float | None
    rank: int
    eligible: bool


@attrs.frozen
class OwnershipDecision:
    """The decided action.

    :param fence: the fence to take over with, for ``SUCCEED``.
    """

    step: OwnershipStep
    fence: Fence = Fence()


def decide_ownership(facts: OwnershipFacts, now: float) -> OwnershipDecision:
    """Return the next action.

    :param now: current time, in seconds.
    """
    if facts.own is not None:
        return _decide_as_owner(facts)
    if not facts.eligible:
        return OwnershipDecision(OwnershipStep.KEEP)
    if facts.store_down_since is not None:
        return _decide_succession(facts, now)
    return _decide_election(facts, now)


def _decide_as_owner(facts: OwnershipFacts) -> OwnershipDecision:
    if facts.latest is not None and facts.latest.fence > facts.own.fence:
        return OwnershipDecision(OwnershipStep.STEP_DOWN)
    if facts.store_down_since is None and facts.stored != facts.own:
        return OwnershipDecision(OwnershipStep.REPUBLISH)
    return OwnershipDecision(OwnershipStep.KEEP)


def _decide_election(facts: OwnershipFacts, now: float) -> OwnershipDecision:
    if facts.absent_since is None:
        return OwnershipDecision(OwnershipStep.KEEP)
    delay = facts.rank * ELECTION_RANK_DELAY_S
    owner_alive = now - facts.owner_seen_at < OWNER_TIMEOUT_S and not facts.owner_leaving
    if facts.latest is not None and owner_alive:
        # The owner lost its store lease in an outage but is alive: give it time to republish.
        delay += REPUBLISH_GRACE_S + OWNER_TIMEOUT_S
    if now - facts.absent_since < delay:
        return OwnershipDecision(OwnershipStep.KEEP)
    return OwnershipDecision(OwnershipStep.ELECT)


def _decide_succession(facts: OwnershipFacts, now: float) -> OwnershipDecision:
    if facts.latest is None:
        return OwnershipDecision(OwnershipStep.KEEP)
    delay = OWNER_TIMEOUT_S + facts.rank * SUCCESSION_RANK_DELAY_S
    if now - facts.owner_seen_at < delay or now - facts.store_down_since < STORE_OUTAGE_S:
        return OwnershipDecision(OwnershipStep.KEEP)
    fence = facts.latest.fence
    return OwnershipDecision(OwnershipStep.SUCCEED, Fence(fence.epoch, fence.attempt + 1))
