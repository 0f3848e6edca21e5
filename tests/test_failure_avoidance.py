"""Jobs that have failed on workers: where they may run again, and what waits meanwhile."""

import pytest

from lacewingmill.jobs.scheduler_inputs import new_scheduler
from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.messages import (
    GangStarted,
    Job,
    JobFailed,
    JobSubmitted,
    Needs,
    Objective,
    Tick,
    WorkerInfo,
    WorkerJoined,
)
from standins.platform.fleet import job_id, step, wait_for_owner
from tests.test_platform_path import run

# Users count a job as lost that has nothing running for this long although workers are idle.
LOST_AFTER_S = 3.0
ACCELERATORS = 8
SMALL = Shape("small", 1, Adjacency.WORKER, 1, 1, 1.0, 1)


def make_scheduler(workers=4, labels=()):
    """Return a scheduler with idle workers; ``labels`` are those of the first ones."""
    scheduler = new_scheduler()
    for number in range(workers):
        label = frozenset(labels[number : number + 1])
        info = WorkerInfo(f"w{number}", f"r{number // 2}", "d", ACCELERATORS, 64, 256, label)
        scheduler.handle(WorkerJoined(info), 0.0)
    return scheduler


def make_job(name, shape=SMALL, *, now=0.0, priority=1, needs=None, **fields):
    return Job(
        name,
        "s",
        "t",
        shape,
        claims=False,
        idempotent=True,
        checkpoint=False,
        submitted_at=now,
        urgent=priority == 0,
        needs=needs or Needs(),
        objective=Objective(priority, now + 100.0, now + 300.0),
        **fields,
    )


def whole_workers(count):
    """Return the shape of a gang that needs all accelerators of some workers."""
    return Shape("gang", ACCELERATORS * count, Adjacency.CLUSTER, 1, 1, 4.0, count)


def submit(scheduler, job, now):
    scheduler.handle(JobSubmitted(job), now)
    return scheduler.records[job.job_id]


def fail(scheduler, job, worker, now):
    scheduler.handle(GangStarted(job.job_id), now)
    scheduler.handle(JobFailed(job.job_id, worker), now)


def advance(scheduler, now, seconds):
    """Plan every half second, as the owner does."""
    for tick in range(int(seconds * 2)):
        scheduler.handle(Tick(), now + tick / 2)


# Guards against a gang that needs all workers and never starts again after it has failed on one,
# and against the reservation for it, which kept all other jobs off the idle workers for good.
@pytest.mark.parametrize("priority", [0, 1])
def test_a_gang_that_needs_all_workers_starts_again_after_a_failure(priority):
    scheduler = make_scheduler()
    gang = make_job("gang", whole_workers(4), priority=priority)
    record = submit(scheduler, gang, 0.0)
    fail(scheduler, gang, "w1", 4.0)
    assert record.workers == ()
    advance(scheduler, 4.0, LOST_AFTER_S)
    assert len(record.workers) == 4


def test_other_jobs_start_while_a_wide_gang_avoids_a_worker():
    scheduler = make_scheduler()
    gang = make_job("gang", whole_workers(4))
    submit(scheduler, gang, 0.0)
    fail(scheduler, gang, "w1", 4.0)
    for number in range(8):
        assert submit(scheduler, make_job(f"small{number}", now=4.5), 4.5).workers


# Guards against a job whose label or advice leaves it only workers on which it has failed.
@pytest.mark.parametrize("needs", [Needs(label="a"), Needs(only=frozenset({"w0"}))])
def test_a_job_returns_to_the_only_worker_that_it_may_use(needs):
    scheduler = make_scheduler(labels=("a",))
    job = make_job("job", needs=needs)
    record = submit(scheduler, job, 0.0)
    for now in (1.0, 11.0, 21.0):
        fail(scheduler, job, "w0", now)
        advance(scheduler, now, LOST_AFTER_S)
        assert record.workers == ("w0",)


# Guards against jobs without a limit of attempts that are never started again once they have failed
# on each worker.
def test_a_job_that_has_failed_on_each_worker_starts_again():
    scheduler = make_scheduler()
    job = make_job("job")
    record = submit(scheduler, job, 0.0)
    for now in range(1, 40, 4):
        [worker] = record.workers
        fail(scheduler, job, worker, float(now))
        advance(scheduler, float(now), LOST_AFTER_S)
        assert len(record.workers) == 1


# Guards against siblings of a failed unit that stay off an idle worker because that unit avoids it.
def test_a_failed_unit_does_not_keep_its_siblings_off_a_worker():
    scheduler = make_scheduler(workers=1)
    group = Needs(group="step")
    failed = make_job("a-failed", needs=group)
    submit(scheduler, failed, 0.0)
    fail(scheduler, failed, "w0", 1.0)
    assert submit(scheduler, make_job("b-sibling", now=1.1, needs=group), 1.1).workers == ("w0",)


def test_a_failed_job_runs_elsewhere_while_others_can_hold_it():
    scheduler = make_scheduler(workers=2)
    job = make_job("job")
    record = submit(scheduler, job, 0.0)
    [first] = record.workers
    other = "w1" if first == "w0" else "w0"
    fill = make_job("fill", whole_workers(1), needs=Needs(only=frozenset({other})))
    submit(scheduler, fill, 0.5)
    more = Shape("more", 7, Adjacency.WORKER, 1, 1, 60.0, 1)
    submit(scheduler, make_job("more", more, needs=Needs(only=frozenset({first}))), 0.5)
    fail(scheduler, job, first, 1.0)
    advance(scheduler, 1.0, 10.0)
    assert record.workers == ()  # the cluster is busy, and the other worker will be free
    advance(scheduler, 11.0, 10.0)
    assert record.workers == (first,)


# Guards against a reservation for a gang that can't start while jobs that never end hold workers.
def test_no_workers_are_reserved_beside_jobs_that_never_end():
    scheduler = make_scheduler()
    for number in range(4):
        needs = Needs(only=frozenset({f"w{number}"}))
        submit(scheduler, make_job(f"lasting{number}", needs=needs, lasting=True), 0.0)
    gang = submit(scheduler, make_job("gang", whole_workers(4), now=1.0), 1.0)
    advance(scheduler, 1.0, 20.0)
    assert gang.workers == ()
    long = Shape("long", 1, Adjacency.WORKER, 1, 1, 60.0, 1)
    assert submit(scheduler, make_job("long", long, now=21.0), 21.0).workers


def test_a_wide_gang_that_failed_once_and_small_jobs_complete(fleet):
    """All of it on the emulated platform: the gang needs all workers, and its first run fails."""
    wait_for_owner(fleet)
    gang = [step(count=4, gpu=8, gang=True, est_runtime_ms=2000)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=2 fail=1", seconds=5.0)
    for number in range(2, 6):
        run(fleet, fleet.submit, "vm1", "ordinary", job_id(number), [step()], seconds=0.2)
    fleet.clock.advance(12.0)
    for number in range(1, 6):
        assert run(fleet, fleet.state, "vm0", "ordinary", job_id(number)) == "completed"
