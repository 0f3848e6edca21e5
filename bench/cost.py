"""Measures the time per scheduler event and the memory of a cell, by its number of workers.

The times are wall-clock times. docs/CAPACITY.md lists the results.
"""

import argparse
import random
import resource
import sys
import time

import attrs
import numpy as np

from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.messages import (
    GangReleased,
    GangStarted,
    GuaranteedSlots,
    GuaranteesChanged,
    Job,
    JobFinished,
    JobSubmitted,
    Needs,
    Objective,
    SlotKey,
    StartGang,
    Tick,
    WorkerInfo,
    WorkerJoined,
)
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["Cost", "measure_cost", "measure_round_us"]

SIZES = (24, 240, 1000, 3800)
WORKERS_PER_RACK = 16
MEASURED_EVENTS = 300
QUEUED_JOBS = 50
ONE_ACCELERATOR = Shape("one", 1, Adjacency.WORKER, 2, 4, 3600)
FOUR_ACCELERATORS = Shape("four", 4, Adjacency.WORKER, 2, 4, 3600)
UNIT = Shape("unit", 1, Adjacency.WORKER, 4, 1, 5)
WIDE_GANG = Shape("wide", 64, Adjacency.RACK, 2, 4, 7200)


@attrs.frozen
class Cost:
    """99th percentiles by kind of event, in microseconds, and memory, in megabytes.

    :param configure_us: time to apply one whole configuration, measured once.
    :param memory_mb: growth of the peak memory of the process.
    """

    finish_p99_us: float
    submit_p99_us: float
    tick_p99_us: float
    claim_p99_us: float
    configure_us: float
    memory_mb: float


def measure_cost(workers: int) -> Cost:
    """Fill a cell with running and queued jobs, then time single events."""
    rng = random.Random(1)
    scheduler = Scheduler()
    before_mb = _memory_mb()
    for number in range(workers):
        rack = number // WORKERS_PER_RACK
        info = WorkerInfo(f"w{number}", f"r{rack}", f"d{rack % 14}", 8, 32, 128)
        scheduler.handle(WorkerJoined(info), 0.0)
    teams = max(1, workers * 790 // 3800)
    slots = tuple(
        GuaranteedSlots(SlotKey("s", f"t{n}", "four"), FOUR_ACCELERATORS, 1) for n in range(teams)
    )
    configure_s = _time_event(
        scheduler,
        GuaranteesChanged(slots, (), (ONE_ACCELERATOR, FOUR_ACCELERATORS, WIDE_GANG)),
        0.0,
    )
    running = []
    for number in range(workers * 8 - 8):
        running.extend(_submit_job(scheduler, f"fill{number}", "other", ONE_ACCELERATOR, False))
    for number in range(QUEUED_JOBS):
        _submit_job(scheduler, f"queued{number}", "other", WIDE_GANG, False)
    submits, finishes, ticks, claims = [], [], [], []
    for number in range(MEASURED_EVENTS):
        now = 10.0 + number
        job_id = running.pop(rng.randrange(len(running)))
        finishes.append(_time_event(scheduler, JobFinished(job_id, 100.0), now))
        job = _make_job(f"new{number}", "other", ONE_ACCELERATOR, False, now)
        submits.append(_time_event(scheduler, JobSubmitted(job), now))
        running.append(job.job_id)
        scheduler.handle(GangStarted(job.job_id), now)
        ticks.append(_time_event(scheduler, Tick(), now))
        if number < min(teams, 50):
            claim = _make_job(f"claim{number}", f"t{number}", FOUR_ACCELERATORS, True, now)
            claims.append(_time_event(scheduler, JobSubmitted(claim), now))
            _release_victims(scheduler, running, now)
    return Cost(
        _p99_us(finishes),
        _p99_us(submits),
        _p99_us(ticks),
        _p99_us(claims),
        configure_s * 1e6,
        _memory_mb() - before_mb,
    )


def measure_round_us(workers: int = 176, waiting: int = 500, rounds: int = 300) -> float:
    """Return the 99th percentile of a planning round while jobs with objectives wait.

    All accelerators are in use; in each round some units end, so that others start.

    :return: in microseconds of processor time, so that other processes count little.
    """
    rng = random.Random(1)
    scheduler = Scheduler()
    for number in range(workers):
        rack = f"r{number // 12}"
        scheduler.apply(WorkerJoined(WorkerInfo(f"w{number}", rack, "d0", 8, 64, 256)), 0.0)
    numbers = iter(range(1_000_000))
    seconds, running, waits = [], [], 0
    for turn in range(rounds + 1):
        now = turn * 0.1
        ended = rng.sample(running, min(len(running), 20))
        for job_id in ended:
            running.remove(job_id)
            scheduler.apply(JobFinished(job_id, 5.0), now)
        missing = waiting - waits if turn else waiting + workers * 8
        for _ in range(missing):
            scheduler.apply(JobSubmitted(_make_unit(next(numbers), now)), now)
        started = time.process_time()
        actions = scheduler.plan(now)
        if turn:
            seconds.append(time.process_time() - started)
        starts = [action.job_id for action in actions if isinstance(action, StartGang)]
        for job_id in starts:
            scheduler.apply(GangStarted(job_id), now)
        running.extend(starts)
        waits = scheduler.queued
    return _p99_us(seconds)


def _make_unit(number: int, now: float) -> Job:
    """Return a unit of one accelerator, of a step of 13, of one of ten teams and three ranks."""
    group = number // 13
    rank = group % 3
    job = _make_job(f"unit{number}", f"t{group % 10}", UNIT, False, now)
    objective = Objective(rank, now + 8.0 + rank * 4, now + 24.0 + rank * 12)
    return attrs.evolve(job, needs=Needs(group=f"g{group}"), objective=objective)


def _release_victims(scheduler: Scheduler, running: list[str], now: float) -> None:
    evicting = [j for j, r in scheduler.records.items() if r.state.value == "evicting"]
    for job_id in evicting:
        scheduler.handle(GangReleased(job_id, 1.0), now)
        if job_id in running:
            running.remove(job_id)


def _make_job(name: str, team: str, shape: Shape, claims: bool, now: float) -> Job:
    return Job(name, "s", team, shape, claims, True, True, now)


def _submit_job(
    scheduler: Scheduler, name: str, team: str, shape: Shape, claims: bool
) -> list[str]:
    actions = scheduler.handle(JobSubmitted(_make_job(name, team, shape, claims, 0.0)), 0.0)
    started = [action.job_id for action in actions if isinstance(action, StartGang)]
    for job_id in started:
        scheduler.handle(GangStarted(job_id), 0.0)
    return started


def _time_event(scheduler: Scheduler, event, now: float) -> float:
    started = time.perf_counter()
    scheduler.handle(event, now)
    return time.perf_counter() - started


def _p99_us(seconds: list[float]) -> float:
    return float(np.percentile(seconds, 99)) * 1e6 if seconds else 0.0


def _memory_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def main() -> int:
    """Print the cost at one of the sizes in docs/CAPACITY.md."""
    parser = argparse.ArgumentParser(prog="bench.cost")
    parser.add_argument("--workers", type=int, choices=SIZES, default=SIZES[0])
    parser.add_argument(
        "--round", action="store_true", help="time rounds with 500 waiting units on 176 workers"
    )
    args = parser.parse_args()
    if args.round:
        print(f"round_p99_us {measure_round_us():.0f}")
        return 0
    cost = measure_cost(args.workers)
    text = ", ".join(f"{name} {value:.0f}" for name, value in attrs.asdict(cost).items())
    print(f"workers {args.workers}: {text}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
