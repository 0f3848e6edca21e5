"""Calls of hundreds of VMs to the store while it is away, on virtual time: no storm of retries."""

import pytest

from lacewingmill.retries import Backoff
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run

VMS = 300
# Rates of the largest site's store, in calls a second.
MAX_READS_PER_S = 16_000
SETTLE_S = 4.0
REST_S = 8.0  # a refresh of the VM list
OUTAGE_S = 6.0
RETURN_S = 3.0


class FixedRandom:
    def __init__(self, value):
        self.value = value

    def random(self):
        return self.value


@pytest.mark.parametrize(("random_value", "share"), [(0.0, 1.0), (1.0, 0.5)])
def test_delays_double_up_to_the_longest_with_up_to_half_of_them_random(random_value, share):
    backoff = Backoff(0.2, 1.0, FixedRandom(random_value))
    delays = [backoff.next_s() for _ in range(5)]
    assert delays == pytest.approx([share * bound for bound in (0.2, 0.4, 0.8, 1.0, 1.0)])
    backoff.reset()
    assert backoff.next_s() == pytest.approx(share * 0.2)


def test_delays_stay_at_the_longest_however_many_failures_there_are():
    backoff = Backoff(0.2, 1.0, FixedRandom(0.0))
    assert [backoff.next_s() for _ in range(10_000)][-1] == 1.0


def calls_per_s(fleet, seconds):
    """Advance the time and return the rate of calls to the store."""
    before = sum(fleet.kv.calls.values())
    fleet.clock.advance(seconds)
    return (sum(fleet.kv.calls.values()) - before) / seconds


@pytest.fixture(scope="module")
def rested_fleet():
    fleet = PlatformFleet(vms=VMS, executors=2)
    wait_for_owner(fleet)
    fleet.clock.advance(SETTLE_S)
    return fleet, calls_per_s(fleet, REST_S)


@pytest.mark.parametrize("fault", ["resets", "silent", "some"])
def test_calls_during_an_outage_stay_within_twice_those_at_rest(rested_fleet, fault):
    fleet, at_rest = rested_fleet
    if fault == "some":
        fleet.kv.faults.rejected_clients = {f"vm{number}" for number in range(0, VMS, 3)}
    else:
        setattr(fleet.kv.faults, fault, True)
    rates = [calls_per_s(fleet, OUTAGE_S / 4) for _ in range(4)]
    fleet.kv.faults.rejected_clients = set()
    fleet.kv.faults.resets = fleet.kv.faults.silent = False
    rates.append(calls_per_s(fleet, 1.0))
    assert max(rates) < MAX_READS_PER_S
    assert sum(rates[:4]) / 4 <= 2 * at_rest
    fleet.clock.advance(RETURN_S)
    wait_for_owner(fleet)
    assert all(vm.why_not_ready() == "" for vm in fleet.vms.values())
    number = ["resets", "silent", "some"].index(fault)
    assert run(fleet, fleet.submit, "vm7", "ordinary", job_id(number), [step()]) == 200
    fleet.clock.advance(4.0)
    assert run(fleet, fleet.state, "vm9", "ordinary", job_id(number)) == "completed"


# Guards against a job that is neither accepted nor refused until its client has given up: the VM
# did not notice the outage before, and sent the job to a store that answers nothing.
@pytest.mark.parametrize("fault", ["resets", "down"])
def test_a_job_handed_in_during_an_outage_is_refused_at_once(fault):
    fleet = PlatformFleet(vms=3)
    wait_for_owner(fleet)
    setattr(fleet.kv.faults, fault, True)
    fleet.clock.advance(2.0)
    for number, vm in enumerate(fleet.vms):
        started_at = fleet.clock.now()
        steps = [step()]
        answer = run(fleet, fleet.submit, vm, "ordinary", job_id(number), steps, seconds=1.0)
        assert answer == 503 and fleet.clock.now() - started_at <= 1.0
