"""Failure domains that the operator evacuates while jobs come, on virtual time."""

import pytest

from standins.platform.fleet import job_id, step, wait_for_owner
from tests.test_platform_path import run

EVACUATED_WITHIN_S = 5.0


def starts_in(fleet, zone, since):
    """Return the runs that began in a zone after a time."""
    names = {each.name for each in fleet.executors if each.entry["zone"] == zone}
    return [r for r in fleet.run_history.runs if r.executor in names and r.started_at > since]


def submit_tasks(fleet, number, count=6, spec="run_s=1"):
    vm = sorted(fleet.vms)[0]
    return run(fleet, fleet.submit, vm, "ordinary", job_id(number), [step(count=count)], spec)


def test_nothing_starts_in_an_evacuated_domain_until_it_is_released(fleet):
    fleet.operator.evacuate("z0")
    fleet.clock.advance(2.0)
    evacuated_at = fleet.clock.now()
    submit_tasks(fleet, 1, count=20)
    fleet.clock.advance(10.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert starts_in(fleet, "z0", evacuated_at) == []
    fleet.operator.release("z0")
    fleet.clock.advance(2.0)
    submit_tasks(fleet, 2, count=32)
    assert starts_in(fleet, "z0", evacuated_at) != []
