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
    SlotKey,
    StartGang,
    Tick,
    WorkerInfo,
    WorkerJoined,
)
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["Cost", "measure_cost"]

SIZES = (24, 240, 1000, 3800)
WORKERS_PER_RACK = 16
MEASURED_EVENTS = 300
QUEUED_JOBS = 50
ONE_ACCELERATOR = Shape("one", 1, Adjacency.WORKER, 2, 4, 3600)
FOUR_ACCELERATORS = Shape("four", 4, Adjacency.WORKER, 2, 4, 3600)
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
    parser.add_argument("--workers", type=int, choices=SIZES, required=True)
    args = parser.parse_args()
    cost = measure_cost(args.workers)
    text = ", ".join(f"{name} {value:.0f}" for name, value in attrs.asdict(cost).items())
    print(f"workers {args.workers}: {text}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
