"""Draws the plans of explorations from seeds, and reduces a plan that breaks a rule."""

import enum
import random
from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs

from standins.platform.faults import EVACUATION, FAULTS, TURNOVER_FAULTS, TURNOVER_OUTAGES
from standins.platform.fleet import job_id, step

__all__ = [
    "EXECUTORS",
    "Moment",
    "Plan",
    "PlannedFault",
    "PlannedJob",
    "draw_plan",
    "draw_turnover_plan",
    "reduce_plan",
]

LENGTH_S = 24.0
MAX_FAULT_INTERVAL_S = 2.5
MAX_JOB_INTERVAL_S = 1.0
MAX_STEPS = 5
MAX_DELAY_S = 0.3
EXECUTORS = 8
DENSE_STEPS = (12, 22)
QUEUES = ("urgent", "ordinary", "patient")
RACKS = ("r0", "r1", "r2", "r3")
MAX_FAULT_KINDS = 6
OWNER_FAULT_SHARE = 0.5
EVACUATION_SHARE = 0.4
MAX_EVACUATIONS = 3
# Plans of turnover: longer leases, longer tasks, and owners that are replaced every few seconds.
TURNOVER_LEASE_S = 10.0
TURNOVER_RUN_S = (1.0, 10.0)
TURNOVER_JOB_INTERVAL_S = (0.4, 1.6)
TURNOVER_FAULT_INTERVAL_S = (0.2, 2.0)
MAX_LATENCY_S = 0.02
OUTAGE_SHARE = 0.5
MAX_OUTAGE_KINDS = 4

Entry = TypeVar("Entry")


class Moment(enum.Enum):
    """A moment right after which a fault may be placed."""

    START_SENT = "start_sent"
    STOP_SENT = "stop_sent"
    END_LISTED = "end_listed"
    TAKEOVER = "takeover"


@attrs.frozen
class PlannedJob:
    """A job and what its client does.

    :param at_s: when it is handed in, in seconds after the start.
    :param spec: behaviour of its tasks, as the emulated executors read it.
    :param executors: numbers of the executors for which the advice service issues tickets; empty
        for all, without tickets.
    :param cancel_after_s: how long after its acceptance it is cancelled, in seconds; ``None`` for
        never.
    """

    at_s: float
    name: str
    queue: str
    steps: tuple[dict, ...]
    spec: str
    executors: tuple[int, ...]
    cancel_after_s: float | None


@attrs.frozen
class PlannedFault:
    """A fault.

    :param at_s: when it begins, in seconds after the start.
    :param after: the moment that is awaited first; ``None`` for none.
    :param delay_s: how long after that moment the fault begins, in seconds.
    """

    at_s: float
    kind: str
    after: Moment | None
    delay_s: float


@attrs.frozen
class Plan:
    """All that happens in an exploration.

    :param seed: draws what the plan leaves open, such as the VM that a client calls.
    :param length_s: how long jobs are handed in and faults begin, in seconds.
    :param lease_s: longest lease of the runs on an executor, in seconds.
    :param latency_s: time that a request or an answer takes, in seconds.
    """

    seed: int
    length_s: float
    jobs: tuple[PlannedJob, ...]
    faults: tuple[PlannedFault, ...]
    lease_s: float = 6.0
    latency_s: float = 0.001


@attrs.frozen
class _Mix:
    """Shares of the kinds of jobs and steps in one plan, 0..1.

    :param longest_run_s: longest run of a task, in seconds.
    """

    gangs: float
    restricted: float
    failing: float
    cancelled: float
    advised: float
    dense: float
    longest_run_s: float


def draw_plan(seed: int) -> Plan:
    """Draw a plan; the same seed gives the same plan on each machine."""
    rng = random.Random(seed)
    jobs, faults = _draw_jobs(rng), _draw_faults(rng)
    return Plan(seed, LENGTH_S, tuple(jobs), (*faults, *_draw_evacuations(seed)))


def draw_turnover_plan(seed: int) -> Plan:
    """Draw a plan in which VMs and executors are replaced all the while."""
    rng = random.Random(f"{seed} turnover")
    mix = attrs.evolve(_draw_mix(rng), advised=0.0, dense=0.0)
    jobs = []
    at_s = 0.0
    while (at_s := at_s + rng.uniform(*TURNOVER_JOB_INTERVAL_S)) < LENGTH_S:
        job = _draw_job(rng, mix, at_s, job_id(len(jobs) + 1))
        steps = tuple(each | {"gpu": min(4, each["gpu"])} for each in job.steps[:2])
        spec = " ".join([f"run_s={rng.uniform(*TURNOVER_RUN_S):.2f}", *job.spec.split()[1:]])
        jobs.append(attrs.evolve(job, steps=steps, spec=spec))
    kinds = ["stop_owner", *rng.choices(TURNOVER_FAULTS, k=4)]
    if rng.random() < OUTAGE_SHARE:
        kinds += rng.sample(TURNOVER_OUTAGES, rng.randint(1, MAX_OUTAGE_KINDS))
    faults = []
    at_s = 0.0
    while (at_s := at_s + rng.uniform(*TURNOVER_FAULT_INTERVAL_S)) < LENGTH_S:
        after = rng.choice([None, Moment.END_LISTED, *Moment])
        delay_s = rng.choice([0.0, rng.uniform(0.0, 0.02), rng.uniform(0.0, MAX_DELAY_S)])
        faults.append(PlannedFault(at_s, rng.choice(kinds), after, delay_s))
    latency_s = rng.uniform(0.001, MAX_LATENCY_S)
    return Plan(seed, LENGTH_S, tuple(jobs), tuple(faults), TURNOVER_LEASE_S, latency_s)


def reduce_plan(plan: Plan, breaks: Callable[[Plan], bool]) -> Plan:
    """Leave out faults and jobs while the plan still breaks.

    :param breaks: plays a plan and returns whether it still breaks the rule.
    """
    faults = _reduce(plan.faults, lambda faults: breaks(attrs.evolve(plan, faults=tuple(faults))))
    plan = attrs.evolve(plan, faults=tuple(faults))
    jobs = _reduce(plan.jobs, lambda jobs: breaks(attrs.evolve(plan, jobs=tuple(jobs))))
    return attrs.evolve(plan, jobs=tuple(jobs))


def _reduce(entries: Sequence[Entry], breaks: Callable[[Sequence[Entry]], bool]) -> list[Entry]:
    """Remove chunks of entries, of half of them down to one, that are not needed."""
    kept = list(entries)
    size = max(1, len(kept) // 2)
    while True:
        start = 0
        while start < len(kept):
            fewer = kept[:start] + kept[start + size :]
            if breaks(fewer):
                kept = fewer
            else:
                start += size
        if size == 1:
            return kept
        size = max(1, size // 2)


def _draw_jobs(rng: random.Random) -> list[PlannedJob]:
    mix = _draw_mix(rng)
    jobs = []
    at_s = 0.0
    while (at_s := at_s + rng.uniform(0.2, MAX_JOB_INTERVAL_S)) < LENGTH_S:
        jobs.append(_draw_job(rng, mix, at_s, job_id(len(jobs) + 1)))
    return jobs


def _draw_mix(rng: random.Random) -> _Mix:
    return _Mix(
        gangs=rng.uniform(0.0, 0.8),
        restricted=rng.uniform(0.0, 0.4),
        failing=rng.uniform(0.0, 0.4),
        cancelled=rng.uniform(0.0, 0.3),
        advised=rng.choice([0.0, 0.1, 0.5]),
        dense=rng.choice([0.0, 0.05, 0.3]),
        longest_run_s=rng.uniform(1.0, 5.0),
    )


def _draw_job(rng: random.Random, mix: _Mix, at_s: float, name: str) -> PlannedJob:
    run_s = rng.uniform(0.1, mix.longest_run_s)
    if rng.random() < mix.dense:
        steps = _draw_dense_graph(rng)
        spec = f"run_s={run_s / len(steps):.2f}"
        return PlannedJob(at_s, name, rng.choice(QUEUES), steps, spec, (), None)
    if rng.random() < mix.advised:
        steps = (step(count=rng.randint(1, 3), gpu=rng.choice([2, 4])),)
        executors = tuple(rng.sample(range(EXECUTORS), rng.randint(1, 2)))
        spec = f"run_s={run_s:.2f}"
        return PlannedJob(at_s, name, "advised", steps, spec, executors, None)
    spec = f"run_s={run_s:.2f}"
    if rng.random() < mix.failing:
        spec += f" fail={rng.randint(1, 2)}"
    cancel_after_s = rng.uniform(0.0, 4.0) if rng.random() < mix.cancelled else None
    steps = _draw_graph(rng, mix)
    return PlannedJob(at_s, name, rng.choice(QUEUES), steps, spec, (), cancel_after_s)


def _draw_graph(rng: random.Random, mix: _Mix) -> tuple[dict, ...]:
    return tuple(_draw_step(rng, mix, number) for number in range(rng.randint(1, MAX_STEPS)))


def _draw_dense_graph(rng: random.Random) -> tuple[dict, ...]:
    """Draw steps that each depend on all earlier ones, so that many ways lead through them."""
    return tuple(step(after=list(range(number))) for number in range(rng.randint(*DENSE_STEPS)))


def _draw_step(rng: random.Random, mix: _Mix, number: int) -> dict:
    fields = {"count": rng.randint(1, 4), "gpu": rng.choice([1, 2, 4, 8])}
    if rng.random() < mix.gangs:
        fields["gang"] = True
    if number:
        fields["after"] = sorted(rng.sample(range(number), rng.randint(1, number)))
    if rng.random() < mix.restricted:
        fields["data_rack"] = rng.choice(RACKS)
    if rng.random() < mix.restricted:
        # All executors have the first label. A gang might not fit the executors of one rack.
        fields["requires"] = "a" if fields.get("gang") else rng.choice(("a", *RACKS))
    if fields["gpu"] <= 2 and not fields.get("gang") and rng.random() < mix.restricted:
        fields["max_per_server"] = rng.randint(1, 2)
    return step(**fields)


def _draw_faults(rng: random.Random) -> list[PlannedFault]:
    """Draw faults of a few kinds, so that those that need each other meet in some plans."""
    kinds = rng.sample(FAULTS, rng.randint(2, MAX_FAULT_KINDS))
    if rng.random() < OWNER_FAULT_SHARE:
        kinds.append("cut_workers_and_kill_owner")
    faults = []
    at_s = 0.0
    while (at_s := at_s + rng.uniform(0.2, MAX_FAULT_INTERVAL_S)) < LENGTH_S:
        after = rng.choice(list(Moment)) if rng.random() < 0.5 else None
        delay_s = rng.uniform(0.0, MAX_DELAY_S)
        faults.append(PlannedFault(at_s, rng.choice(kinds), after, delay_s))
    return faults


def _draw_evacuations(seed: int) -> list[PlannedFault]:
    """Draw evacuations for a share of the plans; the rest of a plan does not depend on them."""
    rng = random.Random(f"{seed} evacuated")
    if rng.random() > EVACUATION_SHARE:
        return []
    return [
        PlannedFault(
            rng.uniform(0.0, LENGTH_S),
            EVACUATION,
            rng.choice(list(Moment)) if rng.random() < 0.5 else None,
            rng.uniform(0.0, MAX_DELAY_S),
        )
        for _ in range(rng.randint(1, MAX_EVACUATIONS))
    ]
