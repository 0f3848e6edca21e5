"""Who owns a cell: a pure decision over what one VM knows.

The owner is elected by a compare-and-swap in the platform's store. Fences at the workers keep a
double owner harmless, so these rules only have to avoid contention and to end with one owner. While
the store is away nobody is elected: the owner goes on, and if it dies, the next VM of the
succession list takes a higher attempt after a delay ordered by rank.
"""

import enum

import attrs

from lacewingmill.models import Fence, OwnerRecord

__all__ = ["Ownership", "OwnershipFacts", "OwnershipStep", "decide_ownership"]

SILENT_OWNER_S = 2.0
ABSENT_GRACE_S = 1.0
RANK_DELAY_S = 0.4
STORE_AWAY_S = 2.0
SUCCESSION_RANK_DELAY_S = 2.0


class OwnershipStep(enum.Enum):
    """What a VM should do about a cell."""

    KEEP = "keep"
    ELECT = "elect"
    SUCCEED = "succeed"
    REPUBLISH = "republish"
    STEP_DOWN = "step_down"


@attrs.frozen
class OwnershipFacts:
    """What one VM knows about a cell's owner.

    :param own: this VM's record while it owns the cell.
    :param stored: the record in the store when it was last read; ``None`` when absent.
    :param heard: the record with the highest fence that heartbeats or the store ever showed.
    :param owner_heard_at: when the owner last answered a heartbeat, in seconds.
    :param owner_leaving: whether the owner said that it is stopping.
    :param absent_since: since when the store shows no owner, in seconds; ``None`` if it shows one.
    :param store_away_since: since when the store has not answered; ``None`` while it does.
    :param rank: position of this VM among the live entry VMs, 0 first.
    :param eligible: whether this VM may own a cell: it is ready and not stopping.
    """

    vm: str
    own: OwnerRecord | None
    stored: OwnerRecord | None
    heard: OwnerRecord | None
    owner_heard_at: float
    owner_leaving: bool
    absent_since: float | None
    store_away_since: float | None
    rank: int
    eligible: bool


@attrs.frozen
class Ownership:
    """A decision.

    :param fence: the fence to take, for ``SUCCEED``.
    """

    step: OwnershipStep
    fence: Fence = Fence()


def decide_ownership(facts: OwnershipFacts, now: float) -> Ownership:
    """Return what to do.

    :param now: present time, in seconds.
    """
    if facts.own is not None:
        return _decide_as_owner(facts)
    if not facts.eligible:
        return Ownership(OwnershipStep.KEEP)
    if facts.store_away_since is not None:
        return _decide_succession(facts, now)
    return _decide_election(facts, now)


def _decide_as_owner(facts: OwnershipFacts) -> Ownership:
    if facts.heard is not None and facts.heard.fence > facts.own.fence:
        return Ownership(OwnershipStep.STEP_DOWN)
    if facts.store_away_since is None and facts.stored != facts.own:
        return Ownership(OwnershipStep.REPUBLISH)
    return Ownership(OwnershipStep.KEEP)


def _decide_election(facts: OwnershipFacts, now: float) -> Ownership:
    if facts.absent_since is None:
        return Ownership(OwnershipStep.KEEP)
    patience = facts.rank * RANK_DELAY_S
    owner_lives = now - facts.owner_heard_at < SILENT_OWNER_S and not facts.owner_leaving
    if facts.heard is not None and owner_lives:
        # The owner lives and lost its store lease in an outage: let it publish itself again.
        patience += ABSENT_GRACE_S + SILENT_OWNER_S
    if now - facts.absent_since < patience:
        return Ownership(OwnershipStep.KEEP)
    return Ownership(OwnershipStep.ELECT)


def _decide_succession(facts: OwnershipFacts, now: float) -> Ownership:
    if facts.heard is None:
        return Ownership(OwnershipStep.KEEP)
    delay = SILENT_OWNER_S + facts.rank * SUCCESSION_RANK_DELAY_S
    if now - facts.owner_heard_at < delay or now - facts.store_away_since < STORE_AWAY_S:
        return Ownership(OwnershipStep.KEEP)
    fence = facts.heard.fence
    return Ownership(OwnershipStep.SUCCEED, Fence(fence.epoch, fence.attempt + 1))
