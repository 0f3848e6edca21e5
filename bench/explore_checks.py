"""Checks what an emulated fleet did against the users' rules."""

import collections
from collections.abc import Iterator, Mapping

import attrs

from standins.platform.executors import Run
from standins.platform.fleet import PlatformFleet

__all__ = ["Finding", "check_fleet"]

# Time that users allow for a cancellation and the stop of its tasks together.
CANCEL_S = 3.4
# Time that users allow from the request of an evacuation to the last start.
EVACUATED_S = 5.0
# An end counts as taken note of once it was listed, unless an unplanned fault began so long before
# it or up to the start.
NEAR_S = 10.0
FINAL_STATES = ("completed", "failed", "cancelled")


@attrs.frozen
class Finding:
    """Something that breaks a rule.

    :param subject: the job or task concerned.
    """

    rule: str
    subject: str
    text: str


def check_fleet(fleet: PlatformFleet, states: Mapping[str, str | int]) -> tuple[Finding, ...]:
    """Return what broke a rule.

    :param states: state of each accepted job as a VM tells it, or the status of its answer.
    """
    for executor in fleet.executors:
        executor.advance()
    return (
        *_check_single_runs(fleet),
        *_check_listed_ends(fleet),
        *_check_ends(fleet, states),
        *_check_refusals_and_cancels(fleet),
        *_check_places(fleet),
        *_check_evacuations(fleet),
    )


def _check_single_runs(fleet: PlatformFleet) -> Iterator[Finding]:
    """TWICE: a task never runs twice at once, nor after its end was acknowledged."""
    history = fleet.run_history
    for first, second in history.overlaps():
        text = f"{first.task} ran twice at once, as runs {first.number} and {second.number}"
        yield Finding("TWICE", first.task, text)
    for run in history.runs_after_done():
        yield Finding("TWICE", run.task, f"{run.task} ran again after its end, as run {run.number}")


def _check_listed_ends(fleet: PlatformFleet) -> Iterator[Finding]:
    """TWICE: a task never runs after its end was listed, where only planned things went on."""
    for done, run in fleet.run_history.runs_after_listed_done():
        if any(done.ended_at - NEAR_S < at < run.started_at for at in fleet.unplanned_faults):
            continue
        text = f"{run.task} ran again after its end was listed, as run {run.number}"
        yield Finding("TWICE", run.task, text)


def _check_ends(fleet: PlatformFleet, states: Mapping[str, str | int]) -> Iterator[Finding]:
    """LOST: each accepted job ends, and fails only by failed runs."""
    failed = {run.task for run in fleet.run_history.runs if run.outcome == "failed"}
    for name, state in states.items():
        job = fleet.run_history.jobs[name]
        if state not in FINAL_STATES:
            yield Finding("LOST", name, f"job {name} is {state}, long after the last fault")
        elif state == "cancelled" and not job.cancel_sent:
            yield Finding("LOST", name, f"job {name} is cancelled, though nobody did")
        elif state == "failed" and not any(task.startswith(name) for task in failed):
            yield Finding("LOST", name, f"job {name} failed without a failed run")


def _allows(labels: list[str], step: dict) -> bool:
    return not step.get("requires") or step["requires"] in labels


def _check_refusals_and_cancels(fleet: PlatformFleet) -> Iterator[Finding]:
    """A refused job never runs, and nothing starts long after a confirmed cancellation."""
    for run in fleet.run_history.runs:
        job = fleet.run_history.jobs[run.task.split(".", 1)[0]]
        if not job.maybe_accepted:
            yield Finding("REFUSED", run.task, f"{run.task} ran, though its job was refused")
        if job.cancelled_at is not None and run.started_at > job.cancelled_at + CANCEL_S:
            yield Finding("CANCEL", run.task, f"{run.task} started after its job was cancelled")


def _check_places(fleet: PlatformFleet) -> Iterator[Finding]:
    """ROUTE: tasks run on allowed executors only, and no more at once than a step allows."""
    labels = {executor.name: executor.entry["labels"] for executor in fleet.executors}
    by_step: dict[tuple[str, str], list[Run]] = collections.defaultdict(list)
    for run in fleet.run_history.runs:
        step = fleet.run_history.step_of(run.task)
        if not _allows(labels[run.executor], step):
            yield Finding("ROUTE", run.task, f"{run.task} ran on {run.executor} without its label")
        if step.get("max_per_server"):
            by_step[run.task.rsplit(".", 1)[0], run.executor].append(run)
    for (step_name, executor), runs in by_step.items():
        limit = fleet.run_history.step_of(runs[0].task)["max_per_server"]
        for run in runs:
            if sum(_runs_at(other, run.started_at) for other in runs) > limit:
                text = f"over {limit} tasks of {step_name} ran at once on {executor}"
                yield Finding("ROUTE", step_name, text)
                break


def _check_evacuations(fleet: PlatformFleet) -> Iterator[Finding]:
    """EVAC: nothing starts in a zone some time after its evacuation was requested."""
    zones = {executor.name: executor.entry["zone"] for executor in fleet.executors}
    for run in fleet.run_history.runs:
        for evacuation in fleet.operator.evacuations:
            if zones[run.executor] != evacuation.zone:
                continue
            if evacuation.begun_at + EVACUATED_S < run.started_at < evacuation.ended_at:
                waited_s = run.started_at - evacuation.begun_at
                text = f"{run.task} started {waited_s:.1f} s after its zone was evacuated"
                yield Finding("EVAC", run.task, text)


def _runs_at(run: Run, at: float) -> bool:
    return run.started_at <= at and (run.ended_at is None or run.ended_at > at)
