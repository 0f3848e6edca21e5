"""Simulates a policy on a scenario and computes the figures and checks of the run."""

import math

import attrs
import numpy as np

from bench.baselines import BestFitBackfill, FirstFit
from bench.bounds import available_capacity, full_capacity, relaxation_mean_s
from bench.simulate import Policy, Simulation, SimulationRecord
from bench.workload import DEFAULT_JOB_COUNT, DEPLOYMENTS, Weights, make_workload
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["POLICIES", "Checks", "RunFigures", "make_policy", "measure_run", "weighted_score"]

POLICIES = ("default", "first_fit", "best_fit_backfill")
MIN_RUN_S = 10.0


@attrs.frozen
class RunFigures:
    """The figures of one run, in the order in which they are printed.

    :param mean_slowdown: mean of the completion time divided by the run time, where run times below
        ``MIN_RUN_S`` count as that.
    :param fragmentation_waited: fragmentation weighted by the gangs that wait for adjacency alone.
    :param adjacency_wait_s: time that gangs waited for adjacency alone, in gang-seconds.
    :param claim_start_p99_s: 99th percentile of the time until the gang of an entitled job started.
    :param lost_accelerator_s: run time whose work was lost, in accelerator-seconds.
    :param relaxation_mean_s: mean completion time of the schedule of ``bounds.relaxation_mean_s``.
    :param relaxation_degraded_mean_s: the same without the lost, silent and failing workers.
    :param decisions: number of events that the policy processed.
    :param decision_p99_us: 99th percentile of the wall-clock time per event.
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
    """Counts of violated invariants in one run; all must be 0.

    :param late_claims: entitled jobs whose gang started later than ``MAX_CLAIM_START_S`` after they
        were submitted, or never.
    :param partial_gangs: starts of gangs with fewer or more accelerators than their shape has.
    :param second_runs: jobs started more than once although they are neither idempotent nor
        checkpointed.
    :param false_refusals: jobs that were refused as not run after they had been started.
    :param stuck_jobs: jobs that never ended.
    """

    late_claims: int
    partial_gangs: int
    second_runs: int
    false_refusals: int
    stuck_jobs: int


MAX_CLAIM_START_S = 5.6


def make_policy(name: str, rules: OrderRules | None = None) -> Policy:
    """Return a new policy by name.

    :param rules: order of the queue; used by the default policy only.
    :raises KeyError: when there is no such policy.
    """
    factories = {
        "default": lambda: Scheduler(rules),
        "first_fit": FirstFit,
        "best_fit_backfill": BestFitBackfill,
    }
    return factories[name]()


def weighted_score(weights: Weights, completion_ratio: float, fragmentation: float) -> float:
    """Return the weighted score of a run; lower is better.

    :param completion_ratio: mean completion time relative to that of the relaxation.
    """
    return weights.completion_time * completion_ratio + weights.fragmentation * fragmentation


def measure_run(
    deployment_name: str,
    scenario: str,
    policy_name: str,
    seed: int,
    rules: OrderRules | None = None,
    job_count: int = DEFAULT_JOB_COUNT,
) -> tuple[RunFigures, Checks]:
    """Simulate a policy on a scenario and return its figures and checks.

    :param job_count: number of jobs, before those of bursts.
    """
    deployment = DEPLOYMENTS[deployment_name]
    workload = make_workload(deployment, scenario, seed, job_count)
    simulation = Simulation(deployment, workload, make_policy(policy_name, rules))
    simulation.run()
    records = list(simulation.records.values())
    ended = [record for record in records if record.outcome in ("done", "unknown")]
    completion_times = np.array([_completion_s(record, workload.window_end) for record in ended])
    run_times = np.array([max(record.timed.run_s, MIN_RUN_S) for record in ended])
    relaxation_s = relaxation_mean_s(workload, full_capacity(deployment))
    degraded_s = relaxation_mean_s(workload, available_capacity(deployment, workload))
    completion_ratio = float(completion_times.mean()) / relaxation_s
    claim_delays = _claim_delays(records)
    figures = RunFigures(
        deployment_name,
        scenario,
        policy_name,
        seed,
        len(records),
        round(float(completion_times.mean()), 3),
        round(float(np.percentile(completion_times, 95)), 3),
        round(float(np.percentile(completion_times, 99)), 3),
        round(float((completion_times / run_times).mean()), 4),
        round(float(simulation.fragmentation), 4),
        round(float(simulation.adjacency_wait_fragmentation), 4),
        round(float(simulation.adjacency_wait_s), 1),
        round(float(np.percentile(claim_delays, 99)), 3) if claim_delays else 0.0,
        round(float(simulation.lost_accelerator_s), 1),
        sum(1 for record in records if record.outcome == "not_run"),
        round(
            float(weighted_score(deployment.weights, completion_ratio, simulation.fragmentation)), 4
        ),
        round(float(relaxation_s), 3),
        round(float(degraded_s), 3),
        len(simulation.decision_s),
        round(float(np.percentile(simulation.decision_s, 99)) * 1e6, 1),
    )
    return figures, _count_violations(simulation, records, claim_delays)


def _completion_s(record: SimulationRecord, window_end: float) -> float:
    """Return the completion time of a job, in seconds.

    A failed job counts as running at least until the end of the measured window: it has to be
    handled by hand, so a policy must not gain by failing jobs early.
    """
    ended_at = record.ended_at if record.outcome == "done" else max(window_end, record.failed_at)
    return ended_at - record.timed.job.submitted_at


def _claim_delays(records: list[SimulationRecord]) -> list[float]:
    """Return the time until the gang of each entitled job started, in seconds; infinite if never.

    Cancelled jobs are left out.
    """
    return [
        record.first_started_at - record.timed.job.submitted_at
        for record in records
        if record.entitled and record.outcome != "cancelled"
    ]


def _count_violations(
    simulation: Simulation, records: list[SimulationRecord], claim_delays: list[float]
) -> Checks:
    second_runs = sum(
        1
        for record in records
        if record.start_count > 1
        and not record.timed.job.idempotent
        and not record.timed.job.checkpoint
    )
    false_refusals = sum(
        1 for record in records if record.outcome == "not_run" and record.start_count
    )
    late_claims = sum(1 for delay in claim_delays if delay > MAX_CLAIM_START_S and delay < math.inf)
    late_claims += sum(1 for delay in claim_delays if delay == math.inf)
    stuck_jobs = sum(1 for record in records if not record.outcome)
    return Checks(late_claims, simulation.partial_gangs, second_runs, false_refusals, stuck_jobs)
