"""Workers that are slow or stand, for good or in spells, and run times that are declared wrong."""

import attrs
import pytest

from lacewingmill.load.forecast import forecast_from_remaining
from lacewingmill.load.speeds import WorkerSpeeds
from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.messages import (
    EvictGang,
    GangReleased,
    GangStarted,
    GuaranteesChanged,
    Job,
    JobFinished,
    JobSubmitted,
    Needs,
    Objective,
    ProgressReported,
    StartGang,
    Tick,
    WorkerInfo,
    WorkerJoined,
    WorkerLost,
)
from lacewingmill.scheduling.moves import FASTER_WORKER
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.run_times import RunTimeEstimator
from lacewingmill.scheduling.scheduler import Scheduler

SERVICE = "svc"
STEP_S = 0.1
REPORT_STEPS = 10  # workers report once a second
RESTORE_S = 0.6


@attrs.define
class GangRun:
    """A running gang with the share of its work that is done on each worker."""

    job: Job
    work_s: float
    shares: dict
    begins_at: float


class UnevenCell:
    """A scheduler and workers of given speeds, whose runs report their progress."""

    def __init__(self, workers, speeds=None):
        self.scheduler = Scheduler(OrderRules(defragment=False))
        self.now = 0.0
        self.speeds = speeds or {}
        self.runs = {}
        self.jobs = {}
        self.saved = {}
        self.starts = []
        self.ended_at = {}
        self.evictions = []
        for number in range(workers):
            info = WorkerInfo(f"w{number}", f"r{number // 4}", "d0", 8, 32, 128)
            self.handle(WorkerJoined(info))
        shapes = tuple(Shape(f"{size}", size) for size in (1, 2, 4, 8))
        self.handle(GuaranteesChanged((), (), shapes))

    def handle(self, event):
        for action in self.scheduler.handle(event, self.now):
            if isinstance(action, StartGang):
                self._start(action)
            elif isinstance(action, EvictGang):
                self._evict(action)

    def _start(self, action):
        job, work_s = self.jobs[action.job_id]
        share = self.saved.get(action.job_id, 0.0)
        shares = dict.fromkeys((member.worker for member in action.placement), share)
        begins_at = self.now + (RESTORE_S if share else 0.0)
        self.runs[action.job_id] = GangRun(job, work_s, shares, begins_at)
        self.starts.append((action.job_id, tuple(shares)))
        self.handle(GangStarted(action.job_id))

    def _evict(self, action):
        self.evictions.append((action.job_id, action.for_job))
        gang = self.runs.pop(action.job_id)
        ran_s = 0.0
        if gang.job.checkpoint:
            self.saved[action.job_id] = min(gang.shares.values())
            ran_s = self.now - gang.begins_at
        self.handle(GangReleased(action.job_id, ran_s))

    def submit(self, job_id, work_s, *, group="", members=1, accelerators=1, **fields):
        urgent = fields.pop("urgent", False)
        due_s = fields.pop("due_s", 1.5 * work_s + 0.3)
        job = Job(
            job_id,
            SERVICE,
            "team",
            Shape(
                fields.pop("queue", "plain"),
                accelerators * members,
                Adjacency.CLUSTER if members > 1 else Adjacency.WORKER,
                1,
                1,
                fields.pop("expected_s", work_s),
                members,
            ),
            claims=False,
            idempotent=True,
            checkpoint=fields.pop("checkpoint", False),
            submitted_at=self.now,
            urgent=urgent,
            needs=Needs(group=group or job_id),
            objective=Objective(0 if urgent else 2, self.now + due_s, self.now + 3 * due_s),
        )
        self.jobs[job_id] = (job, work_s)
        self.handle(JobSubmitted(job))

    def play(self, seconds):
        """Let the runs progress in small steps; workers report now and then, and each end."""
        for step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for job_id, gang in list(self.runs.items()):
                self._advance(gang)
                if min(gang.shares.values()) >= 1.0:
                    del self.runs[job_id]
                    self.ended_at[job_id] = self.now
                    self.handle(JobFinished(job_id, self.now - gang.begins_at))
                elif step % REPORT_STEPS == 0:
                    self._report(job_id, gang)
            self.handle(Tick())

    def _advance(self, gang):
        if self.now <= gang.begins_at:
            return
        for worker in gang.shares:
            rate = self.speeds.get(worker, 1.0) / gang.work_s
            gang.shares[worker] = min(1.0, gang.shares[worker] + rate * STEP_S)

    def _report(self, job_id, gang):
        for worker, share in gang.shares.items():
            percent = int(100 * share + 1e-6) / 100
            self.handle(ProgressReported(job_id, worker, percent, self.now))

    def slow_workers(self):
        return self.scheduler.slow_workers(self.now)

    def fill(self, count, work_s=20.0, **fields):
        """Submit a step of equal tasks."""
        for number in range(count):
            self.submit(f"task{number}", work_s, group="step", accelerators=8, **fields)


def test_a_fifth_of_the_workers_slow_in_a_burst_of_urgent_gangs():
    """While sound workers have room, urgent gangs of 2.5 s of work keep off the slow ones."""
    slow = {"w0", "w5"}
    cell = UnevenCell(10, dict.fromkeys(slow, 0.17))
    for number in range(20):
        cell.submit(f"task{number}", 20.0, group="step", accelerators=4)
    cell.play(3.0)
    assert set(cell.slow_workers()) == slow
    for job_id in list(cell.runs):
        del cell.runs[job_id]
        cell.handle(JobFinished(job_id, 3.0))
    cell.starts.clear()
    for number in range(8):
        cell.submit(f"urgent{number}", 2.5, members=2, accelerators=4, urgent=True)
    used = {worker for _, workers in cell.starts for worker in workers}
    assert len(cell.starts) == 8
    assert not used & slow
    cell.play(4.0)
    assert len(cell.ended_at) == 8


def test_a_third_of_the_workers_slightly_slower_for_good_is_left_to_work_with_slack():
    slow = {f"w{number}" for number in range(0, 9, 3)}
    cell = UnevenCell(9, dict.fromkeys(slow, 1 / 1.3))
    for round_number in range(12):
        for number in range(9):
            name = f"task{round_number}.{number}"
            cell.submit(name, 4.0, group=f"step{round_number}", accelerators=8)
        cell.play(6.0)
    assert set(cell.slow_workers()) == slow
    assert all(1.1 < factor < 1.4 for factor in cell.slow_workers().values())
    cell.starts.clear()
    for number in range(6):
        cell.submit(f"urgent{number}", 2.5, accelerators=8, urgent=True)
    assert not {worker for _, workers in cell.starts for worker in workers} & slow


def test_a_slow_job_makes_no_worker_slow():
    """A step whose runs all take seven times their declared time tells nothing about workers."""
    cell = UnevenCell(8)
    cell.fill(8, work_s=35.0, expected_s=5.0)
    for _ in range(20):
        cell.play(1.0)
        assert not cell.slow_workers()
    assert not cell.evictions


def test_a_long_gang_on_one_worker_does_not_make_it_slow():
    cell = UnevenCell(1)
    cell.submit("gang", 35.0, members=2, accelerators=4, expected_s=5.0)
    for _ in range(20):
        cell.play(1.0)
        assert not cell.slow_workers()


def test_tasks_of_a_step_that_differ_by_a_third_make_no_worker_slow():
    cell = UnevenCell(8)
    for number in range(8):
        cell.submit(f"task{number}", 8.0 + 0.35 * number, group="step", accelerators=8)
    cell.play(8.0)
    assert not cell.slow_workers()


def test_a_standing_worker_is_found_while_its_siblings_progress():
    cell = UnevenCell(6)
    cell.fill(6)
    cell.play(3.0)
    assert not cell.slow_workers()
    cell.speeds["w2"] = 0.0
    cell.play(2.5)
    assert list(cell.slow_workers()) == ["w2"]
    assert cell.slow_workers()["w2"] > 3.0


def test_a_worker_is_sound_again_some_seconds_after_its_spell():
    cell = UnevenCell(6)
    cell.fill(6, work_s=60.0)
    cell.speeds["w2"] = 0.17
    cell.play(4.0)
    assert "w2" in cell.slow_workers()
    cell.speeds["w2"] = 1.0
    cell.play(5.0)
    assert cell.slow_workers().get("w2", 1.0) < 1.6


def test_short_runs_that_end_between_two_reports_show_a_slow_worker():
    cell = UnevenCell(6, {"w2": 0.25})
    for number in range(18):
        cell.submit(f"task{number}", 0.4, group="step", accelerators=8)
    cell.play(3.0)
    assert list(cell.slow_workers()) == ["w2"]


def test_a_slow_worker_without_work_is_forgotten():
    speeds = WorkerSpeeds()
    speeds.learn("w0", 0.1, 0.02, 1.0, 10.0, first=True)
    assert speeds.slowdown("w0", 10.5) > 2.0
    assert speeds.slowdown("w0", 30.0) == 1.0
    assert speeds.slowdown("w1", 10.5) == 1.0


def test_a_worker_that_was_started_again_counts_as_of_usual_speed():
    cell = UnevenCell(6, {"w2": 0.1})
    cell.fill(6)
    cell.play(3.0)
    assert "w2" in cell.slow_workers()
    cell.handle(WorkerLost("w2"))
    assert not cell.slow_workers()


def test_a_run_on_a_slow_worker_moves_with_its_checkpoint():
    cell = UnevenCell(7)
    cell.fill(6, work_s=12.0, checkpoint=True)
    cell.play(2.0)
    victim, (slow,) = cell.starts[0]
    cell.speeds[slow] = 0.1
    cell.play(14.0)
    assert cell.evictions == [(victim, FASTER_WORKER)]
    assert [workers for job_id, workers in cell.starts if job_id == victim][-1] != (slow,)
    assert cell.ended_at[victim] < 20.0


def test_a_run_without_a_checkpoint_that_is_nearly_done_stays():
    cell = UnevenCell(7)
    cell.fill(6, work_s=12.0)
    cell.play(10.0)
    cell.speeds[cell.starts[0][1][0]] = 0.1
    cell.play(4.0)
    assert not cell.evictions


@pytest.mark.parametrize(("work_s", "sound_s", "moves"), [(2.5, 0.3, True), (17.5, 1.2, False)])
def test_a_job_moves_off_a_slow_worker_only_if_it_then_ends_in_time(work_s, sound_s, moves):
    """A job of seven times the usual work would be as late elsewhere."""
    cell = UnevenCell(2)
    cell.submit("job", work_s, expected_s=2.5, due_s=4.0, accelerators=8)
    (slow,) = cell.starts[0][1]
    cell.play(sound_s)
    cell.speeds[slow] = 0.25
    for _ in range(5):
        cell.play(0.5)
        cell.scheduler._state.speeds.learn(slow, 0.4, 0.1, 1.0, cell.now, first=False)
    assert bool(cell.evictions) == moves


def test_no_run_moves_while_no_sound_worker_is_free():
    cell = UnevenCell(6)
    cell.fill(6, work_s=12.0, checkpoint=True)
    cell.play(2.0)
    cell.speeds["w0"] = 0.1
    cell.play(6.0)
    assert not cell.evictions


def test_an_urgent_job_takes_a_very_slow_worker_if_it_would_wait_for_long():
    cell = UnevenCell(4)
    cell.fill(4, work_s=20.0)
    cell.speeds["w0"] = 0.1
    cell.play(4.0)
    on_slow = next(job_id for job_id, workers in cell.starts if workers == ("w0",))
    del cell.runs[on_slow]
    cell.handle(JobFinished(on_slow, 4.0))
    state = cell.scheduler._state
    for record in state.records.values():
        record.protected = True
    cell.submit("urgent", 2.5, accelerators=8, urgent=True)
    assert "urgent" not in cell.runs
    cell.play(2.0)
    assert "urgent" in cell.runs


@pytest.mark.parametrize(("share", "at", "left_s"), [(0.3, 5.0, 11.7), (0.5, 5.0, 5.0)])
def test_progress_tells_the_remaining_time_of_a_job_with_a_wrong_estimate(share, at, left_s):
    cell = UnevenCell(1)
    cell.submit("job", 100.0, expected_s=2.0)
    cell.now = at
    cell.handle(ProgressReported("job", "w0", share, at))
    state = cell.scheduler._state
    forecast = state.forecast(state.records["job"], at)
    assert forecast.likely_at - at == pytest.approx(left_s, abs=0.1)
    assert forecast.early_at < forecast.likely_at < forecast.late_at


def test_run_times_are_learned_while_the_first_job_of_a_queue_still_runs():
    cell = UnevenCell(1)
    cell.submit("job", 35.0, expected_s=5.0)
    before_s = cell.scheduler._state.expected_s(cell.jobs["job"][0])
    cell.play(6.0)
    assert cell.scheduler._state.expected_s(cell.jobs["job"][0]) > 2 * before_s


def test_the_spread_of_a_forecast_follows_how_well_run_times_were_estimated():
    run_times = RunTimeEstimator()
    before = run_times.spread(SERVICE, "plain")
    for _ in range(40):
        run_times.learn(SERVICE, "plain", 5.0, 10.0)
    assert run_times.spread(SERVICE, "plain") < 0.3 * before
    sure = forecast_from_remaining(10.0, 0.0, run_times.spread(SERVICE, "plain"))
    unsure = forecast_from_remaining(10.0, 0.0, before)
    assert unsure.early_at < sure.early_at < sure.likely_at < sure.late_at < unsure.late_at
