"""The explorer finds causes of faults that are mended when they are brought back."""

import pytest

from bench.explore import explore
from bench.explore_plans import draw_plan, draw_turnover_plan, reduce_plan
from lacewingmill.jobs.advised_units import AdvisedUnits
from lacewingmill.jobs.director import Director
from lacewingmill.jobs.late_ends import LateEndsListener
from lacewingmill.jobs.silent_workers import SilentWorkers
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.scheduling.state import SchedulerState


def take_unlisted_workers_for_gone(monkeypatch):
    monkeypatch.setattr(SilentWorkers, "has_exited", lambda self, link: not link.listed)


def avoid_workers_after_a_failure_for_good(monkeypatch):
    def avoided_workers(self, job, now):
        return self.failures.failed_on(job.job_id, float("-inf"))

    monkeypatch.setattr(SchedulerState, "avoided_workers", avoided_workers)


def never_ask_about_workers_that_join(monkeypatch):
    monkeypatch.setattr(AdvisedUnits, "update_waiting", lambda self: None)


def ignore_evacuations(monkeypatch):
    monkeypatch.setattr(SchedulerState, "evacuate", lambda self, domains, now: None)
    monkeypatch.setattr(WorkerLink, "_evacuated", False)


def leave_without_handing_over(monkeypatch):
    monkeypatch.setattr(Director, "prepare_hand_over", lambda self: None)
    monkeypatch.setattr(LateEndsListener, "listen", lambda self, workers: None)


# Each cause that is brought back, a seed that finds it, and the rule that it then breaks.
CAUSES = (
    (take_unlisted_workers_for_gone, 54, "TWICE"),
    (avoid_workers_after_a_failure_for_good, 7, "LOST"),
    (never_ask_about_workers_that_join, 43, "LOST"),
    (ignore_evacuations, 8, "EVAC"),
)
# Those of the causes, one with evacuations, and one that once showed a fault of the emulation.
SEEDS = (1, 4, 6, 7, 8, 42, 43)
# Those that once found that owners left without handing over what they had heard.
TURNOVER_SEEDS = (3, 59, 103)


@pytest.mark.parametrize(("bring_back", "seed", "rule"), CAUSES)
def test_a_cause_that_is_brought_back_is_found(monkeypatch, bring_back, seed, rule):
    bring_back(monkeypatch)
    assert rule in {finding.rule for finding in explore(draw_plan(seed))}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_in_any_order_of_jobs_and_failures(seed):
    assert explore(draw_plan(seed)) == ()


# Guards against tasks that run again because an owner left and a worker exited.
@pytest.mark.parametrize("seed", TURNOVER_SEEDS)
def test_no_rule_is_broken_while_owners_and_workers_are_replaced(seed):
    assert explore(draw_turnover_plan(seed)) == ()


def test_an_owner_that_leaves_without_handing_over_is_found(monkeypatch):
    leave_without_handing_over(monkeypatch)
    assert {finding.rule for finding in explore(draw_turnover_plan(59))} == {"TWICE"}


def test_a_plan_is_reduced_to_what_a_finding_needs():
    plan = draw_plan(1)
    fault, jobs = plan.faults[2], [plan.jobs[0], plan.jobs[5]]
    reduced = reduce_plan(
        plan, lambda plan: fault in plan.faults and all(job in plan.jobs for job in jobs)
    )
    assert list(reduced.faults) == [fault]
    assert list(reduced.jobs) == jobs
