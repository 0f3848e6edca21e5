"""Telling bad workers from bad jobs, and the end of a quarantine."""

from scheduler_machine import SHAPES, make_node

from lacewingmill.scheduling.messages import (
    GangStarted,
    Job,
    JobFailed,
    JobFinished,
    JobSubmitted,
    Tick,
    WorkerJoined,
)
from lacewingmill.scheduling.scheduler import Scheduler
from lacewingmill.scheduling.suspects import FailureBook

ONE = SHAPES[0]
RACK = frozenset({"w0", "w1", "w2", "w3"})


def test_job_is_bad_though_a_worker_it_failed_on_did_well_since():
    book = FailureBook()
    book.fail("bad", "w0", RACK, 0.0)
    book.succeed("good", ("w0",))
    book.fail("bad", "w1", RACK, 1.0)
    assert book.fail("bad", "w2", RACK, 2.0).bad_job
    assert not book.doubtful("w1")


def run_on_first_worker(scheduler, job_id, now):
    job = Job(job_id, "s", "t", ONE, False, True, False, now)
    scheduler.handle(JobSubmitted(job), now)
    scheduler.handle(GangStarted(job_id), now)
    assert scheduler.records[job_id].workers == ("w0",)


def test_quarantine_ends_though_a_job_finished_on_the_worker_meanwhile():
    """The worker is opened by its probe; a success does not leave it closed for good."""
    scheduler = Scheduler()
    scheduler.handle(WorkerJoined(make_node(0)), 0.0)
    run_on_first_worker(scheduler, "good", 0.0)
    for number in range(3):
        run_on_first_worker(scheduler, f"bad{number}", 1.0)
    for number in range(2):
        scheduler.handle(WorkerJoined(make_node(number + 1)), 1.5)
    for number in range(3):
        scheduler.handle(JobFailed(f"bad{number}", "w0"), 2.0)
    assert scheduler.quarantined == {"w0"}
    scheduler.handle(JobFinished("good", 3.0), 3.0)
    scheduler.handle(Tick(), 1000.0)
    assert scheduler.cluster.closed == set()
