"""The units that wait for workers, summed up by rank and size."""

import math
import sys
from collections.abc import Callable, Sequence

import attrs

from lacewingmill.load.forecast import RunForecast, forecast_from_remaining
from lacewingmill.models import Shape
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["Ahead", "Backlog", "Kind", "MemberSize", "add_up_ahead", "sum_up_backlog"]


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
class Backlog:
    """The waiting units of one kind.

    :param accelerators: fewest accelerators of a member.
    :param processors: fewest processor cores of a member.
    :param members: members of the narrowest unit.
    :param member_s: expected run time, summed over all members, in seconds.
    :param accelerator_s: the same times the accelerators of the members.
    :param processor_s: the same times the processors of the members.
    :param longest_s: longest expected run time, in seconds.
    """

    accelerators: int = sys.maxsize
    processors: float = math.inf
    members: int = sys.maxsize
    member_s: float = 0.0
    accelerator_s: float = 0.0
    processor_s: float = 0.0
    longest_s: float = 0.0

    @property
    def size(self) -> MemberSize:
        """The least that a member needs of each resource."""
        return MemberSize(self.accelerators, self.processors)

    def add_size(self, shape: Shape) -> None:
        """Take a unit into account for the size of the smallest one."""
        self.accelerators = min(self.accelerators, shape.unit_accelerators)
        self.processors = min(self.processors, shape.processors)
        self.members = min(self.members, shape.units)

    def add_work(self, shape: Shape, expected_s: float) -> None:
        """Add the work of a unit with its expected run time, in seconds."""
        self.member_s += expected_s * shape.units
        self.accelerator_s += expected_s * shape.accelerators
        self.processor_s += expected_s * shape.processors * shape.units
        self.longest_s = max(self.longest_s, expected_s)


@attrs.define
class Ahead:
    """The work that goes before a new unit.

    :param member_s: expected run time of members of the unit's size class, in seconds.
    :param accelerator_s: expected run time times the accelerators, in seconds.
    :param processor_s: expected run time times the processors, in seconds.
    :param longest_s: longest expected run time, in seconds.
    """

    member_s: float = 0.0
    accelerator_s: float = 0.0
    processor_s: float = 0.0
    longest_s: float = 0.0


def sum_up_backlog(
    state: SchedulerState, now: float, quantiles: Sequence[Callable[[RunForecast], float]]
) -> tuple[dict[Kind, Backlog], ...]:
    """Return what waits, by kind.

    Units that would end too late go last, so their work goes before no other.

    :param quantiles: each returns the time of a forecast that counts as the expected end.
    :return: the backlog by each quantile.
    """
    backlogs: tuple[dict[Kind, Backlog], ...] = tuple({} for _ in quantiles)
    for record in state.queue.values():
        job = record.job
        if job.objective is None or job.lasting:
            continue
        remaining_s = max(state.expected_s(job) - record.done_s, 0.0)
        forecast = forecast_from_remaining(remaining_s, 0.0)
        kind = _kind(job, job.objective.rank)
        for backlog, quantile in zip(backlogs, quantiles, strict=True):
            waiting = backlog.get(kind)
            if waiting is None:
                waiting = backlog[kind] = Backlog()
            waiting.add_size(job.shape)
            expected_s = quantile(forecast)
            if now + expected_s <= job.objective.last_at:
                waiting.add_work(job.shape, expected_s)
    return backlogs


def add_up_ahead(kind: Kind, backlog: dict[Kind, Backlog]) -> Ahead:
    """Return the work that goes before new units of a kind, which itself waits.

    These units have no worse rank and need no more of any resource. So they go first in the order
    of due times as well as in the order of value for the room that they take.
    """
    ahead = Ahead()
    for key, other in backlog.items():
        if (
            key.rank > kind.rank
            or key.accelerators > kind.accelerators
            or key.processors > kind.processors
            or key.members > kind.members
        ):
            continue
        if key.member_class == kind.member_class:
            ahead.member_s += other.member_s
        ahead.accelerator_s += other.accelerator_s
        ahead.processor_s += other.processor_s
        ahead.longest_s = max(ahead.longest_s, other.longest_s)
    return ahead


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
