"""Cost of decisions by size: time per event and memory, for docs/CAPACITY.md. Wall clock."""

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
    WorkerJoined,
    WorkerNode,
)
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["Cost", "measure_cost"]

SIZES = (24, 240, 1000, 3800)
PER_RACK = 16
EVENTS = 300
QUEUED = 50
ONE = Shape("one", 1, Adjacency.WORKER, 2, 4, 3600)
FOUR = Shape("four", 4, Adjacency.WORKER, 2, 4, 3600)
WIDE = Shape("wide", 64, Adjacency.RACK, 2, 4, 7200)


@attrs.frozen
class Cost:
    """99th percentiles by kind of event, in microseconds, and memory, in megabytes.

    :param configure_us: the time to take one whole configuration in.
    """

    finish_p99_us: float
    submit_p99_us: float
    tick_p99_us: float
    claim_p99_us: float
    configure_us: float
    memory_mb: float


def measure_cost(workers: int) -> Cost:
    """Fill a cell with tasks and time single events."""
    rng = random.Random(1)
    scheduler = Scheduler()
    before_mb = _memory_mb()
    for number in range(workers):
        rack = number // PER_RACK
        node = WorkerNode(f"w{number}", f"r{rack}", f"d{rack % 14}", 8, 32, 128)
        scheduler.handle(WorkerJoined(node), 0.0)
    teams = max(1, workers * 790 // 3800)
    slots = tuple(GuaranteedSlots(SlotKey("s", f"t{n}", "four"), FOUR, 1) for n in range(teams))
    configured = _timed(scheduler, GuaranteesChanged(slots, (), (ONE, FOUR, WIDE)), 0.0)
    running = []
    for number in range(workers * 8 - 8):
        running.extend(_submit(scheduler, f"fill{number}", "other", ONE, False))
    for number in range(QUEUED):
        _submit(scheduler, f"queued{number}", "other", WIDE, False)
    submits, finishes, ticks, claims = [], [], [], []
    for number in range(EVENTS):
        now = 10.0 + number
        job_id = running.pop(rng.randrange(len(running)))
        finishes.append(_timed(scheduler, JobFinished(job_id, 100.0), now))
        job = _job(f"new{number}", "other", ONE, False, now)
        submits.append(_timed(scheduler, JobSubmitted(job), now))
        running.append(job.job_id)
        scheduler.handle(GangStarted(job.job_id), now)
        ticks.append(_timed(scheduler, Tick(), now))
        if number < min(teams, 50):
            claim = _job(f"claim{number}", f"t{number}", FOUR, True, now)
            claims.append(_timed(scheduler, JobSubmitted(claim), now))
            _release_victims(scheduler, running, now)
    return Cost(
        _p99(finishes),
        _p99(submits),
        _p99(ticks),
        _p99(claims),
        configured * 1e6,
        _memory_mb() - before_mb,
    )


def _release_victims(scheduler: Scheduler, running: list[str], now: float) -> None:
    evicting = [j for j, r in scheduler.records.items() if r.state.value == "evicting"]
    for job_id in evicting:
        scheduler.handle(GangReleased(job_id, 1.0), now)
        if job_id in running:
            running.remove(job_id)


def _job(name: str, team: str, shape: Shape, claims: bool, now: float) -> Job:
    return Job(name, "s", team, shape, claims, True, True, now)


def _submit(scheduler: Scheduler, name: str, team: str, shape: Shape, claims: bool) -> list[str]:
    actions = scheduler.handle(JobSubmitted(_job(name, team, shape, claims, 0.0)), 0.0)
    started = [action.job_id for action in actions if isinstance(action, StartGang)]
    for job_id in started:
        scheduler.handle(GangStarted(job_id), 0.0)
    return started


def _timed(scheduler: Scheduler, event, now: float) -> float:
    started = time.perf_counter()
    scheduler.handle(event, now)
    return time.perf_counter() - started


def _p99(seconds: list[float]) -> float:
    return float(np.percentile(seconds, 99)) * 1e6 if seconds else 0.0


def _memory_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def main() -> int:
    """Print the cost at one size, or at the sizes of docs/CAPACITY.md."""
    parser = argparse.ArgumentParser(prog="bench.cost")
    parser.add_argument("--workers", type=int, choices=SIZES, required=True)
    args = parser.parse_args()
    figures = measure_cost(args.workers)
    cells = ", ".join(f"{name} {value:.0f}" for name, value in attrs.asdict(figures).items())
    print(f"workers {args.workers}: {cells}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
