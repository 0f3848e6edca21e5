"""Workloads of both deployments: jobs with their true run times, and the failures of workers.

Times are in virtual seconds. The seed determines the whole workload.
"""

import math

import attrs
import numpy as np

from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.messages import (
    GuaranteedSlots,
    GuaranteesChanged,
    Job,
    SlotKey,
    TeamQuota,
    WorkerInfo,
)

__all__ = [
    "DEPLOYMENTS",
    "SCENARIOS",
    "Deployment",
    "TimedJob",
    "Weights",
    "Workload",
    "make_workload",
]

BASE_LOAD = 0.9
BURST_LOAD = 1.3
BURST_WINDOW_SHARE = 0.1
DEFAULT_JOB_COUNT = 1500
CLAIM_SHARE = 0.1
RUN_TIME_SIGMA = 1.0
DECLARED_TIME_SIGMA = 0.5
MAX_DECLARED_ERROR_FACTOR = 10.0
LONG_RUN_S = 20000.0
SCENARIOS = (
    "steady",
    "small_burst",
    "large_burst",
    "wrong_sizes",
    "impossible_jobs",
    "cancellations",
    "failing_worker",
    "rack_lost",
    "full_cluster_claim",
)


@attrs.frozen
class Weights:
    """Weights of the two measures in the score of a deployment; they sum to one."""

    completion_time: float = 0.5
    fragmentation: float = 0.5


@attrs.frozen
class JobKind:
    """A kind of job in the mix of a deployment.

    :param weight: share of the arrivals.
    :param median_s: median run time, in seconds.
    """

    shape: Shape
    weight: float
    median_s: float
    idempotent: bool
    checkpoint: bool


@attrs.frozen
class Deployment:
    """The cell, kinds of jobs and guarantees of one deployment.

    :param processors: per worker.
    :param memory_gb: per worker, in gigabytes.
    :param guarantees: for each guarantee the team, the index of the job kind and the count.
    :param quotas: accelerators guaranteed to the urgent jobs of teams.
    :param accelerators: per worker.
    """

    name: str
    service: str
    weights: Weights
    processors: float
    memory_gb: float
    kinds: tuple[JobKind, ...]
    guarantees: tuple[tuple[str, int, int], ...]
    teams: tuple[str, ...]
    quotas: tuple[TeamQuota, ...] = ()
    workers: int = 24
    workers_per_rack: int = 6
    accelerators: int = 8

    def worker_infos(self) -> list[WorkerInfo]:
        """Return the workers; each rack is a separate failure domain."""
        return [
            WorkerInfo(
                f"worker-{number}",
                f"rack-{number // self.workers_per_rack}",
                f"domain-{number // self.workers_per_rack}",
                self.accelerators,
                self.processors,
                self.memory_gb,
            )
            for number in range(self.workers)
        ]

    def configuration(self) -> GuaranteesChanged:
        """Return the guarantees and shapes as an event for the scheduler."""
        slots = tuple(
            GuaranteedSlots(
                SlotKey(self.service, team, self.kinds[kind].shape.name),
                self.kinds[kind].shape,
                count,
            )
            for team, kind, count in self.guarantees
        )
        shapes = tuple(kind.shape for kind in self.kinds)
        return GuaranteesChanged(slots, (), shapes, self.quotas)


DEPLOYMENTS = {
    "waschplan": Deployment(
        "waschplan",
        "booking",
        Weights(0.7, 0.3),
        32,
        128,
        (
            JobKind(Shape("forecast", 8, Adjacency.WORKER, 4, 16), 0.14, 600, True, True),
            JobKind(Shape("city-forecast", 16, Adjacency.RACK, 4, 16), 0.03, 1800, True, True),
            JobKind(Shape("billing", 4, Adjacency.WORKER, 4, 16), 0.13, 900, False, False),
            JobKind(Shape("hall-look", 2, Adjacency.WORKER, 4, 16), 0.2, 300, True, True),
            JobKind(Shape("quick-look", 1, Adjacency.WORKER, 2, 8), 0.5, 120, True, False),
        ),
        (
            ("student-halls", 0, 2),
            ("cooperatives", 0, 1),
            ("cooperatives", 2, 2),
            ("caretakers", 4, 4),
        ),
        ("student-halls", "cooperatives", "caretakers", "associations"),
    ),
    "guild": Deployment(
        "guild",
        "plume-desk",
        Weights(0.3, 0.7),
        128,
        512,
        (
            JobKind(Shape("dye-run", 8, Adjacency.WORKER, 8, 32), 0.12, 1200, False, False),
            JobKind(Shape("outlook", 16, Adjacency.RACK, 8, 32), 0.04, 2400, True, True),
            JobKind(Shape("fitting-batch", 2, Adjacency.WORKER, 4, 16), 0.5, 300, True, True),
            JobKind(Shape("single", 1, Adjacency.WORKER, 4, 16), 0.34, 180, True, False),
        ),
        (
            ("kingston", 0, 2),
            ("montego-bay", 0, 1),
            ("montego-bay", 2, 4),
            ("undertakers", 2, 2),
        ),
        ("kingston", "montego-bay", "undertakers", "members"),
    ),
}


@attrs.frozen
class TimedJob:
    """A job with facts that the scheduler does not know.

    :param run_s: true run time, in seconds.
    :param cancel_at: when its client cancels it, in seconds; infinite if never.
    :param possible: whether any block of the cell is large enough for it.
    """

    job: Job
    run_s: float
    cancel_at: float = math.inf
    possible: bool = True


@attrs.frozen
class Workload:
    """Jobs in order of arrival, and the failures of workers. Times are in seconds.

    :param failing: workers that fail every task.
    :param lost: time at which a worker stops responding, and its name, for each worker that joins
        again later.
    :param rejoin_at: time at which these workers join again.
    :param silent: time at which a worker stops responding for good, and its name; ``None`` if none
        does.
    :param window_end: end of the measured window.
    """

    jobs: tuple[TimedJob, ...]
    failing: frozenset[str]
    lost: tuple[tuple[float, str], ...]
    rejoin_at: float
    silent: tuple[float, str] | None
    window_end: float


def make_workload(
    deployment: Deployment, scenario: str, seed: int, job_count: int = DEFAULT_JOB_COUNT
) -> Workload:
    """Return the workload of a scenario.

    :param job_count: number of jobs, before those of bursts; ``full_cluster_claim`` ignores it.
    :raises ValueError: when there is no such scenario.
    """
    if scenario not in SCENARIOS:
        raise ValueError(f"unknown scenario {scenario}")
    rng = np.random.Generator(np.random.PCG64([seed, SCENARIOS.index(scenario)]))
    if scenario == "full_cluster_claim":
        return _full_cluster_workload(deployment, rng)
    arrivals = _arrival_times(deployment, rng, job_count)
    window_end = arrivals[-1]
    jobs = [_make_job(deployment, scenario, rng, number, at) for number, at in enumerate(arrivals)]
    if scenario in ("small_burst", "large_burst"):
        jobs.extend(_burst_jobs(deployment, scenario, rng, window_end, len(jobs)))
        jobs.sort(key=lambda timed: timed.job.submitted_at)
    if scenario == "cancellations":
        jobs = _cancel_some(jobs, rng, window_end)
    failing: frozenset[str] = frozenset()
    lost: tuple[tuple[float, str], ...] = ()
    if scenario == "failing_worker":
        failing = frozenset({"worker-5", "worker-13"})
    if scenario == "rack_lost":
        lost = tuple((window_end * 0.4, f"worker-{number}") for number in range(6))
    silent = (window_end * 0.5, "worker-20")
    return Workload(tuple(jobs), failing, lost, window_end * 0.7, silent, window_end)


def _mean_accelerator_s(deployment: Deployment) -> float:
    """Return the expected accelerator time of a job, in accelerator-seconds."""
    mean_factor = math.exp(RUN_TIME_SIGMA**2 / 2)
    total = sum(kind.weight for kind in deployment.kinds)
    return sum(
        kind.weight / total * kind.shape.accelerators * kind.median_s * mean_factor
        for kind in deployment.kinds
    )


def _arrival_times(deployment: Deployment, rng, job_count: int) -> list[float]:
    capacity = deployment.workers * deployment.accelerators
    mean_interval_s = _mean_accelerator_s(deployment) / (BASE_LOAD * capacity)
    return list(np.cumsum(rng.exponential(mean_interval_s, job_count)))


def _make_job(deployment: Deployment, scenario: str, rng, number: int, at: float) -> TimedJob:
    weights = np.array([kind.weight for kind in deployment.kinds])
    kind = deployment.kinds[int(rng.choice(len(weights), p=weights / weights.sum()))]
    team = deployment.teams[int(rng.integers(len(deployment.teams)))]
    claims = bool(rng.random() < CLAIM_SHARE)
    if claims:
        owner, kind_number, _ = deployment.guarantees[int(rng.integers(len(deployment.guarantees)))]
        team, kind = owner, deployment.kinds[kind_number]
    impossible = scenario == "impossible_jobs" and rng.random() < 0.1
    return _make_timed_job(deployment, scenario, rng, number, at, kind, team, claims, impossible)


def _make_timed_job(
    deployment, scenario, rng, number, at, kind, team, claims, impossible=False
) -> TimedJob:
    run_s = float(kind.median_s * rng.lognormal(0.0, RUN_TIME_SIGMA))
    if scenario == "wrong_sizes":
        error = MAX_DECLARED_ERROR_FACTOR ** rng.uniform(-1, 1)
    else:
        error = rng.lognormal(0.0, DECLARED_TIME_SIGMA)
    shape = attrs.evolve(kind.shape, expected_s=float(run_s * error))
    if impossible:
        shape = attrs.evolve(shape, accelerators=64, adjacency=Adjacency.WORKER)
    job = Job(
        f"job-{number}",
        deployment.service,
        team,
        shape,
        claims and not impossible,
        kind.idempotent,
        kind.checkpoint,
        float(at),
    )
    return TimedJob(job, run_s, possible=not impossible)


def _burst_jobs(deployment, scenario, rng, window_end: float, number: int) -> list[TimedJob]:
    """Return extra jobs that raise the load for a tenth of the measured window.

    They are of the two narrowest kinds for ``small_burst``, otherwise of the two widest kinds.
    """
    by_width = sorted(deployment.kinds, key=lambda kind: kind.shape.accelerators)
    kinds = by_width[:2] if scenario == "small_burst" else by_width[-2:]
    capacity = deployment.workers * deployment.accelerators
    remaining_work = (BURST_LOAD - BASE_LOAD) * capacity * window_end * BURST_WINDOW_SHARE
    jobs = []
    while remaining_work > 0:
        kind = kinds[int(rng.integers(len(kinds)))]
        at = window_end * (0.5 + BURST_WINDOW_SHARE * rng.random())
        team = deployment.teams[int(rng.integers(len(deployment.teams)))]
        timed = _make_timed_job(
            deployment, scenario, rng, number + len(jobs), at, kind, team, False
        )
        jobs.append(timed)
        remaining_work -= timed.run_s * kind.shape.accelerators
    return jobs


def _cancel_some(jobs: list[TimedJob], rng, window_end: float) -> list[TimedJob]:
    """Cancel about a third of the jobs of the first half of the window, at its middle."""
    cancel_at = window_end * 0.5
    return [
        (
            attrs.evolve(timed, cancel_at=cancel_at)
            if timed.job.submitted_at < cancel_at and rng.random() < 0.33
            else timed
        )
        for timed in jobs
    ]


def _full_cluster_workload(deployment: Deployment, rng) -> Workload:
    """Return a workload that claims every guarantee while the cluster is full of borrowed work.

    A worker falls silent just before the claims.
    """
    jobs = []
    evictable = [kind for kind in deployment.kinds if kind.idempotent]
    requested = 0
    while requested < 2 * deployment.workers * deployment.accelerators:
        kind = evictable[int(rng.integers(len(evictable)))]
        timed = _make_timed_job(deployment, "steady", rng, len(jobs), 0.0, kind, "borrowers", False)
        run_s = LONG_RUN_S * float(rng.uniform(0.5, 1.0))
        jobs.append(attrs.evolve(timed, run_s=run_s))
        requested += kind.shape.accelerators
    claim_at = 1000.0
    for team, kind_number, count in deployment.guarantees:
        for _ in range(count):
            kind = deployment.kinds[kind_number]
            jobs.append(
                _make_timed_job(deployment, "steady", rng, len(jobs), claim_at, kind, team, True)
            )
    silent = (claim_at - 0.001, f"worker-{int(rng.integers(deployment.workers))}")
    return Workload(tuple(jobs), frozenset(), (), math.inf, silent, claim_at * 2)
