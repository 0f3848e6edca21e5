"""Evacuations of failure domains in the scheduler, by the load that meets them."""

import pytest

from lacewingmill.scheduling.messages import (
    DomainsEvacuated,
    GuaranteesChanged,
    JobFailed,
    JobFinished,
    TeamQuota,
    Tick,
    WorkerAnswered,
    WorkerInfo,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
    WorkerSilent,
)
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.scheduler import Scheduler
from lacewingmill.scheduling.suspects import FailureRules
from tests.test_quotas import SERVICE, SimulatedCell


class ThreeDomains(SimulatedCell):
    """Six workers of 8 accelerators, two in each of the domains d0, d1 and d2, which are racks."""

    def __init__(self, quotas=(), headroom=0.0):
        super().__init__(workers=0)
        rules = FailureRules(bad_job_workers=99, bad_worker_jobs=1, quarantine_s=4.0)
        self.scheduler = Scheduler(OrderRules(defragment=False, headroom=headroom), rules)
        for number in range(6):
            self.join(number)
        teams = tuple(TeamQuota(SERVICE, team, count) for team, count in quotas)
        self.handle_event(GuaranteesChanged((), (), (), teams))

    def join(self, number):
        labels = frozenset({"a", f"only-d{number // 2}"})
        info = WorkerInfo(f"w{number}", f"r{number // 2}", f"d{number // 2}", 8, 32, 128, labels)
        self.handle_event(WorkerJoined(info))

    def evacuate(self, *domains):
        self.handle_event(DomainsEvacuated(frozenset(domains)))

    def workers_of(self, job_id):
        return {member.worker for member in self.started[job_id]}

    @property
    def used_domains(self):
        workers = {worker for job_id in self.started for worker in self.workers_of(job_id)}
        return {f"d{int(worker[1:]) // 2}" for worker in workers}


def test_a_burst_during_an_evacuation_uses_the_other_domains_and_the_rest_waits():
    cell = ThreeDomains()
    cell.evacuate("d1")
    for number in range(40):
        cell.submit(f"j{number}")
    assert len(cell.started) == 32
    assert cell.used_domains == {"d0", "d2"}
    cell.evacuate()
    assert len(cell.started) == 40
    assert "d1" in cell.used_domains


def test_gangs_in_an_evacuated_domain_run_on_and_leave_their_room_empty():
    cell = ThreeDomains()
    for number in range(6):
        cell.submit(f"j{number}", accelerators=8)
    cell.evacuate("d0")
    assert cell.evicted == [] and cell.releases == []
    for job_id in [each for each in cell.started if cell.workers_of(each) <= {"w0", "w1"}]:
        del cell.started[job_id]
        cell.handle_event(JobFinished(job_id, 1.0))
    cell.submit("late", accelerators=8)
    assert "late" not in cell.started


def test_a_job_that_only_an_evacuated_domain_can_hold_waits_and_is_not_refused():
    cell = ThreeDomains()
    cell.evacuate("d2")
    cell.submit("wide", accelerators=8, members=6)
    cell.submit("labelled", label="only-d2")
    cell.handle_event(Tick())
    assert {"wide", "labelled"}.isdisjoint(cell.started)
    assert {job_id for job_id, _ in cell.scheduler.queued_jobs()} == {"wide", "labelled"}
    cell.evacuate()
    assert cell.started.pop("wide")
    cell.handle_event(JobFinished("wide", 1.0))
    assert "labelled" in cell.started


def test_a_job_whose_data_lie_in_an_evacuated_rack_starts_elsewhere_at_once():
    cell = ThreeDomains()
    cell.evacuate("d0")
    cell.submit("remote", rack="r0")
    assert cell.used_domains <= {"d1", "d2"} and "remote" in cell.started


def test_evacuations_at_once_and_in_series_leave_what_is_still_evacuated_alone():
    cell = ThreeDomains()
    cell.evacuate("d0", "d1")
    cell.submit("first")
    cell.evacuate("d1", "d2")
    for number in range(16):
        cell.submit(f"j{number}")
    assert cell.used_domains == {"d0", "d2"} and len(cell.started) == 17
    assert cell.workers_of("first") <= {"w4", "w5"}
    cell.evacuate("d2")
    cell.submit("last", accelerators=8)
    assert cell.workers_of("last") <= {"w2", "w3"}


def test_urgent_jobs_within_quotas_evict_in_the_domains_that_are_left():
    cell = ThreeDomains(quotas=[("team", 16)])
    for number in range(6):
        cell.submit(f"j{number}", accelerators=8)
    cell.evacuate("d0", "d1")
    cell.submit("u", team="team", accelerators=8, members=2, urgent=True)
    cell.release()
    assert cell.workers_of("u") == {"w4", "w5"}


def test_a_burst_during_an_evacuation_leaves_workers_empty_for_urgent_gangs_elsewhere():
    cell = ThreeDomains(headroom=0.25)
    cell.submit("before", urgent=True)
    cell.handle_event(JobFinished("before", 1.0))
    cell.evacuate("d0")
    for number in range(48):
        cell.submit(f"patient{number}")
    cell.submit("urgent", accelerators=8, urgent=True)
    assert "urgent" in cell.started and cell.evicted == []


def test_a_claim_that_waits_for_evictions_moves_out_of_an_evacuated_domain():
    cell = ThreeDomains(quotas=[("team", 16)])
    cell.submit("busy", accelerators=8, members=6)
    cell.submit("u", team="team", accelerators=8, urgent=True)
    assert cell.evicted == ["busy"] and "u" not in cell.started
    [record] = [cell.scheduler.records["u"]]
    claimed = {part.worker for part in record.block}
    domain = f"d{int(claimed.pop()[1:]) // 2}"
    cell.evacuate(domain)
    cell.release()
    assert "u" in cell.started and domain not in cell.used_domains


def join_again(cell):
    cell.handle_event(WorkerLost("w0", left=True))
    cell.join(0)


def answer_again(cell):
    cell.handle_event(WorkerSilent("w0"))
    cell.handle_event(WorkerAnswered("w0"))


def stay_after_all(cell):
    cell.handle_event(WorkerLeaving("w0"))
    cell.handle_event(WorkerLeaving("w0", stays=True))


def leave_quarantine(cell):
    cell.now += 10.0
    cell.handle_event(Tick())


@pytest.mark.parametrize("change", [join_again, answer_again, stay_after_all, leave_quarantine])
def test_a_worker_that_becomes_usable_during_an_evacuation_waits_for_its_release(change):
    cell = ThreeDomains()
    cell.submit("fails", label="only-d0", accelerators=8)
    [worker] = cell.workers_of("fails")
    cell.handle_event(JobFailed("fails", worker))
    cell.handle_event(WorkerLost("w1" if worker == "w0" else "w0", left=True))
    cell.evacuate("d0")
    change(cell)
    cell.submit("waits", label="only-d0", accelerators=8)
    assert "waits" not in cell.started
    cell.now += 10.0
    cell.evacuate()
    assert cell.workers_of("waits") <= {"w0", "w1"}


def test_a_worker_that_was_silent_before_an_evacuation_gets_nothing_at_its_release():
    cell = ThreeDomains()
    for worker in ("w0", "w1"):
        cell.handle_event(WorkerSilent(worker))
    cell.evacuate("d0")
    cell.evacuate()
    cell.submit("waits", label="only-d0")
    assert "waits" not in cell.started
