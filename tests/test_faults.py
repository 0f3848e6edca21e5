"""A small fixed set of failures against real processes; counts only, no verdict on times."""

import pytest

from bench.faults import run_faults
from standins.fleet import GUILD, WASCHPLAN, Fleet


@pytest.mark.parametrize(
    ("deployment", "base_port", "faults"),
    [
        (GUILD, 22000, ("owner_killed+store_down", "owner_paused", "store_answers_lost")),
        (
            WASCHPLAN,
            22400,
            ("planned_stop", "connections_silent+worker_frozen", "worker_killed+vm_killed"),
        ),
    ],
)
def test_promises_hold_under_failures(deployment, base_port, faults):
    fleet = Fleet(deployment, base_port)
    try:
        fleet.start()
        fleet.publish(deployment.examples)
        report = run_faults(fleet, 1, faults)
    finally:
        fleet.stop()
    assert not report.broken, report
    assert report.answered > report.sent / 2, report


def test_planned_stops_cut_no_request():
    fleet = Fleet(GUILD, 22800)
    try:
        fleet.start()
        fleet.publish(GUILD.examples)
        report = run_faults(fleet, 2, ("planned_stop", "planned_stop"))
    finally:
        fleet.stop()
    assert not report.broken, report
    assert report.cut == 0, report
    assert report.unknown == 0, report
