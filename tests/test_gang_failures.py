"""Gangs of which one member ends while others have not answered their start; virtual time."""

import pytest

from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run

# Users count a job as lost that has nothing running for this long although workers are idle. A
# worker that leaves orders unanswered does so for two seconds here.
LOST_AFTER_S = 3.0
UNANSWERED_S = 2.0


def check_nothing_is_held(fleet):
    """Check that the owner counts no room as used once all jobs have ended."""
    director = fleet.vms["vm0"].director
    assert director.running == 0
    assert all(link.idle for link in director.pool)


# Guards against a gang that never runs again and holds its room for good: one member has failed
# while others waited for their order, or for the answer to it, on a worker that doesn't answer.
@pytest.mark.parametrize("count", [4, 12])
def test_a_gang_runs_again_after_one_member_fails_while_others_have_not_started(count):
    fleet = PlatformFleet(vms=1, executors=2)
    wait_for_owner(fleet)
    failing, mute = fleet.executors
    failing.failing, failing.fails_after_s = True, 0.3
    fleet.network.lost_orders.add(mute.name)
    steps = [step(count=count, gpu=16 // count, gang=True)]
    args = ("vm0", "ordinary", job_id(1), steps, "run_s=1")
    assert run(fleet, fleet.submit, *args, seconds=UNANSWERED_S) == 200
    assert fleet.run_history.runs[0].outcome == "failed"
    failing.failing = False
    fleet.network.lost_orders.clear()
    fleet.clock.advance(12.0)
    fleet.check_invariants()
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    second = min(entry.started_at for entry in fleet.run_history.runs if entry.outcome == "done")
    assert second - fleet.run_history.runs[0].ended_at < UNANSWERED_S + LOST_AFTER_S
    check_nothing_is_held(fleet)
