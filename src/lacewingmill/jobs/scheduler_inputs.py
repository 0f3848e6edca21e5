"""Conversion of units, workers and team quotas to the scheduler's messages."""

import attrs

from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.model import HARD_DEADLINE_FACTOR, QueueTable, Step, Unit
from lacewingmill.jobs.ports import WorkerEntry
from lacewingmill.jobs.settings import PlatformLimits
from lacewingmill.models import Adjacency, Shape
from lacewingmill.ports import Clock
from lacewingmill.scheduling.eviction_policy import EvictionRules
from lacewingmill.scheduling.messages import (
    GuaranteesChanged,
    Job,
    Needs,
    Objective,
    TeamQuota,
    WorkerInfo,
)
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.scheduler import Scheduler
from lacewingmill.scheduling.suspects import FailureRules

__all__ = ["new_scheduler", "build_quotas_event", "unit_job", "worker_info_from_entry"]

# Jobs take seconds on this platform, so wide gangs get a reservation after seconds. A stopped task
# with a checkpoint loses only the time to restore it. Users value an accelerator as much as eight
# cores.
JOB_RULES = OrderRules(
    reservation_wait_factor=0.5,
    min_reservation_wait_s=2.0,
    defragment=False,
    checkpoint_loss_s=0.6,
    processor_weight=0.125,
    headroom=0.25,
)
# The job graph counts attempts, so ``bad_job_workers`` is out of reach. A worker on which several
# jobs fail is quarantined for a few seconds. Users count a job as lost that waits for 3 s beside
# idle workers, so a job returns to a worker on which it failed before that.
JOB_FAILURE_RULES = FailureRules(
    bad_job_workers=1_000_000,
    bad_worker_jobs=3,
    window_s=15.0,
    quarantine_s=4.0,
    max_quarantine_s=30.0,
    rack_share=0.67,
    return_s=2.0,
)


def new_scheduler(limits: PlatformLimits | None = None) -> Scheduler:
    """Return a scheduler for the workers of one service.

    :param limits: time limits of the platform; without them, urgent work within its team's quota
        evicts at once.
    """
    if limits is None:
        return Scheduler(JOB_RULES, JOB_FAILURE_RULES)
    rules = attrs.evolve(JOB_RULES, checkpoint_loss_s=limits.restore_s)
    evictions = EvictionRules(
        limits.guaranteed_begin_s, limits.longest_stop_s, notice_s=limits.notice_s
    )
    return Scheduler(rules, JOB_FAILURE_RULES, evictions)


def worker_info_from_entry(entry: WorkerEntry) -> WorkerInfo:
    """Return the scheduler's description of a worker."""
    return WorkerInfo(
        entry.worker,
        entry.rack,
        entry.failure_domain,
        entry.accelerators,
        entry.processors,
        entry.memory_gb,
        entry.labels,
    )


def build_quotas_event(table: QueueTable, service: str, scheduler: Scheduler) -> GuaranteesChanged:
    """Return the scheduler's event for the configured team quotas of a service.

    The sizes of future gangs are unknown; powers of two up to a whole worker represent them.
    """
    max_accelerators = max(
        (worker_state.info.accelerators for worker_state in scheduler.cluster.workers.values()),
        default=8,
    )
    sizes = [1]
    while sizes[-1] * 2 <= max_accelerators:
        sizes.append(sizes[-1] * 2)
    shapes = tuple(Shape(f"{size}", size) for size in sizes)
    quotas = tuple(TeamQuota(service, team.name, team.quota) for team in table.teams)
    return GuaranteesChanged((), (), shapes, quotas)


def unit_job(
    graph: JobGraph, unit: Unit, clock: Clock, allowed_workers: frozenset[str] | None = None
) -> Job:
    """Return the scheduler's job for a unit.

    :param allowed_workers: the workers that may run the unit; ``None`` for all.
    """
    submission = graph.submission
    step = submission.steps[unit.step]
    now = clock.now()
    available_at = submission.timing.starts_at(unit.occurrence) or submission.accepted_at
    submitted_at = now + min(0.0, available_at - clock.wall())
    due_after_s = graph.due_after_s
    return Job(
        unit.unit_id,
        submission.service,
        submission.team,
        _shape(submission.queue, step, len(unit.indexes)),
        claims=False,
        idempotent=True,
        checkpoint=step.checkpoint,
        submitted_at=submitted_at,
        urgent=submission.priority == 0,
        needs=Needs(
            step.label,
            step.data_rack,
            f"{unit.job_id}/{unit.occurrence}/{unit.step}",
            step.max_per_worker,
            step.same_rack and len(unit.indexes) > 1,
            allowed_workers,
        ),
        objective=Objective(
            submission.priority,
            submitted_at + due_after_s,
            submitted_at + HARD_DEADLINE_FACTOR * due_after_s,
        ),
        lasting=step.lasting,
        group_size=1 if step.gang else step.count,
        resumed=bool(graph.checkpoints.get(unit.task(unit.indexes[0]))),
    )


def _shape(queue: str, step: Step, members: int) -> Shape:
    adjacency = Adjacency.CLUSTER if members > 1 else Adjacency.WORKER
    return Shape(
        queue,
        step.accelerators * members,
        adjacency,
        0.0 if step.fills else step.processors,
        step.memory_gb,
        max(step.expected_s, 0.001),
        members,
    )
