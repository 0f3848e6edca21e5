"""Typed events into the scheduler and typed actions out of it.

All times are seconds on the clock of whoever drives the scheduler.
"""

import attrs

from lacewingmill.models import Adjacency, Shape, Vm

__all__ = [
    "Action",
    "EvictGang",
    "Event",
    "FailJob",
    "GangRejected",
    "GangReleased",
    "GangStarted",
    "GuaranteedSlots",
    "GuaranteesChanged",
    "Job",
    "JobCancelled",
    "JobFailed",
    "JobFinished",
    "JobSubmitted",
    "Member",
    "Needs",
    "Objective",
    "Placement",
    "RefuseJob",
    "RunningGang",
    "GangRecovered",
    "SlotKey",
    "StartGang",
    "StopGang",
    "TeamLimit",
    "TeamQuota",
    "Tick",
    "WorkerAnswered",
    "WorkerJoined",
    "WorkerLost",
    "WorkerNode",
    "WorkerLeaving",
    "WorkerSilent",
    "block_name",
    "worker_node",
]


@attrs.frozen
class WorkerNode:
    """A worker as the scheduler sees it.

    :param labels: what jobs may ask a worker to have.
    """

    worker: str
    rack: str
    failure_domain: str
    accelerators: int
    processors: float
    memory_gb: float
    labels: frozenset[str] = frozenset()


def worker_node(vm: Vm) -> WorkerNode:
    """Return a worker of the VM list as the scheduler sees it."""
    return WorkerNode(
        vm.name, vm.rack, vm.failure_domain, vm.accelerators, vm.processors, vm.memory_gb
    )


@attrs.frozen
class Member:
    """The part of a gang on one worker, by accelerator index.

    :param units: members of the gang on this worker; one per accelerator by default.
    """

    worker: str
    accelerators: tuple[int, ...]
    units: int = attrs.field(
        default=attrs.Factory(lambda self: len(self.accelerators), takes_self=True)
    )


Placement = tuple[Member, ...]


@attrs.frozen(order=True)
class SlotKey:
    """Names whose guaranteed gangs of which shape."""

    service: str
    team: str
    shape: str


@attrs.frozen
class GuaranteedSlots:
    """A guarantee: ``count`` gangs of a shape for one team."""

    key: SlotKey
    shape: Shape
    count: int


@attrs.frozen
class TeamLimit:
    """The most accelerators a team of a service may hold at once."""

    service: str
    team: str
    max_accelerators: int


@attrs.frozen
class TeamQuota:
    """Accelerators that belong to a team's urgent jobs at all times, whatever their shapes."""

    service: str
    team: str
    accelerators: int


@attrs.frozen
class Needs:
    """What a job asks of its workers beside room.

    :param label: a label that each worker must have; empty for none.
    :param rack: the rack that holds the job's data; work elsewhere takes several times as long.
    :param group: jobs that count together for ``max_per_worker``.
    :param max_per_worker: most members of the group on one worker; 0 for no limit.
    :param same_rack: whether a gang slows down when it spans racks; it does so only when it has
        waited for long or no rack can hold it.
    :param only: the workers that may be used; ``None`` for all.
    """

    label: str = ""
    rack: str = ""
    group: str = ""
    max_per_worker: int = 0
    same_rack: bool = False
    only: frozenset[str] | None = None


@attrs.frozen
class Objective:
    """When a job's answer is worth most, in seconds on the scheduler's clock.

    :param rank: jobs of a lower rank go first.
    :param due_at: from then on the answer is late.
    :param last_at: from then on the answer is worth nothing.
    """

    rank: int
    due_at: float
    last_at: float


@attrs.frozen
class Job:
    """A gang job.

    :param claims: whether it takes an open guaranteed slot of its team.
    :param idempotent: whether it may run twice.
    :param checkpoint: whether it can be stopped and resumed.
    :param submitted_at: time of submission, in seconds.
    :param urgent: whether it may evict work that is not, and counts for its team's quota.
    :param objective: when its answer is due; without one, expected run times order the jobs.
    """

    job_id: str
    service: str
    team: str
    shape: Shape
    claims: bool
    idempotent: bool
    checkpoint: bool
    submitted_at: float
    urgent: bool = False
    needs: Needs = Needs()
    objective: Objective | None = None

    @property
    def evictable(self) -> bool:
        """Whether borrowed accelerators can be taken back while the job runs."""
        return self.idempotent or self.checkpoint

    @property
    def slot_key(self) -> SlotKey:
        """The guarantee that the job would claim."""
        return SlotKey(self.service, self.team, self.shape.name)


class Event:
    """Root of events."""


@attrs.frozen
class JobSubmitted(Event):
    """A job arrived."""

    job: Job


@attrs.frozen
class JobCancelled(Event):
    """The caller gave a job up."""

    job_id: str


@attrs.frozen
class GangStarted(Event):
    """All members of a gang run."""

    job_id: str


@attrs.frozen
class GangRejected(Event):
    """A gang could not be leased or started; every member is released.

    :param worker: the worker that refused or kept silent.
    :param silent: whether it kept silent, so that its accelerators are unknown.
    """

    job_id: str
    worker: str
    silent: bool


@attrs.frozen
class GangReleased(Event):
    """An evicted gang is gone from all its workers.

    :param saved_s: run time kept by a checkpoint, in seconds.
    """

    job_id: str
    saved_s: float


@attrs.frozen
class JobFinished(Event):
    """A job ended with an answer.

    :param run_s: the whole time it ran, in seconds.
    """

    job_id: str
    run_s: float


@attrs.frozen
class JobFailed(Event):
    """A running gang failed on a worker; all its members are released.

    An idempotent job is run again elsewhere unless it has failed on several workers.
    """

    job_id: str
    worker: str


@attrs.frozen
class WorkerJoined(Event):
    """A worker is live and its lease table is known.

    :param leaving: whether it is about to leave, so that it gets nothing new.
    """

    node: WorkerNode
    leaving: bool = False


@attrs.frozen
class WorkerSilent(Event):
    """A worker did not answer an order in time; it gets nothing new until it answers."""

    worker: str


@attrs.frozen
class WorkerLeaving(Event):
    """A worker is leaving, or stays after all; its gangs run on, but it gets nothing new.

    :param stays: whether it is not leaving any more.
    """

    worker: str
    stays: bool = False


@attrs.frozen
class WorkerAnswered(Event):
    """A worker answers again."""

    worker: str


@attrs.frozen
class WorkerLost(Event):
    """A worker left, lapsed or keeps silent; its gangs end whole.

    :param left: whether it has left for good, so that nothing may wait for it.
    """

    worker: str
    left: bool = False


@attrs.frozen
class GuaranteesChanged(Event):
    """The configuration in force changed."""

    slots: tuple[GuaranteedSlots, ...]
    limits: tuple[TeamLimit, ...]
    configured_shapes: tuple[Shape, ...]
    quotas: tuple[TeamQuota, ...] = ()


@attrs.frozen
class RunningGang:
    """A gang that a new owner found on the workers.

    :param done_s: run time kept by earlier checkpoints, in seconds.
    """

    job: Job
    placement: Placement
    guaranteed: bool
    started_at: float
    done_s: float = 0.0


@attrs.frozen
class GangRecovered(Event):
    """A new owner takes over a running gang."""

    gang: RunningGang


@attrs.frozen
class Tick(Event):
    """Time passed."""


class Action:
    """Root of actions."""


@attrs.frozen
class StartGang(Action):
    """Lease every member, then start all."""

    job_id: str
    placement: Placement
    guaranteed: bool


@attrs.frozen
class EvictGang(Action):
    """Checkpoint if possible, stop and release a gang, and answer with ``GangReleased``.

    :param for_job: the job that needs the accelerators.
    """

    job_id: str
    for_job: str
    checkpoint: bool


@attrs.frozen
class StopGang(Action):
    """Stop and release a gang whose job is over; no answer is awaited."""

    job_id: str
    reason: str


@attrs.frozen
class FailJob(Action):
    """The job ran, at least in part, and will not be run again."""

    job_id: str
    reason: str


@attrs.frozen
class RefuseJob(Action):
    """Answer the caller: not run."""

    job_id: str
    reason: str


def block_name(adjacency: Adjacency) -> str:
    """Return the block's name as an operator reads it."""
    return adjacency.value.replace("_", " ")
