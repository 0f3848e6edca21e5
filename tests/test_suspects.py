"""Detection of bad workers and bad jobs, and the end of a quarantine."""

from scheduler_machine import SHAPES, make_worker_info

from lacewingmill.scheduling.messages import (
    GangStarted,
    GuaranteedSlots,
    GuaranteesChanged,
    Job,
    JobFailed,
    JobFinished,
    JobSubmitted,
    SlotKey,
    Tick,
    WorkerJoined,
)
from lacewingmill.scheduling.scheduler import Scheduler
from lacewingmill.scheduling.suspects import FailureTracker

ONE, WHOLE = SHAPES[0], SHAPES[2]
RACK = frozenset({"w0", "w1", "w2", "w3"})


def test_job_is_bad_even_if_a_worker_it_failed_on_succeeded_since():
    tracker = FailureTracker()
    tracker.record_failure("bad", "w0", RACK, 0.0)
    tracker.record_success("good", ("w0",))
    tracker.record_failure("bad", "w1", RACK, 1.0)
    assert tracker.record_failure("bad", "w2", RACK, 2.0).bad_job
    assert not tracker.is_suspect("w1")


def run_on_first_worker(scheduler, job_id, now):
    job = Job(job_id, "s", "t", ONE, False, True, False, now)
    scheduler.handle(JobSubmitted(job), now)
    scheduler.handle(GangStarted(job_id), now)
    assert scheduler.records[job_id].workers == ("w0",)


def test_quarantine_ends_even_if_a_job_finished_on_the_worker_meanwhile():
    """A success must keep the quarantine record, or no probe would uncordon the worker."""
    scheduler = Scheduler()
    scheduler.handle(WorkerJoined(make_worker_info(0)), 0.0)
    run_on_first_worker(scheduler, "good", 0.0)
    for number in range(3):
        run_on_first_worker(scheduler, f"bad{number}", 1.0)
    for number in range(2):
        scheduler.handle(WorkerJoined(make_worker_info(number + 1)), 1.5)
    for number in range(3):
        scheduler.handle(JobFailed(f"bad{number}", "w0"), 2.0)
    assert scheduler.quarantined == {"w0"}
    scheduler.handle(JobFinished("good", 3.0), 3.0)
    scheduler.handle(Tick(), 1000.0)
    assert scheduler.cluster.cordoned == set()


def scheduler_with_failed_job_on(worker_number):
    """Return a scheduler with one worker on which a job has failed."""
    scheduler = Scheduler()
    scheduler.handle(WorkerJoined(make_worker_info(worker_number)), 0.0)
    failing = Job("fails", "s", "t", ONE, False, False, False, 0.0)
    scheduler.handle(JobSubmitted(failing), 0.0)
    scheduler.handle(GangStarted("fails"), 0.0)
    scheduler.handle(JobFailed("fails", f"w{worker_number}"), 1.0)
    return scheduler


def test_non_idempotent_job_avoids_a_suspect_worker():
    scheduler = scheduler_with_failed_job_on(0)
    scheduler.handle(JobSubmitted(Job("order", "s", "t", ONE, False, False, False, 2.0)), 2.0)
    scheduler.handle(JobSubmitted(Job("look", "s", "t", ONE, False, True, False, 2.0)), 2.0)
    assert scheduler.records["look"].workers == ("w0",)
    assert scheduler.records["order"].workers == ()
    scheduler.handle(WorkerJoined(make_worker_info(1)), 3.0)
    assert scheduler.records["order"].workers == ("w1",)


def test_non_idempotent_job_takes_a_suspect_worker_after_a_long_wait():
    scheduler = scheduler_with_failed_job_on(0)
    scheduler.handle(JobSubmitted(Job("order", "s", "t", ONE, False, False, False, 2.0)), 2.0)
    scheduler.handle(Tick(), 500.0)
    assert scheduler.records["order"].workers == ("w0",)


def test_claim_evicts_from_a_good_worker_before_it_takes_a_suspect():
    scheduler = scheduler_with_failed_job_on(0)
    scheduler.handle(WorkerJoined(make_worker_info(1)), 2.0)
    key = SlotKey("s", "u", WHOLE.name)
    guarantees = GuaranteesChanged((GuaranteedSlots(key, WHOLE, 1),), (), SHAPES)
    scheduler.handle(guarantees, 2.0)
    for number in range(9):
        job = Job(f"b{number}", "s", "t", ONE, False, True, False, 3.0)
        scheduler.handle(JobSubmitted(job), 3.0)
    scheduler.handle(JobSubmitted(Job("claim", "s", "u", WHOLE, True, False, False, 4.0)), 4.0)
    assert [part.worker for part in scheduler.records["claim"].block] == ["w1"]
