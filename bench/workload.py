"""Workloads of both users: jobs with true run times, and what goes wrong meanwhile.

Times are virtual seconds. Everything follows from the seed.
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
    WorkerNode,
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

LOAD = 0.9
BURST_LOAD = 1.3
BURST_SHARE = 0.1
JOBS = 1500
CLAIM_SHARE = 0.1
RUN_SIGMA = 1.0
DECLARED_SIGMA = 0.5
WRONG_FACTOR = 10.0
FULL_RUN_S = 20000.0
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
    """How a deployment weighs its two measures; they sum to one."""

    completion_time: float = 0.5
    fragmentation: float = 0.5


@attrs.frozen
class JobKind:
    """A kind of job.

    :param weight: share of arrivals.
    :param median_s: median run time, in seconds.
    """

    shape: Shape
    weight: float
    median_s: float
    idempotent: bool
    checkpoint: bool


@attrs.frozen
class Deployment:
    """One user's cell, kinds of jobs and guarantees.

    :param guarantees: team, kind number and count.
    """

    name: str
    service: str
    weights: Weights
    processors: float
    memory_gb: float
    kinds: tuple[JobKind, ...]
    guarantees: tuple[tuple[str, int, int], ...]
    teams: tuple[str, ...]
    workers: int = 24
    workers_per_rack: int = 6
    accelerators: int = 8

    def nodes(self) -> list[WorkerNode]:
        """Return the workers; each rack is a failure domain of its own."""
        return [
            WorkerNode(
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
        """Return the guarantees as the scheduler takes them."""
        slots = tuple(
            GuaranteedSlots(
                SlotKey(self.service, team, self.kinds[kind].shape.name),
                self.kinds[kind].shape,
                count,
            )
            for team, kind, count in self.guarantees
        )
        return GuaranteesChanged(slots, (), tuple(kind.shape for kind in self.kinds))


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
    """A job and the truth about it.

    :param run_s: true run time, in seconds.
    :param cancel_at: when its caller gives up; infinite if never.
    :param possible: whether any block could hold it.
    """

    job: Job
    run_s: float
    cancel_at: float = math.inf
    possible: bool = True


@attrs.frozen
class Workload:
    """Jobs by arrival, and what goes wrong.

    :param failing: workers that fail every task, always.
    :param lost: workers lost, with the time, in seconds.
    :param back_at: when lost workers come back.
    :param silent: a worker that falls silent, with the time; empty when none does.
    :param until: end of the measured window, in seconds.
    """

    jobs: tuple[TimedJob, ...]
    failing: frozenset[str]
    lost: tuple[tuple[float, str], ...]
    back_at: float
    silent: tuple[float, str] | None
    until: float


def make_workload(
    deployment: Deployment, scenario: str, seed: int, jobs_wanted: int = JOBS
) -> Workload:
    """Return the workload of a scenario.

    :param jobs_wanted: arrivals, before those of bursts.
    :raises ValueError: when there is no such scenario.
    """
    if scenario not in SCENARIOS:
        raise ValueError(f"no scenario {scenario}")
    rng = np.random.Generator(np.random.PCG64([seed, SCENARIOS.index(scenario)]))
    if scenario == "full_cluster_claim":
        return _full_cluster(deployment, rng)
    arrivals = _arrivals(deployment, rng, jobs_wanted)
    until = arrivals[-1]
    jobs = [_make_job(deployment, scenario, rng, number, at) for number, at in enumerate(arrivals)]
    if scenario in ("small_burst", "large_burst"):
        jobs.extend(_burst(deployment, scenario, rng, until, len(jobs)))
        jobs.sort(key=lambda timed: timed.job.submitted_at)
    if scenario == "cancellations":
        jobs = _cancel_wave(jobs, rng, until)
    failing: frozenset[str] = frozenset()
    lost: tuple[tuple[float, str], ...] = ()
    if scenario == "failing_worker":
        failing = frozenset({"worker-5", "worker-13"})
    if scenario == "rack_lost":
        lost = tuple((until * 0.4, f"worker-{number}") for number in range(6))
    silent = (until * 0.5, "worker-20")
    return Workload(tuple(jobs), failing, lost, until * 0.7, silent, until)


def _mean_work(deployment: Deployment) -> float:
    """Return the expected accelerator-seconds of a job."""
    spread = math.exp(RUN_SIGMA**2 / 2)
    total = sum(kind.weight for kind in deployment.kinds)
    return sum(
        kind.weight / total * kind.shape.accelerators * kind.median_s * spread
        for kind in deployment.kinds
    )


def _arrivals(deployment: Deployment, rng, jobs_wanted: int) -> list[float]:
    capacity = deployment.workers * deployment.accelerators
    gap_s = _mean_work(deployment) / (LOAD * capacity)
    return list(np.cumsum(rng.exponential(gap_s, jobs_wanted)))


def _make_job(deployment: Deployment, scenario: str, rng, number: int, at: float) -> TimedJob:
    weights = np.array([kind.weight for kind in deployment.kinds])
    kind = deployment.kinds[int(rng.choice(len(weights), p=weights / weights.sum()))]
    team = deployment.teams[int(rng.integers(len(deployment.teams)))]
    claims = bool(rng.random() < CLAIM_SHARE)
    if claims:
        owner, kind_number, _ = deployment.guarantees[int(rng.integers(len(deployment.guarantees)))]
        team, kind = owner, deployment.kinds[kind_number]
    impossible = scenario == "impossible_jobs" and rng.random() < 0.1
    return _timed(deployment, scenario, rng, number, at, kind, team, claims, impossible)


def _timed(deployment, scenario, rng, number, at, kind, team, claims, impossible=False) -> TimedJob:
    run_s = float(kind.median_s * rng.lognormal(0.0, RUN_SIGMA))
    if scenario == "wrong_sizes":
        error = WRONG_FACTOR ** rng.uniform(-1, 1)
    else:
        error = rng.lognormal(0.0, DECLARED_SIGMA)
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


def _burst(deployment, scenario, rng, until: float, number: int) -> list[TimedJob]:
    """Extra jobs of the smallest or widest kinds that lift the load for a tenth of the run."""
    ranked = sorted(deployment.kinds, key=lambda kind: kind.shape.accelerators)
    kinds = ranked[:2] if scenario == "small_burst" else ranked[-2:]
    capacity = deployment.workers * deployment.accelerators
    missing = (BURST_LOAD - LOAD) * capacity * until * BURST_SHARE
    jobs = []
    while missing > 0:
        kind = kinds[int(rng.integers(len(kinds)))]
        at = until * (0.5 + BURST_SHARE * rng.random())
        team = deployment.teams[int(rng.integers(len(deployment.teams)))]
        timed = _timed(deployment, scenario, rng, number + len(jobs), at, kind, team, False)
        jobs.append(timed)
        missing -= timed.run_s * kind.shape.accelerators
    return jobs


def _cancel_wave(jobs: list[TimedJob], rng, until: float) -> list[TimedJob]:
    """A third of the jobs submitted before the middle are given up in the middle."""
    wave_at = until * 0.5
    return [
        (
            attrs.evolve(timed, cancel_at=wave_at)
            if timed.job.submitted_at < wave_at and rng.random() < 0.33
            else timed
        )
        for timed in jobs
    ]


def _full_cluster(deployment: Deployment, rng) -> Workload:
    """Borrowed work fills the cluster; then every guarantee is claimed while a worker is silent."""
    jobs = []
    evictable = [kind for kind in deployment.kinds if kind.idempotent]
    held = 0
    while held < 2 * deployment.workers * deployment.accelerators:
        kind = evictable[int(rng.integers(len(evictable)))]
        timed = _timed(deployment, "steady", rng, len(jobs), 0.0, kind, "borrowers", False)
        run_s = FULL_RUN_S * float(rng.uniform(0.5, 1.0))
        jobs.append(attrs.evolve(timed, run_s=run_s))
        held += kind.shape.accelerators
    claim_at = 1000.0
    for team, kind_number, count in deployment.guarantees:
        for _ in range(count):
            kind = deployment.kinds[kind_number]
            jobs.append(_timed(deployment, "steady", rng, len(jobs), claim_at, kind, team, True))
    silent = (claim_at - 0.001, f"worker-{int(rng.integers(deployment.workers))}")
    return Workload(tuple(jobs), frozenset(), (), math.inf, silent, claim_at * 2)
