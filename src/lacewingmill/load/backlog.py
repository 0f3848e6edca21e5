"""The units that wait for workers, summed up by rank and size."""

import math
import sys

import attrs

from lacewingmill.models import Shape
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.state import SchedulerState

__all__ = [
    "Backlog",
    "Kind",
    "MemberSize",
    "Work",
    "add_up_ahead",
    "least_share",
    "sum_up_backlog",
]

# Run times of waiting jobs are off by about half in either direction.
EARLY_SHARE = 0.5
# Learned run times of a queue may all be too long by about this share.
MOST_CERTAIN_SHARE = 0.8


@attrs.frozen(cache_hash=True)
class Kind:
    """Units of equal rank and similar size.

    The sizes are exponents of the largest powers of two up to them.

    :param accelerators: size class of the accelerators of one member.
    :param processors: size class of the processors of one member.
    :param members: size class of the number of members.
    """

    rank: int
    accelerators: int
    processors: int
    members: int

    @property
    def member_class(self) -> tuple[int, int]:
        """The size classes of one member."""
        return (self.accelerators, self.processors)


@attrs.frozen
class MemberSize:
    """Accelerators and processor cores of one member."""

    accelerators: int
    processors: float


@attrs.define
class Work:
    """Work that waits, by the medians of the run times.

    :param member_s: run time, summed over all members, in seconds.
    :param accelerator_s: the same times the accelerators of the members.
    :param processor_s: the same times the processors of the members.
    :param square_s: squares of the run times, summed over all members.
    :param groups: number of steps that the units belong to; tasks of one step take a similar time.
    """

    member_s: float = 0.0
    accelerator_s: float = 0.0
    processor_s: float = 0.0
    square_s: float = 0.0
    groups: int = 0

    def add(self, other: "Work") -> None:
        """Add other work."""
        self.member_s += other.member_s
        self.accelerator_s += other.accelerator_s
        self.processor_s += other.processor_s
        self.square_s += other.square_s
        self.groups += other.groups

    @property
    def mean_s(self) -> float:
        """The mean run time of the work that runs at any moment, in seconds."""
        return self.square_s / self.member_s if self.member_s else 0.0


@attrs.define
class Backlog:
    """The waiting units of one kind.

    :param accelerators: fewest accelerators of a member.
    :param processors: fewest processor cores of a member.
    :param members: members of the narrowest unit.
    :param work: of the units that may still end in time.
    """

    accelerators: int = sys.maxsize
    processors: float = math.inf
    members: int = sys.maxsize
    work: Work = attrs.field(factory=Work)
    _groups: set[str] = attrs.field(factory=set)

    @property
    def size(self) -> MemberSize:
        """The least that a member needs of each resource."""
        return MemberSize(self.accelerators, self.processors)

    def add_size(self, shape: Shape) -> None:
        """Take a unit into account for the size of the smallest one."""
        self.accelerators = min(self.accelerators, shape.unit_accelerators)
        self.processors = min(self.processors, shape.processors)
        self.members = min(self.members, shape.units)

    def add_work(self, job: Job, expected_s: float) -> None:
        """Add the work of a unit with its expected run time, in seconds."""
        shape = job.shape
        self.work.member_s += expected_s * shape.units
        self.work.accelerator_s += expected_s * shape.accelerators
        self.work.processor_s += expected_s * shape.processors * shape.units
        self.work.square_s += expected_s * expected_s * shape.units
        self._groups.add(job.needs.group or job.job_id)
        self.work.groups = len(self._groups)


def sum_up_backlog(state: SchedulerState, now: float) -> dict[Kind, Backlog]:
    """Return what waits, by kind.

    Units that would end too late go last, so their work goes before no other.
    """
    backlog: dict[Kind, Backlog] = {}
    for record in state.queue.values():
        job = record.job
        if job.objective is None or job.lasting:
            continue
        kind = _kind(job, job.objective.rank)
        waiting = backlog.get(kind)
        if waiting is None:
            waiting = backlog[kind] = Backlog()
        waiting.add_size(job.shape)
        expected_s = max(state.expected_s(job) - record.done_s, 0.0)
        if now + EARLY_SHARE * expected_s <= job.objective.last_at:
            waiting.add_work(job, expected_s)
    return backlog


def add_up_ahead(kind: Kind, backlog: dict[Kind, Backlog]) -> tuple[Work, Work]:
    """Return the work that goes before new units of a kind, which itself waits.

    These units have no worse rank and need no more of any resource. So they go first in the order
    of due times as well as in the order of value for the room that they take.

    :return: all of this work, and the part of which each member needs as much as one of the kind.
    """
    ahead, alike = Work(), Work()
    for key, other in backlog.items():
        if (
            key.rank > kind.rank
            or key.accelerators > kind.accelerators
            or key.processors > kind.processors
            or key.members > kind.members
        ):
            continue
        ahead.add(other.work)
        if key.member_class == kind.member_class:
            alike.add(other.work)
    return ahead, alike


def least_share(count: int) -> float:
    """Return the share of a number of expected run times that is exceeded in nine of ten cases.

    Errors of single estimates cancel each other out, those of the estimator do not.
    """
    return min(MOST_CERTAIN_SHARE, 1.0 - (1.0 - EARLY_SHARE) / math.sqrt(max(1, count)))


def _size_class(amount: float) -> int:
    """Return the exponent of the largest power of two up to an amount; -1 for less than one."""
    return int(math.log2(amount)) if amount >= 1 else -1


def _kind(job: Job, rank: int) -> Kind:
    shape = job.shape
    return Kind(
        rank,
        _size_class(shape.unit_accelerators),
        _size_class(shape.processors),
        _size_class(shape.units),
    )
