"""The explorer finds causes of faults that are mended when they are brought back."""

import pytest

from bench.explore import explore
from bench.explore_plans import draw_plan, reduce_plan
from lacewingmill.jobs.advised_units import AdvisedUnits
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


# Each cause that is brought back, a seed that finds it, and the rule that it then breaks.
CAUSES = (
    (take_unlisted_workers_for_gone, 1, "TWICE"),
    (avoid_workers_after_a_failure_for_good, 7, "LOST"),
    (never_ask_about_workers_that_join, 43, "LOST"),
    (ignore_evacuations, 8, "EVAC"),
)
# Those of the causes, one with evacuations, and one that once showed a fault of the emulation.
SEEDS = (1, 4, 6, 7, 8, 42, 43)


@pytest.mark.parametrize(("bring_back", "seed", "rule"), CAUSES)
def test_a_cause_that_is_brought_back_is_found(monkeypatch, bring_back, seed, rule):
    bring_back(monkeypatch)
    assert rule in {finding.rule for finding in explore(draw_plan(seed))}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_in_any_order_of_jobs_and_failures(seed):
    assert explore(draw_plan(seed)) == ()


def test_a_plan_is_reduced_to_what_a_finding_needs():
    plan = draw_plan(1)
    fault, jobs = plan.faults[2], [plan.jobs[0], plan.jobs[5]]
    reduced = reduce_plan(
        plan, lambda plan: fault in plan.faults and all(job in plan.jobs for job in jobs)
    )
    assert list(reduced.faults) == [fault]
    assert list(reduced.jobs) == jobs
