"""Fixed sets of faults injected into real processes under load; checks counts, not times."""

import pytest

from bench.faults import run_faults
from standins.fleet import GUILD, WASCHPLAN, Fleet


@pytest.mark.parametrize(
    ("deployment", "base_port", "faults"),
    [
        (
            GUILD,
            22000,
            (
                "owner_killed+store_down",
                "owner_paused",
                "store_answers_lost+store_slow+worker_fails_all",
            ),
        ),
        (
            WASCHPLAN,
            22400,
            ("planned_stop", "connections_silent+worker_frozen", "worker_killed+vm_killed"),
        ),
    ],
)
def test_invariants_hold_under_failures(deployment, base_port, faults):
    report = run_on_fleet(deployment, base_port, 1, faults)
    assert not report.has_violations, report
    assert report.answered > report.sent / 2, report


def test_planned_stops_drop_no_request():
    report = run_on_fleet(GUILD, 22800, 2, ("planned_stop", "planned_stop"))
    assert not report.has_violations, report
    assert report.cut == 0, report
    assert report.unknown == 0, report


def test_planned_stops_during_other_failures_drop_no_request():
    faults = ("planned_stop+store_slow", "planned_stop+store_down", "executor_silent+planned_stop")
    report = run_on_fleet(GUILD, 22800, 3, faults)
    assert not report.has_violations, report
    assert report.cut == 0, report


def test_leaving_target_gets_no_new_work_during_other_failures():
    faults = (
        "owner_killed+target_leaving",
        "list_silent+target_leaving",
        "store_slow+target_leaving",
        "target_leaving+vm_killed",
    )
    report = run_on_fleet(GUILD, 22800, 4, faults)
    assert report.runs_on_leaving == 0, report
    assert not report.has_violations, report


def run_on_fleet(deployment, base_port, seed, faults):
    """Inject faults into a new fleet under load and return the report."""
    fleet = Fleet(deployment, base_port)
    try:
        fleet.start()
        fleet.publish(deployment.examples)
        return run_faults(fleet, seed, faults)
    finally:
        fleet.stop()
