"""Events that the scheduler handles and actions that it returns.

All times are in seconds on the clock of the scheduler's caller.
"""

import enum

import attrs

from lacewingmill.models import Adjacency, Shape, Vm

__all__ = [
    "Action",
    "DeferJob",
    "DomainsEvacuated",
    "EvictGang",
    "EvictionReason",
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
    "NeedsChanged",
    "Objective",
    "Placement",
    "ProgressReported",
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
    "WorkerInfo",
    "WorkerLeaving",
    "WorkerSilent",
    "block_name",
    "worker_info_from_vm",
]


@attrs.frozen
class WorkerInfo:
    """What a worker offers, as announced to the scheduler.

    :param labels: labels that jobs can require of a worker.
    """

    worker: str
    rack: str
    failure_domain: str
    accelerators: int
    processors: float
    memory_gb: float
    labels: frozenset[str] = frozenset()


def worker_info_from_vm(vm: Vm) -> WorkerInfo:
    """Return what a worker of the VM list offers to the scheduler."""
    return WorkerInfo(
        vm.name, vm.rack, vm.failure_domain, vm.accelerators, vm.processors, vm.memory_gb
    )


@attrs.frozen
class Member:
    """The part of a gang that runs on one worker.

    :param accelerators: indices of the accelerators that it uses on the worker.
    :param units: number of gang members on this worker; one per accelerator by default.
    """

    worker: str
    accelerators: tuple[int, ...]
    units: int = attrs.field(
        default=attrs.Factory(lambda self: len(self.accelerators), takes_self=True)
    )


Placement = tuple[Member, ...]


@attrs.frozen(order=True)
class SlotKey:
    """Identifies the guaranteed slots of one team and shape."""

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
    """The maximum number of accelerators that a team of a service may hold at once."""

    service: str
    team: str
    max_accelerators: int


@attrs.frozen
class TeamQuota:
    """The number of accelerators guaranteed to a team's urgent jobs, whatever their shapes."""

    service: str
    team: str
    accelerators: int


@attrs.frozen
class Needs:
    """Placement constraints of a job, in addition to the resources of its shape.

    :param label: label that each worker must have; empty for none.
    :param rack: rack that holds the job's data; on other racks the job runs several times longer.
    :param group: name shared by the jobs that count together for ``max_per_worker``.
    :param max_per_worker: maximum members of the group on one worker; 0 for no limit.
    :param same_rack: whether the gang runs slower when it spans racks. Such a gang spans racks only
        after a long wait or if no rack can hold it.
    :param only: workers that may be used; ``None`` for all.
    """

    label: str = ""
    rack: str = ""
    group: str = ""
    max_per_worker: int = 0
    same_rack: bool = False
    only: frozenset[str] | None = None


@attrs.frozen
class Objective:
    """Priority and deadlines of a job, in seconds on the scheduler's clock.

    :param rank: jobs of a lower rank go first.
    :param due_at: soft deadline; a later answer is late.
    :param last_at: hard deadline; a later answer has no value.
    """

    rank: int
    due_at: float
    last_at: float


@attrs.frozen
class Job:
    """A gang job.

    :param claims: whether it claims an unclaimed guaranteed slot of its team.
    :param idempotent: whether it may run twice.
    :param checkpoint: whether it can be stopped and resumed.
    :param submitted_at: time of submission, in seconds.
    :param urgent: whether it may evict other work and counts towards its team's quota.
    :param objective: its priority and deadlines; jobs without one are ordered by their expected
        run times.
    :param lasting: whether it runs until it is cancelled, whatever its shape's run time says.
    :param group_size: number of jobs of its group, which are of use only when all of them are done.
    :param resumed: whether an earlier run, which this scheduler may not know, left a checkpoint.
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
    lasting: bool = False
    group_size: int = 1
    resumed: bool = False

    @property
    def evictable(self) -> bool:
        """Whether the job can be evicted while it runs on borrowed accelerators."""
        return self.idempotent or self.checkpoint

    @property
    def slot_key(self) -> SlotKey:
        """The key of the guaranteed slots that the job may claim."""
        return SlotKey(self.service, self.team, self.shape.name)


class Event:
    """Base class of events."""


@attrs.frozen
class NeedsChanged(Event):
    """The placement constraints of all jobs of a group have changed; running ones stay."""

    needs: Needs


@attrs.frozen
class JobSubmitted(Event):
    """A job was submitted."""

    job: Job


@attrs.frozen
class JobCancelled(Event):
    """A job must not run any more: it was cancelled, or it already has an outcome."""

    job_id: str


@attrs.frozen
class GangStarted(Event):
    """All members of a gang are running."""

    job_id: str


@attrs.frozen
class GangRejected(Event):
    """A gang could not be leased or started; all its members have been released.

    :param worker: the worker that refused or did not answer.
    :param silent: whether it did not answer, so that the state of its accelerators is unknown.
    """

    job_id: str
    worker: str
    silent: bool


@attrs.frozen
class GangReleased(Event):
    """An evicted gang has been released on all its workers.

    :param saved_s: run time preserved by a checkpoint, in seconds.
    """

    job_id: str
    saved_s: float


@attrs.frozen
class JobFinished(Event):
    """A job finished with an answer.

    :param run_s: total run time, in seconds.
    """

    job_id: str
    run_s: float


@attrs.frozen
class JobFailed(Event):
    """A running gang failed on a worker; all its members have been released.

    An idempotent job is run again on other workers unless it has failed on several.
    """

    job_id: str
    worker: str


@attrs.frozen
class WorkerJoined(Event):
    """A worker is live and its leases are known.

    :param leaving: whether it is about to leave and therefore gets no new work.
    """

    info: WorkerInfo
    leaving: bool = False


@attrs.frozen
class WorkerSilent(Event):
    """A worker did not answer an order in time; it gets no new work until it answers."""

    worker: str


@attrs.frozen
class WorkerLeaving(Event):
    """A worker is about to leave, or no longer is; its gangs keep running.

    A leaving worker gets no new work.

    :param stays: whether the worker is no longer about to leave.
    """

    worker: str
    stays: bool = False


@attrs.frozen
class WorkerAnswered(Event):
    """A worker answers again."""

    worker: str


@attrs.frozen
class WorkerLost(Event):
    """A worker left, expired or stopped answering; its gangs end on all their workers.

    :param left: whether it has left for good, so that no job may wait for it.
    """

    worker: str
    left: bool = False


@attrs.frozen
class GuaranteesChanged(Event):
    """A new configuration took effect.

    :param configured_shapes: all shapes of the configuration, over which packing is measured.
    """

    slots: tuple[GuaranteedSlots, ...]
    limits: tuple[TeamLimit, ...]
    configured_shapes: tuple[Shape, ...]
    quotas: tuple[TeamQuota, ...] = ()


@attrs.frozen
class RunningGang:
    """A gang that was found running when a new owner took over.

    :param done_s: run time preserved by earlier checkpoints, in seconds.
    """

    job: Job
    placement: Placement
    guaranteed: bool
    started_at: float
    done_s: float = 0.0


@attrs.frozen
class GangRecovered(Event):
    """A new owner recovered a running gang."""

    gang: RunningGang


@attrs.frozen
class DomainsEvacuated(Event):
    """The operator wants no new work in some failure domains; replaces the earlier set.

    :param domains: all failure domains that are evacuated now.
    """

    domains: frozenset[str]


@attrs.frozen
class ProgressReported(Event):
    """A worker reported how far its part of a running gang has come.

    :param done_share: share of the work that is done, 0..1.
    :param at: time of the report, in seconds.
    """

    job_id: str
    worker: str
    done_share: float
    at: float


@attrs.frozen
class Tick(Event):
    """Time has passed; nothing else has changed."""


class Action:
    """Base class of actions."""


@attrs.frozen
class StartGang(Action):
    """Lease the accelerators of all members, then start the gang."""

    job_id: str
    placement: Placement
    guaranteed: bool


class EvictionReason(enum.Enum):
    """What a gang is evicted for."""

    GUARANTEED = "guaranteed"
    BEYOND_QUOTA = "beyond_quota"
    MOVE = "move"
    DEPARTURE = "departure"
    MEMBER_LOST = "member_lost"


@attrs.frozen
class EvictGang(Action):
    """Checkpoint a gang if possible, stop and release it, then report ``GangReleased``.

    :param for_job: the job that needs the accelerators, or what else the gang is evicted for;
        empty when a worker of the gang was lost.
    :param lost_s: accelerator-seconds of work that the eviction throws away.
    """

    job_id: str
    for_job: str
    checkpoint: bool
    reason: EvictionReason = EvictionReason.MEMBER_LOST
    lost_s: float = 0.0


@attrs.frozen
class StopGang(Action):
    """Stop and release a gang whose job has ended; no event is expected in reply."""

    job_id: str
    reason: str


@attrs.frozen
class FailJob(Action):
    """Report that a job failed: it ran at least in part and will not be run again."""

    job_id: str
    reason: str


@attrs.frozen
class RefuseJob(Action):
    """Report that a job was not run."""

    job_id: str
    reason: str


@attrs.frozen
class DeferJob(Action):
    """Report that a waiting job is expected to miss its last moment, so that others go first."""

    job_id: str


def block_name(adjacency: Adjacency) -> str:
    """Return the kind of block that an adjacency asks for, in words for operators."""
    return adjacency.value.replace("_", " ")
