"""The order of waiting jobs with objectives when there is too little room, on stepped time."""

import heapq

import pytest

from lacewingmill.jobs.scheduler_inputs import JOB_FAILURE_RULES, JOB_RULES
from lacewingmill.load.team_use import TeamUse
from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.messages import (
    DeferJob,
    GangStarted,
    GuaranteesChanged,
    Job,
    JobFinished,
    JobSubmitted,
    Needs,
    Objective,
    StartGang,
    Tick,
    WorkerInfo,
    WorkerJoined,
)
from lacewingmill.scheduling.scheduler import Scheduler
from standins.platform.fleet import job_id, step, wait_for_owner
from tests.test_platform_path import run

ROUND_S = 0.1


class BusyCell:
    """A scheduler whose gangs run for their declared time, planned ten times a second."""

    def __init__(self, workers):
        self.scheduler = Scheduler(JOB_RULES, JOB_FAILURE_RULES)
        self.now = 0.0
        self.started = {}
        self.deferred = []
        self.jobs = {}
        self._ends = []
        for number in range(workers):
            info = WorkerInfo(f"w{number}", f"r{number // 4}", "d0", 8, 64, 256)
            self.scheduler.apply(WorkerJoined(info), 0.0)
        self.scheduler.apply(GuaranteesChanged((), (), ()), 0.0)

    def submit(self, name, *, team="a", units=1, size=1, members=1, rank=1, **times):
        run_s, due_s, last_s = (
            times.get("run_s", 4.0),
            times.get("due_s", 8),
            times.get("last_s", 24),
        )
        adjacency = Adjacency.CLUSTER if members > 1 else Adjacency.WORKER
        shape = Shape("q", size * members, adjacency, 1, 1, run_s, members)
        for number in range(units):
            job = Job(
                f"{name}/{number}",
                "svc",
                team,
                shape,
                claims=False,
                idempotent=True,
                checkpoint=False,
                submitted_at=self.now,
                needs=Needs(group=name),
                objective=Objective(rank, self.now + due_s, self.now + last_s),
                group_size=units,
            )
            self.jobs[job.job_id] = job
            self.scheduler.apply(JobSubmitted(job), self.now)

    def plan(self):
        for action in self.scheduler.handle(Tick(), self.now):
            if isinstance(action, StartGang):
                self.started[action.job_id] = self.now
                self.scheduler.apply(GangStarted(action.job_id), self.now)
                run_s = self.jobs[action.job_id].shape.expected_s
                heapq.heappush(self._ends, (self.now + run_s, action.job_id, run_s))
            elif isinstance(action, DeferJob):
                self.deferred.append(action.job_id)

    def advance(self, seconds):
        for _ in range(round(seconds / ROUND_S)):
            self.now += ROUND_S
            while self._ends and self._ends[0][0] <= self.now:
                _, name, run_s = heapq.heappop(self._ends)
                self.scheduler.apply(JobFinished(name, run_s), self.now)
            self.plan()

    def started_units(self, name):
        return sum(1 for unit in self.started if unit.startswith(f"{name}/"))


def test_a_burst_of_one_team_leaves_room_for_nine_small_ones():
    cell = BusyCell(workers=4)
    for number in range(20):
        cell.submit(f"large-{number}", team="large", units=8)
    for number in range(9):
        cell.submit(f"small-{number}", team=f"small-{number}", units=2)
    cell.plan()
    assert all(cell.started_units(f"small-{number}") == 2 for number in range(9))
    assert len(cell.started) == 32


def test_a_team_that_used_much_lately_yields_to_another_at_the_end_of_its_burst():
    cell = BusyCell(workers=1)
    cell.submit("burst", team="large", units=8)
    cell.plan()
    cell.submit("more", team="large", units=8)
    cell.submit("other", team="small", units=8)
    cell.advance(4.5)
    assert cell.started_units("other") == 8
    assert not cell.started_units("more")


def test_overload_serves_what_can_still_be_in_time():
    cell = BusyCell(workers=1)
    cell.submit("too late", units=8, due_s=1, last_s=3)
    cell.submit("late", units=8, due_s=3, last_s=24)
    cell.submit("in time", units=8, due_s=6)
    cell.plan()
    assert cell.started_units("in time") == 8
    cell.advance(4.5)
    assert cell.started_units("late") == 8
    assert cell.deferred == [f"too late/{number}" for number in range(8)]
    cell.advance(4.5)
    assert cell.started_units("too late") == 8


def test_a_last_moment_goes_before_slack_to_spare_under_overload():
    cell = BusyCell(workers=1)
    cell.submit("slack", units=8, due_s=30, last_s=90)
    cell.submit("last moment", units=8, due_s=1, last_s=5)
    cell.plan()
    assert cell.started_units("last moment") == 8


def test_a_job_with_hours_of_slack_goes_before_one_that_is_too_late_under_overload():
    cell = BusyCell(workers=1)
    cell.submit("too late", units=8, due_s=1, last_s=3, rank=0)
    cell.submit("hours", units=8, due_s=50_000, last_s=150_000, rank=2)
    cell.plan()
    assert cell.started_units("hours") == 8


@pytest.mark.parametrize("due_s", [7, 30])
def test_a_higher_rank_goes_first_under_overload(due_s):
    cell = BusyCell(workers=1)
    cell.submit("patient", units=8, rank=2, due_s=due_s)
    cell.submit("usual", units=8, rank=1, due_s=7)
    cell.plan()
    assert cell.started_units("usual") == 8


def test_overload_finishes_a_step_that_is_nearly_done_before_it_starts_another():
    cell = BusyCell(workers=1)
    cell.submit("first", units=12, due_s=30, last_s=90)
    cell.plan()
    cell.submit("second", units=8, due_s=30, last_s=90)
    cell.advance(4.5)
    assert cell.started_units("first") == 12
    assert cell.started_units("second") == 4


def test_wide_gangs_start_within_their_bound_under_overload():
    """Small units arrive faster than they end; a gang of two whole workers still starts in use."""
    cell = BusyCell(workers=4)
    wide_units = []
    for second in range(30):
        cell.submit(f"small-{second}", team="a", units=12, run_s=4.0, due_s=8, last_s=24)
        if second in (3, 9):
            cell.submit(f"wide-{second}", team="b", size=8, members=2, run_s=4.0)
            wide_units.append((f"wide-{second}/0", cell.now))
        cell.advance(1.0)
    for unit, submitted_at in wide_units:
        assert cell.started[unit] + 4.0 <= submitted_at + 24.0


def test_team_use_decays_within_some_run_times():
    use = TeamUse(half_life_s=10.0)
    use.update({("svc", "a"): 8}, 0.0)
    use.update({("svc", "a"): 8}, 10.0)
    assert use.mean(("svc", "a")) == pytest.approx(4.0)
    use.update({}, 20.0)
    assert use.mean(("svc", "a")) == pytest.approx(2.0)
    assert use.relative_use(("svc", "a"), 2, 4.0) == pytest.approx(0.5)


def test_nothing_starves_when_the_owner_is_replaced_in_an_overload(fleet):
    """A new owner knows of no past use; all jobs of the overload end under it."""
    for number in range(1, 7):
        steps = [step(count=8, gpu=2)]
        queue = "patient" if number % 2 else "ordinary"
        assert run(fleet, fleet.submit, "vm0", queue, job_id(number), steps, "run_s=2") == 200
    first = fleet.owner
    fleet.kill(first)
    wait_for_owner(fleet)
    assert fleet.owner != first
    fleet.clock.advance(40.0)
    for number in range(1, 7):
        queue = "patient" if number % 2 else "ordinary"
        assert run(fleet, fleet.state, fleet.owner, queue, job_id(number)) == "completed"
    fleet.check_invariants()


def test_a_wide_gang_that_is_too_late_holds_no_room_under_overload():
    """The reservation passes from the older gang to the one that can still be of use."""
    cell = BusyCell(workers=4)
    for second in range(20):
        cell.submit(f"small-{second}", team="a", units=12, run_s=4.0, due_s=8, last_s=24)
        if second == 2:
            cell.submit("hopeless", team="b", size=8, members=4, run_s=9.0, due_s=4, last_s=12)
            cell.submit("useful", team="b", size=8, members=2, run_s=4.0, due_s=8, last_s=20)
            submitted_at = cell.now
        cell.advance(1.0)
    assert cell.started["useful/0"] + 4.0 <= submitted_at + 20.0
    assert "hopeless/0" in cell.deferred
    assert "hopeless/0" not in cell.started
