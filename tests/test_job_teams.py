"""Who may see, cancel and shadow a job: teams with keys, and callers of public queues."""

import pytest

from standins.platform.executors import SubmittedJob
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run

BODY = {"spec": "run_s=20", "steps": [step()]}
OTHER_KEY = "key-b"


@pytest.fixture(params=["owner", "store"])
def fleet(request):
    """Return a fleet with a public queue and two teams, with and without an owner to ask."""
    fleet = PlatformFleet(vms=2)
    config = fleet.config
    config["version"] += 1
    ordinary = next(route for route in config["routes"] if route["name"] == "ordinary")
    config["routes"].append(ordinary | {"name": "public", "prefix": "/public/", "public": True})
    config["tenants"].append({"name": "team-b", "api_keys": [OTHER_KEY], "guaranteed": {"gpu": 0}})
    fleet.operator.configure(config)
    fleet.clock.advance(3.0)
    wait_for_owner(fleet)
    if request.param == "store":
        fleet.kill(fleet.owner)
    return fleet


def call(fleet, method, queue, number, key):
    body = BODY if method == "POST" else None
    if method == "POST":
        fleet.run_history.jobs.setdefault(job_id(number), SubmittedJob(BODY["steps"]))
    vm = sorted(fleet.vms)[0]
    path = f"/{queue}/{job_id(number)}"
    return run(fleet, fleet.call, vm, method, path, body, key, seconds=2.0)[0]


# Guards against callers without a key who read and cancel the jobs of teams by their ids.
@pytest.mark.parametrize(
    "queue, key", [("public", ""), ("public", OTHER_KEY), ("ordinary", OTHER_KEY)]
)
def test_a_job_of_a_team_is_hidden_from_others(fleet, queue, key):
    assert call(fleet, "POST", "ordinary", 1, "key-a") == 200
    assert call(fleet, "GET", queue, 1, key) == 410
    assert call(fleet, "DELETE", queue, 1, key) == 410
    assert call(fleet, "GET", "ordinary", 1, "key-a") == 200


# Guards against telling a caller that its job is accepted, because somebody else uses its id.
@pytest.mark.parametrize("queue, key", [("public", ""), ("ordinary", OTHER_KEY)])
def test_an_id_that_somebody_else_uses_is_refused(fleet, queue, key):
    assert call(fleet, "POST", "ordinary", 1, "key-a") == 200
    assert call(fleet, "POST", queue, 1, key) == 409
    assert call(fleet, "POST", "ordinary", 1, "key-a") == 200


# Guards against losing jobs of a public queue whose callers send a key at times, or one that was
# taken away since.
@pytest.mark.parametrize("first, then", [("key-a", ""), ("", "key-a"), ("key-a", "unknown")])
def test_a_job_of_a_public_queue_is_found_whatever_key_is_sent(fleet, first, then):
    assert call(fleet, "POST", "public", 1, first) == 200
    assert call(fleet, "POST", "public", 1, then) == 200
    assert call(fleet, "GET", "public", 1, then) == 200
    assert call(fleet, "DELETE", "public", 1, then) == 200
