"""Urgent jobs and team quotas: competing claims, evictions, placement and headroom."""

import pytest

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
    StartGang,
    TeamQuota,
    Tick,
    WorkerInfo,
    WorkerJoined,
    WorkerLeaving,
)
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.scheduler import Scheduler

SERVICE = "svc"


class SimulatedCell:
    """A scheduler whose gangs start at once and whose evictions take half a second."""

    def __init__(self, workers=1, quotas=(), rules=None, evictions=None):
        rules = rules or OrderRules(defragment=False)
        self.scheduler = Scheduler(rules, eviction_rules=evictions)
        self.now = 0.0
        self.started = {}
        self.evicted = []
        self.releases = []
        for number in range(workers):
            info = WorkerInfo(f"w{number}", f"r{number // 2}", "d0", 8, 32, 128, frozenset({"a"}))
            self.handle_event(WorkerJoined(info))
        teams = tuple(TeamQuota(SERVICE, team, count) for team, count in quotas)
        self.handle_event(GuaranteesChanged((), (), (), teams))

    def handle_event(self, event):
        for action in self.scheduler.handle(event, self.now):
            if isinstance(action, StartGang):
                self.started[action.job_id] = action.placement
                self.handle_event(GangStarted(action.job_id))
            elif isinstance(action, EvictGang):
                self.evicted.append(action.job_id)
                self.releases.append(action.job_id)

    def submit(self, job_id, *, team="other", accelerators=1, members=1, urgent=False, **fields):
        adjacency = Adjacency.CLUSTER if members > 1 else Adjacency.WORKER
        expected_s = fields.pop("expected_s", 10.0)
        due_s = fields.pop("due_s", 30)
        shape = Shape("s", accelerators * members, adjacency, 1, 1, expected_s, members)
        objective = Objective(0 if urgent else 2, self.now + due_s, self.now + 3 * due_s)
        job = Job(
            job_id,
            SERVICE,
            team,
            shape,
            claims=False,
            idempotent=True,
            checkpoint=fields.pop("checkpoint", False),
            submitted_at=self.now,
            urgent=urgent,
            needs=Needs(**fields),
            objective=objective,
        )
        self.handle_event(JobSubmitted(job))

    def release(self):
        self.now += 0.5
        releases, self.releases = self.releases, []
        for job_id in releases:
            self.started.pop(job_id, None)
            self.handle_event(GangReleased(job_id, 0.0))


def test_claims_beyond_and_within_quotas_do_not_deadlock():
    cell = SimulatedCell(quotas=[("rich", 8)])
    for number in range(8):
        cell.submit(f"patient{number}")
    cell.submit("beyond", team="poor", accelerators=8, urgent=True)
    cell.submit("within", team="rich", accelerators=8, urgent=True)
    cell.release()
    assert {"beyond", "within"} & set(cell.started)
    cell.release()
    cell.handle_event(JobFinished(next(iter({"beyond", "within"} & set(cell.started))), 1.0))
    cell.release()
    assert {"beyond", "within"} <= set(cell.started)


def test_an_urgent_job_within_its_quota_evicts_the_work_it_displaces():
    cell = SimulatedCell(workers=2, quotas=[("rich", 16)])
    for number in range(2):
        cell.submit(f"patient{number}", accelerators=8)
    cell.now = 100.0
    cell.submit("claim", team="rich", accelerators=8, members=2, urgent=True, expected_s=0.1)
    assert sorted(cell.evicted) == ["patient0", "patient1"]
    cell.release()
    assert "claim" in cell.started


@pytest.mark.parametrize(("elapsed_s", "evicted"), [(4.0, ["patient"]), (10.0, [])])
def test_urgent_jobs_beyond_quotas_evict_young_work_only(elapsed_s, evicted):
    """An urgent gang of 24 accelerator-seconds may cause a loss of 40, but not of 88."""
    cell = SimulatedCell(quotas=[("rich", 0)])
    cell.submit("patient", accelerators=8)
    cell.now = elapsed_s
    cell.submit("claim", team="rich", accelerators=8, urgent=True, expected_s=3.0)
    assert cell.evicted == evicted


def test_an_urgent_job_beyond_its_quota_evicts_no_larger_gang():
    cell = SimulatedCell(quotas=[("rich", 0)])
    cell.submit("patient", accelerators=8)
    cell.now = 100.0
    cell.submit("claim", team="rich", accelerators=1, urgent=True, expected_s=0.1)
    assert cell.evicted == []


def test_large_gangs_use_whole_workers_that_small_tasks_leave_free():
    cell = SimulatedCell(workers=4)
    for number in range(8):
        cell.submit(f"small{number}")
    assert len({placement[0].worker for placement in cell.started.values()}) == 1
    cell.submit("wide", accelerators=8, members=3)
    assert len(cell.started["wide"]) == 3


@pytest.mark.parametrize(("label", "starts"), [("a", True), ("b", False)])
def test_a_label_without_a_matching_worker_keeps_a_job_waiting(label, starts):
    cell = SimulatedCell()
    cell.submit("job", label=label)
    assert ("job" in cell.started) is starts


def test_tasks_of_a_step_spread_over_workers():
    cell = SimulatedCell(workers=3)
    for number in range(4):
        cell.submit(f"job{number}", group="step", max_per_worker=1)
    assert len(cell.started) == 3
    assert len({placement[0].worker for placement in cell.started.values()}) == 3


def test_tasks_run_on_the_rack_of_their_data():
    cell = SimulatedCell(workers=4)
    cell.submit("job", rack="r1")
    assert cell.started["job"][0].worker in ("w2", "w3")


def test_a_gang_that_cannot_be_placed_reserves_no_more_workers_than_it_needs():
    cell = SimulatedCell(workers=4)
    for number in range(3):
        cell.submit(f"blocker{number}", group="spread", max_per_worker=1)
    cell.submit("wide", accelerators=8, members=2)
    assert "wide" not in cell.started
    cell.now = 100.0
    for number in range(14):
        cell.submit(f"small{number}", expected_s=1000.0)
    assert all(f"small{number}" in cell.started for number in range(14))


def test_a_gang_that_fits_no_worker_reserves_nothing():
    cell = SimulatedCell(workers=2)
    cell.submit("odd", accelerators=4, members=2, label="none")
    cell.now = 100.0
    cell.submit("small", expected_s=1000.0)
    assert "small" in cell.started


def test_urgent_gangs_start_on_workers_that_jobs_with_slack_left_empty():
    rules = OrderRules(defragment=False, headroom=0.25)
    cell = SimulatedCell(workers=8, rules=rules)
    cell.submit("before", accelerators=1, urgent=True)
    cell.handle_event(JobFinished("before", 1.0))
    for number in range(64):
        cell.submit(f"patient{number}")
    assert sum(1 for state in cell.scheduler.cluster.workers.values() if not state.members) == 2
    cell.submit("urgent", accelerators=8, members=2, urgent=True)
    assert "urgent" in cell.started
    assert cell.evicted == []


def test_jobs_that_are_nearly_due_take_the_last_empty_workers():
    rules = OrderRules(defragment=False, headroom=0.25)
    cell = SimulatedCell(workers=4, rules=rules)
    cell.submit("before", accelerators=1, urgent=True)
    cell.handle_event(JobFinished("before", 1.0))
    for number in range(32):
        cell.submit(f"patient{number}")
    assert len(cell.started) == 1 + 24
    cell.now = 25.0  # due at 30 s, with 10 s to run
    cell.submit("again", accelerators=1, urgent=True)
    cell.handle_event(Tick())
    assert len(cell.started) == 1 + 32


def test_a_gang_takes_the_last_empty_workers_without_recent_urgent_jobs():
    rules = OrderRules(defragment=False, headroom=0.25)
    cell = SimulatedCell(workers=4, rules=rules)
    cell.submit("before", accelerators=8, urgent=True)
    cell.submit("blocker", accelerators=8)
    cell.submit("wide", accelerators=8, members=2)
    assert "wide" not in cell.started
    cell.now = 5.0
    cell.handle_event(Tick())
    assert "wide" in cell.started


def test_a_half_idle_cluster_keeps_no_headroom():
    rules = OrderRules(defragment=False, headroom=0.5)
    cell = SimulatedCell(workers=4, rules=rules)
    cell.submit("before", accelerators=1, urgent=True)
    cell.submit("wide", accelerators=8, members=3)
    assert "wide" in cell.started


def test_a_gang_stays_in_one_rack_while_a_rack_can_become_free():
    cell = SimulatedCell(workers=4)
    for number in range(2):
        cell.submit(f"blocker{number}", accelerators=8, rack=f"r{number}")
    cell.submit("near", accelerators=8, members=2, same_rack=True)
    assert "near" not in cell.started
    cell.handle_event(JobFinished("blocker0", 5.0))
    assert {member.worker for member in cell.started["near"]} == {"w0", "w1"}


def test_a_gang_spans_racks_when_no_rack_can_hold_it():
    cell = SimulatedCell(workers=4)
    cell.handle_event(WorkerLeaving("w0"))
    cell.handle_event(WorkerLeaving("w2"))
    cell.submit("near", accelerators=8, members=2, same_rack=True)
    assert {member.worker for member in cell.started["near"]} == {"w1", "w3"}


def test_a_gang_spans_racks_of_an_idle_cluster_after_a_short_wait():
    cell = SimulatedCell(workers=8)
    for number in range(4):
        cell.submit(f"blocker{number}", accelerators=1, rack=f"r{number}")
    cell.submit("near", accelerators=8, members=2, same_rack=True)
    assert "near" not in cell.started
    cell.now = 3.0
    cell.handle_event(Tick())
    assert "near" in cell.started


# Guards against more members of a step on one worker than it allows, while urgent units of the step
# wait there for the eviction of other work.
def test_claims_that_wait_for_evictions_count_towards_the_limit_per_worker():
    cell = SimulatedCell(workers=2, quotas=(("urgent", 16),))
    for number in range(2):
        cell.submit(f"low{number}", accelerators=8)
    for number in range(4):
        cell.submit(f"u{number}", team="urgent", urgent=True, group="step", max_per_worker=1)
    records = cell.scheduler.records
    claimed = [part.worker for number in range(4) for part in records[f"u{number}"].block]
    assert sorted(claimed) == ["w0", "w1"]
