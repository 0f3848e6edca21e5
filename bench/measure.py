"""Measures one run of a policy over a scenario."""

import math

import attrs
import numpy as np

from bench.baselines import BestFitBackfill, FirstFit
from bench.bounds import all_workers, relaxation_mean_s, workers_left
from bench.simulate import Policy, RunRecord, Simulation
from bench.workload import DEPLOYMENTS, JOBS, Weights, make_workload
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["POLICIES", "Checks", "Measured", "make_policy", "measure_run", "weigh"]

POLICIES = ("default", "first_fit", "best_fit_backfill")
SHORTEST_RUN_S = 10.0


@attrs.frozen
class Measured:
    """The figures of one run, in the order in which they are printed.

    :param relaxation_degraded_mean_s: the relaxation with only the workers that a policy has:
        without the lost, silent and failing ones.
    """

    deployment: str
    scenario: str
    policy: str
    seed: int
    jobs: int
    mean_completion_s: float
    p95_completion_s: float
    p99_completion_s: float
    mean_slowdown: float
    fragmentation: float
    fragmentation_waited: float
    adjacency_wait_s: float
    claim_start_p99_s: float
    lost_accelerator_s: float
    refused_not_run: int
    weighted_score: float
    relaxation_mean_s: float
    relaxation_degraded_mean_s: float
    decisions: int
    decision_p99_us: float


@attrs.frozen
class Checks:
    """Promises of one run; all counts must be 0.

    :param late_claims: open guarantees whose gang started later than the stated bound.
    :param false_refusals: jobs that were refused as not run after they had been started.
    :param stuck_jobs: jobs that never ended.
    """

    late_claims: int
    partial_gangs: int
    second_runs: int
    false_refusals: int
    stuck_jobs: int


LATEST_CLAIM_START_S = 5.6


def make_policy(name: str, rules: OrderRules | None = None) -> Policy:
    """Return a policy by name.

    :raises KeyError: when there is no such policy.
    """
    makers = {
        "default": lambda: Scheduler(rules),
        "first_fit": FirstFit,
        "best_fit_backfill": BestFitBackfill,
    }
    return makers[name]()


def weigh(weights: Weights, completion_ratio: float, fragmentation: float) -> float:
    """Return a deployment's weighted score; lower is better.

    :param completion_ratio: mean completion time over that of the relaxation.
    """
    return weights.completion_time * completion_ratio + weights.fragmentation * fragmentation


def measure_run(
    deployment_name: str,
    scenario: str,
    policy_name: str,
    seed: int,
    rules: OrderRules | None = None,
    jobs_wanted: int = JOBS,
) -> tuple[Measured, Checks]:
    """Run a policy over a scenario and return its figures and promises."""
    deployment = DEPLOYMENTS[deployment_name]
    workload = make_workload(deployment, scenario, seed, jobs_wanted)
    simulation = Simulation(deployment, workload, make_policy(policy_name, rules))
    simulation.run()
    records = list(simulation.records.values())
    done = [record for record in records if record.outcome in ("done", "unknown")]
    times = np.array([_completion_s(record, workload.until) for record in done])
    runs = np.array([max(record.timed.run_s, SHORTEST_RUN_S) for record in done])
    relaxation = relaxation_mean_s(workload, all_workers(deployment))
    degraded = relaxation_mean_s(workload, workers_left(deployment, workload))
    ratio = float(times.mean()) / relaxation
    claims = _claim_starts(records)
    measured = Measured(
        deployment_name,
        scenario,
        policy_name,
        seed,
        len(records),
        round(float(times.mean()), 3),
        round(float(np.percentile(times, 95)), 3),
        round(float(np.percentile(times, 99)), 3),
        round(float((times / runs).mean()), 4),
        round(float(simulation.fragmentation), 4),
        round(float(simulation.waited_fragmentation), 4),
        round(float(simulation.adjacency_wait_s), 1),
        round(float(np.percentile(claims, 99)), 3) if claims else 0.0,
        round(float(simulation.lost_accelerator_s), 1),
        sum(1 for record in records if record.outcome == "not_run"),
        round(float(weigh(deployment.weights, ratio, simulation.fragmentation)), 4),
        round(float(relaxation), 3),
        round(float(degraded), 3),
        len(simulation.decision_s),
        round(float(np.percentile(simulation.decision_s, 99)) * 1e6, 1),
    )
    return measured, _check(simulation, records, claims)


def _completion_s(record: RunRecord, until: float) -> float:
    """Return a job's completion time; one that failed counts until the end of the window at least.

    Somebody must sort a failed job out by hand, so a policy gains nothing by failing jobs early.
    """
    ended = record.ended if record.outcome == "done" else max(until, record.failed_at)
    return ended - record.timed.job.submitted_at


def _claim_starts(records: list[RunRecord]) -> list[float]:
    """Return how long each open guarantee waited for its gang, in seconds."""
    return [
        record.first_start - record.timed.job.submitted_at
        for record in records
        if record.entitled and record.outcome != "cancelled"
    ]


def _check(simulation: Simulation, records: list[RunRecord], claims: list[float]) -> Checks:
    second_runs = sum(
        1
        for record in records
        if record.starts > 1 and not record.timed.job.idempotent and not record.timed.job.checkpoint
    )
    false_refusals = sum(1 for record in records if record.outcome == "not_run" and record.starts)
    late = sum(1 for delay in claims if delay > LATEST_CLAIM_START_S and delay < math.inf)
    late += sum(1 for delay in claims if delay == math.inf)
    stuck = sum(1 for record in records if not record.outcome)
    return Checks(late, simulation.partial_gangs, second_runs, false_refusals, stuck)
