"""Compares orders of waiting jobs when there is too little room, on 176 workers.

Prints a table with one row for each pattern of load and order, and plots it.
"""

import argparse
import math
import sys
from multiprocessing import Pool
from pathlib import Path

import attrs
import numpy as np

from bench.orders import ORDERS
from bench.simulate import Simulation, SimulationRecord
from bench.workload import Deployment, TimedJob, Weights, Workload
from lacewingmill.jobs.scheduler_inputs import JOB_FAILURE_RULES, JOB_RULES
from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.messages import (
    Action,
    Event,
    Job,
    Needs,
    Objective,
    TeamQuota,
    Tick,
)
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["PATTERNS", "Figures", "measure"]

OUTPUT = Path("bench/out/overload.png")
PROCESSES = 3
ROUND_S = 0.1
WINDOW_S = 40.0
SERVICE = "svc"
TEAMS = tuple(f"team-{number}" for number in range(10))
# A third of the jobs is from one team, the others in equal parts.
TEAM_WEIGHTS = (0.34,) + (0.66 / 9,) * 9
DUE_STRETCH = 1.5
LAST_FACTOR = 3.0
RUN_TIME_SIGMA = 0.3
DECLARED_TIME_SIGMA = 0.5
PATTERNS = ("overload", "team burst", "wide burst", "urgent burst")


@attrs.frozen
class Queue:
    """A kind of job: steps of ``tasks`` tasks, some of which form gangs.

    :param per_s: jobs a second.
    :param run_s: median run time of a task, in seconds.
    :param slack_s: time beyond the stretched run time until a job is due, in seconds.
    :param sizes: accelerators of a task, of which one is drawn for each job.
    """

    name: str
    rank: int
    per_s: float
    tasks: int
    run_s: float
    slack_s: float
    sizes: tuple[int, ...]
    processors: float


QUEUES = (
    Queue("urgent", 0, 4.6, 5, 2.3, 0.25, (1, 1, 1, 2, 2, 4, 8), 5.0),
    Queue("usual", 1, 1.15, 13, 9.0, 1.0, (1, 1, 1, 2, 2, 4, 8), 13.0),
    Queue("patient", 2, 1.15, 39, 8.0, 3.0, (1,), 4.0),
)
DEPLOYMENT = Deployment(
    "overload",
    SERVICE,
    Weights(),
    64.0,
    256.0,
    (),
    (),
    TEAMS,
    tuple(TeamQuota(SERVICE, team, 30) for team in TEAMS),
    workers=176,
    workers_per_rack=12,
)


class RoundScheduler:
    """A scheduler that plans once a tick for all events since the last one."""

    configured_shapes: tuple[Shape, ...] = ()

    def __init__(self, order: str):
        self._scheduler = Scheduler(JOB_RULES, JOB_FAILURE_RULES, ORDERS[order])
        self.cluster = self._scheduler.cluster

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply an event; plan if it is a tick."""
        self._scheduler.apply(event, now)
        return self._scheduler.plan(now) if isinstance(event, Tick) else []


@attrs.frozen
class Figures:
    """Shares of jobs in one run, 0..1, by count.

    :param in_time: of all jobs, those that ended before they were due.
    :param served: of all jobs, those that ended before their last moment.
    :param worst_team: in time and, by half, late, of the team with least.
    :param largest: served of the largest tenth of the queue that has least of it.
    :param fifth: the same for the fifth below the largest tenth.
    :param round_p99_ms: 99th percentile of the time of a planning round, in milliseconds.
    """

    in_time: float
    served: float
    worst_team: float
    largest: float
    fifth: float
    worst_queue: float
    round_p99_ms: float


def _jobs(pattern: str, seed: int) -> list[TimedJob]:
    rng = np.random.Generator(np.random.PCG64([seed, PATTERNS.index(pattern)]))
    jobs: list[TimedJob] = []
    for queue in QUEUES:
        for at in _arrivals(queue, 2.4 if pattern == "overload" else 1.1, 0.0, WINDOW_S, rng):
            team = TEAMS[int(rng.choice(len(TEAMS), p=TEAM_WEIGHTS))]
            jobs.extend(_step(queue, team, at, f"{queue.name}-{len(jobs)}", rng))
    if pattern == "team burst":
        for queue in QUEUES:
            for at in _arrivals(queue, 4.0, 10.0, 20.0, rng):
                jobs.extend(_step(queue, TEAMS[0], at, f"burst-{queue.name}-{len(jobs)}", rng))
    if pattern == "wide burst":
        wide = attrs.evolve(QUEUES[1], sizes=(4, 8), per_s=1.15)
        for at in _arrivals(wide, 3.0, 10.0, 20.0, rng):
            jobs.extend(_step(wide, TEAMS[1], at, f"wide-{len(jobs)}", rng, gang=True))
    if pattern == "urgent burst":
        for at in _arrivals(QUEUES[0], 8.0, 10.0, 25.0, rng):
            team = TEAMS[int(rng.integers(len(TEAMS)))]
            jobs.extend(_step(QUEUES[0], team, at, f"more-{len(jobs)}", rng))
    return sorted(jobs, key=lambda timed: timed.job.submitted_at)


def _arrivals(queue: Queue, factor: float, begin: float, end: float, rng) -> list[float]:
    count = rng.poisson(queue.per_s * factor * (end - begin))
    return sorted(float(at) for at in rng.uniform(begin, end, count))


def _step(
    queue: Queue, team: str, at: float, name: str, rng, gang: bool | None = None
) -> list[TimedJob]:
    """Return the units of a job of one step: a gang, or its tasks."""
    size = int(rng.choice(queue.sizes))
    tasks = max(1, int(queue.tasks * rng.lognormal(0.0, 0.5)))
    gang = bool(rng.random() < 0.5 and queue.rank < 2) if gang is None else gang
    base_s = queue.run_s * float(rng.lognormal(0.0, RUN_TIME_SIGMA))
    declared_s = base_s * float(rng.lognormal(0.0, DECLARED_TIME_SIGMA))
    due_after_s = DUE_STRETCH * base_s + queue.slack_s
    units, members = (1, tasks) if gang else (tasks, 1)
    adjacency = Adjacency.CLUSTER if members > 1 else Adjacency.WORKER
    shape = Shape(queue.name, size * members, adjacency, queue.processors, 1.0, declared_s, members)
    return [
        TimedJob(
            Job(
                f"{name}/{number}",
                SERVICE,
                team,
                shape,
                claims=False,
                idempotent=True,
                checkpoint=queue.rank > 0,
                submitted_at=at,
                urgent=queue.rank == 0,
                needs=Needs(group=name),
                objective=Objective(queue.rank, at + due_after_s, at + LAST_FACTOR * due_after_s),
                group_size=units,
            ),
            base_s * float(rng.lognormal(0.0, 0.1)),
        )
        for number in range(units)
    ]


@attrs.frozen
class JobResult:
    """A job with the value that its caller got.

    :param work: accelerator-seconds.
    :param value: 1.0 in time, 0.5 late, 0.0 afterwards.
    """

    queue: str
    team: str
    work: float
    value: float


def _results(records: list[SimulationRecord]) -> list[JobResult]:
    groups: dict[str, list[SimulationRecord]] = {}
    for record in records:
        groups.setdefault(record.timed.job.needs.group, []).append(record)
    results = []
    for units in groups.values():
        job = units[0].timed.job
        ended_at = max(unit.ended_at for unit in units)
        value = 0.0
        if ended_at <= job.objective.last_at:
            value = 1.0 if ended_at <= job.objective.due_at else 0.5
        work = sum(unit.timed.run_s * unit.timed.job.shape.accelerators for unit in units)
        results.append(JobResult(job.shape.name, job.team, work, value))
    return results


def _served(results: list[JobResult]) -> float:
    return float(np.mean([result.value > 0.0 for result in results])) if results else math.nan


def _by_size(results: list[JobResult], low: float, high: float) -> float:
    """Return the share served among jobs of the sizes between two quantiles, at the worst queue."""
    shares = []
    for queue in QUEUES:
        jobs = sorted((r for r in results if r.queue == queue.name), key=lambda r: r.work)
        shares.append(_served(jobs[int(low * len(jobs)) : int(high * len(jobs))]))
    return min(shares)


def measure(pattern: str, order: str, seed: int) -> Figures:
    """Simulate an order under a pattern of load.

    :raises KeyError: when there is no such order.
    """
    workload = Workload(tuple(_jobs(pattern, seed)), frozenset(), (), math.inf, None, WINDOW_S)
    policy = RoundScheduler(order)
    simulation = Simulation(DEPLOYMENT, workload, policy, ROUND_S)
    simulation.run()
    results = _results(list(simulation.records.values()))
    teams = [[r.value for r in results if r.team == team] for team in TEAMS]
    rounds = [seconds for seconds in simulation.decision_s if seconds > 1e-4]
    return Figures(
        float(np.mean([result.value == 1.0 for result in results])),
        _served(results),
        min(float(np.mean(values)) for values in teams if values),
        _by_size(results, 0.9, 1.0),
        _by_size(results, 0.7, 0.9),
        min(_served([r for r in results if r.queue == queue.name]) for queue in QUEUES),
        float(np.percentile(rounds, 99)) * 1000,
    )


def _run_case(case: tuple[str, str, int]) -> Figures:
    return measure(*case)


def main() -> int:
    """Print the table and write the plot."""
    parser = argparse.ArgumentParser(prog="bench.overload")
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds, from 1")
    parser.add_argument("--processes", type=int, default=PROCESSES)
    args = parser.parse_args()
    rows = [(pattern, order) for pattern in PATTERNS for order in ORDERS]
    cases = [(*row, seed) for row in rows for seed in range(1, args.seeds + 1)]
    with Pool(args.processes) as pool:
        figures = pool.map(_run_case, cases, chunksize=1)
    means = {}
    for number, row in enumerate(rows):
        runs = figures[number * args.seeds : (number + 1) * args.seeds]
        means[row] = np.mean([attrs.astuple(run) for run in runs], axis=0)
    names = [field.name for field in attrs.fields(Figures)]
    print(f"{'pattern':16}{'order':16}" + "".join(f"{name:>13}" for name in names))
    for (pattern, order), values in means.items():
        print(f"{pattern:16}{order:16}" + "".join(f"{value:13.3f}" for value in values))
    _plot(means)
    return 0


def _plot(means: dict[tuple[str, str], np.ndarray]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(1, len(PATTERNS), figsize=(14, 4), sharey=True)
    for axis, pattern in zip(axes, PATTERNS, strict=True):
        for order in ORDERS:
            values = means[pattern, order]
            axis.scatter([values[1]], [values[2]], label=order)
        axis.set_title(pattern)
        axis.set_xlabel("share of jobs served")
    axes[0].set_ylabel("value of the worst team")
    axes[-1].legend()
    figure.savefig(OUTPUT)
    print(f"\nplot: {OUTPUT}")


if __name__ == "__main__":
    sys.exit(main())
