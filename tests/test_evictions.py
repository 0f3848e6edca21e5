"""Evictions for urgent work: what they hit, how long they wait, the bound of guaranteed work."""

import random

import pytest

from lacewingmill.scheduling.departure_notices import DepartureNotices
from lacewingmill.scheduling.eviction_policy import EvictionRules
from lacewingmill.scheduling.messages import (
    GangReleased,
    JobFinished,
    ProgressReported,
    Tick,
    WorkerLeaving,
)
from standins.platform.fleet import job_id, step, wait_for_owner
from tests.test_platform_path import run
from tests.test_quotas import SimulatedCell

RULES = EvictionRules(begin_s=2.9, stop_s=0.4, notice_s=3.0)


def full_cell(*, quota, workers=1, patient_s=10.0, **fields):
    """Return a cell whose workers each run eight tasks of one accelerator."""
    cell = SimulatedCell(workers=workers, quotas=[("rich", quota)], evictions=RULES)
    for number in range(8 * workers):
        cell.submit(f"patient{number}", expected_s=patient_s, due_s=100, **fields)
    return cell


def finish_patients(cell, run_s):
    for name in [name for name in cell.started if name.startswith("patient")]:
        del cell.started[name]
        cell.scheduler.apply(JobFinished(name, run_s), cell.now)
    cell.handle_event(Tick())


def report_progress(cell, shares):
    """Report the progress of all tasks, by the time of the report."""
    for at, share in shares.items():
        cell.now = at
        for name in cell.started:
            worker = cell.scheduler.records[name].workers[0]
            cell.scheduler.apply(ProgressReported(name, worker, share, at), at)


def test_an_urgent_burst_waits_for_ends_that_come_in_time():
    cell = full_cell(quota=16, workers=2, patient_s=2.0)
    report_progress(cell, {1.0: 0.5, 1.5: 0.75})
    for number in range(2):
        cell.submit(f"urgent{number}", team="rich", accelerators=8, urgent=True, expected_s=2.5)
    assert cell.evicted == []
    cell.now = 2.0
    finish_patients(cell, 2.0)
    assert {"urgent0", "urgent1"} <= set(cell.started)
    assert cell.evicted == []


def test_an_urgent_job_does_not_wait_for_ends_that_come_later_than_a_stop_takes():
    cell = full_cell(quota=8, patient_s=2.0)
    cell.now = 1.0
    cell.submit("urgent", team="rich", accelerators=8, urgent=True, expected_s=2.5, due_s=20)
    assert len(cell.evicted) == 8


def test_room_that_becomes_free_for_an_urgent_gang_goes_to_no_other_task():
    cell = full_cell(quota=0, patient_s=2.0)
    cell.now = 1.6
    cell.submit("urgent", team="rich", accelerators=8, urgent=True, expected_s=2.5, due_s=5)
    assert cell.scheduler.records["urgent"].state.value == "claiming"
    cell.submit("other", accelerators=1)
    finish_patients(cell, 2.0)
    assert "urgent" in cell.started
    assert "other" not in cell.started
    assert cell.evicted == []


def test_an_urgent_job_does_not_wait_for_ends_that_are_doubtful():
    cell = full_cell(quota=8)
    cell.now = 7.9
    cell.submit("urgent", team="rich", accelerators=8, urgent=True, expected_s=2.5)
    assert len(cell.evicted) == 8


def test_guaranteed_work_starts_within_its_bound_whatever_the_forecast():
    """All gangs are forecast to end in time, and none does."""
    cell = full_cell(quota=8, patient_s=2.0)
    cell.now = accepted_at = 1.0
    cell.submit("urgent", team="rich", accelerators=8, urgent=True, expected_s=2.5, due_s=60)
    while "urgent" not in cell.started and cell.now < 10.0:
        cell.now += 0.1
        cell.handle_event(Tick())
        if cell.releases:
            cell.now += RULES.stop_s - 0.5  # ``release`` adds half a second
            cell.release()
    assert cell.now - accepted_at <= RULES.begin_s


def test_an_urgent_job_beyond_its_quota_evicts_nothing_when_it_would_be_late_all_the_same():
    cell = full_cell(quota=0)
    cell.now = 0.5
    cell.submit("urgent", team="rich", accelerators=8, urgent=True, expected_s=2.5, due_s=2.6)
    assert cell.evicted == []


def test_a_job_is_not_evicted_twice_in_a_row():
    cell = SimulatedCell(workers=2, quotas=[("rich", 0)], evictions=RULES)
    for name in ("first", "second"):
        cell.submit(name, accelerators=8, due_s=100)
    evicted = []
    for number in range(2):
        cell.now += 1.0
        cell.submit(f"urgent{number}", team="rich", accelerators=8, urgent=True, expected_s=2.5)
        evicted += cell.evicted[len(evicted) :]
        cell.release()
        cell.handle_event(JobFinished(f"urgent{number}", 2.5))
    assert sorted(evicted) == ["first", "second"]


def test_a_job_that_was_evicted_often_ends_before_the_next_urgent_burst_beyond_its_quota():
    cell = SimulatedCell(quotas=[("rich", 0)], evictions=RULES)
    cell.submit("patient", accelerators=8, due_s=100)
    for number in range(4):
        cell.now += 1.0
        name = f"urgent{number}"
        cell.submit(name, team="rich", accelerators=8, urgent=True, expected_s=8.0)
        cell.release()
        if name in cell.started:
            cell.handle_event(JobFinished(name, 8.0))
    assert cell.evicted == ["patient"] * 2


def test_a_stopped_gang_makes_all_its_workers_room_for_an_urgent_gang():
    """Stopping the wide gang alone loses less than stopping it and tasks beside it."""
    cell = SimulatedCell(workers=4, quotas=[("rich", 24)], evictions=RULES)
    cell.submit("wide", accelerators=8, members=2, due_s=100)
    for number in range(2):
        cell.submit(f"older{number}", accelerators=8, due_s=100)
    cell.now = 5.0
    cell.submit("urgent", team="rich", accelerators=8, members=3, urgent=True, due_s=3)
    assert "wide" in cell.evicted
    assert len(cell.evicted) == 2


def test_gangs_that_checkpoint_are_evicted_before_gangs_that_lose_all():
    cell = SimulatedCell(workers=2, quotas=[("rich", 8)], evictions=RULES)
    cell.submit("loses", accelerators=8, due_s=100, expected_s=60)
    cell.submit("saves", accelerators=8, due_s=100, expected_s=60, checkpoint=True)
    cell.now = 20.0
    cell.submit("urgent", team="rich", accelerators=8, urgent=True, expected_s=6.0, due_s=8)
    assert cell.evicted == ["saves"]


class BusyCell(SimulatedCell):
    """A cell in steps of 0.1 s: runs end at random times, and stops take up to the longest time."""

    def __init__(self, rng):
        super().__init__(workers=6, quotas=[("rich", 32)], evictions=RULES)
        self.rng = rng
        self.accepted = {}
        self.begun = {}
        self.ends = {}
        self.stops = {}
        self.count = 0

    def step(self):
        self.now += 0.1
        for name in [name for name in self.started if name not in self.ends]:
            self.begun.setdefault(name, self.now)
            longest_s = 2.0 if name in self.accepted else 30.0
            self.ends[name] = self.now + min(longest_s, self.rng.choice([0.5, 2.0, 5.0, 30.0]))
        for name in self.started.keys() & set(self.evicted):
            self.stops[name] = self.now + self.rng.uniform(0.0, RULES.stop_s - 0.1)
        self.evicted.clear()
        for name in [name for name, at in self.stops.items() if at <= self.now]:
            del self.stops[name], self.started[name]
            self.ends.pop(name, None)
            self.handle_event(GangReleased(name, 0.0))
        for name in [name for name, at in self.ends.items() if at <= self.now]:
            if name not in self.stops:
                del self.ends[name], self.started[name]
                self.handle_event(JobFinished(name, 1.0))
        self.fill()

    def fill(self):
        while len(self.scheduler.records) < 60:
            self.count += 1
            expected_s = self.rng.choice([0.5, 2.0, 9.0])
            gang = {"accelerators": 8, "members": 2} if self.rng.random() < 0.1 else {}
            checkpoint = self.rng.random() < 0.3
            self.submit(f"p{self.count}", expected_s=expected_s, checkpoint=checkpoint, **gang)

    def submit_urgent(self, members):
        self.count += 1
        name = f"urgent{self.count}"
        self.accepted[name] = self.now
        due_s = self.rng.choice([2.0, 4.0, 20.0])
        fields = {"expected_s": self.rng.choice([0.5, 2.5]), "due_s": due_s}
        self.submit(name, team="rich", accelerators=8, members=members, urgent=True, **fields)


@pytest.mark.parametrize("seed", range(20))
def test_guaranteed_work_begins_in_time_beside_random_runs_and_stops(seed):
    rng = random.Random(seed)
    cell = BusyCell(rng)
    for number in range(400):
        cell.step()
        if cell.count and rng.random() < 0.2:
            held = [name for name in cell.scheduler.records if name.startswith("urgent")]
            used = sum(cell.scheduler.records[name].job.shape.units for name in held)
            members = rng.choice([1, 2, 3])
            if used + members <= 4:
                cell.submit_urgent(members)
        if number % 5 == 0:
            cell.handle_event(Tick())
        late = [
            name
            for name, at in cell.accepted.items()
            if cell.now - at > RULES.begin_s and name not in cell.begun
        ]
        assert late == []
    assert len(cell.begun.keys() & cell.accepted.keys()) > 10


def kill_owner_after_the_first_stop(fleet):
    for _ in range(200):
        fleet.clock.advance(0.02)
        if any(entry.stops_at for entry in fleet.run_history.runs):
            break
    else:
        raise AssertionError("nothing was stopped within 4 s")
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)


def test_an_eviction_is_finished_by_the_next_owner_when_the_owner_dies_before_the_start(fleet):
    """The stopped tasks and the urgent gang run, and none of them twice at the same time."""
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step(count=32)], "run_s=20", seconds=2.0)
    gang = [step(count=1, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm1", "urgent", job_id(2), gang, "run_s=1", seconds=0.1)
    kill_owner_after_the_first_stop(fleet)
    fleet.clock.advance(6.0)
    assert run(fleet, fleet.state, fleet.owner, "urgent", job_id(2)) == "completed"
    fleet.clock.advance(45.0)
    assert run(fleet, fleet.state, fleet.owner, "patient", job_id(1)) == "completed"
    fleet.check_invariants()


def leaving_cell(*, elapsed_s, free_workers, checkpoint=False):
    """Return a cell with a gang on two workers, of which one is about to leave."""
    cell = SimulatedCell(workers=2 + free_workers, evictions=RULES)
    cell.submit("gang", accelerators=8, members=2, due_s=100, checkpoint=checkpoint)
    cell.now = elapsed_s
    cell.handle_event(WorkerLeaving(cell.started["gang"][0].worker))
    return cell


def test_a_gang_that_cannot_end_before_its_worker_leaves_starts_again_elsewhere():
    cell = leaving_cell(elapsed_s=1.0, free_workers=1)
    leaving = cell.started["gang"][0].worker
    assert cell.evicted == ["gang"]
    cell.release()
    assert leaving not in {member.worker for member in cell.started["gang"]}


@pytest.mark.parametrize(("elapsed_s", "free_workers"), [(8.0, 1), (1.0, 0)])
def test_a_gang_runs_on_when_it_may_end_before_its_worker_leaves_or_has_no_other_room(
    elapsed_s, free_workers
):
    cell = leaving_cell(elapsed_s=elapsed_s, free_workers=free_workers)
    assert cell.evicted == []


def test_a_worker_that_stays_keeps_its_gang():
    cell = leaving_cell(elapsed_s=8.0, free_workers=1)
    cell.handle_event(WorkerLeaving(cell.started["gang"][0].worker, stays=True))
    cell.submit("other", due_s=100)
    assert cell.evicted == []


def test_short_notices_are_learned():
    notices = DepartureNotices(4.5)
    for number in range(12):
        notices.record_notice(f"w{number}", 0.0)
        notices.record_departure(f"w{number}", 1.8)
    notices.record_notice("next", 10.0)
    assert 11.8 <= notices.leaves_at("next") <= 12.0


def test_a_run_on_a_leaving_worker_starts_again_elsewhere_although_the_owner_dies(fleet):
    """The owner dies right after it has ordered the stop; no task runs twice at the same time."""
    gang = [step(count=2, gpu=8, gang=True, est_runtime_ms=20000)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=9", seconds=1.0)
    name = fleet.run_history.runs[0].executor
    worker = next(each for each in fleet.executors if each.name == name)
    fleet.operator.register(worker, state="draining")
    kill_owner_after_the_first_stop(fleet)
    fleet.clock.advance(20.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    last = [entry for entry in fleet.run_history.runs if entry.outcome == "done"]
    assert name not in {entry.executor for entry in last}
    fleet.check_invariants()
