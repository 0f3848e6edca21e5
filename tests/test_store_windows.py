"""Submissions in the seconds in which the store stops answering, at the height of a burst."""

import gevent
import pytest

from standins.platform.fleet import PlatformFleet, job_id, step

VMS = 6
CLIENT_TIMEOUT_S = 3.0
# A refusal within half of a client's time leaves the client time for another attempt.
REFUSED_WITHIN_S = CLIENT_TIMEOUT_S / 2


class BurstClient:
    """A client that submits one job, comes back after each refusal and gives up after 3 s."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.answers = []

    def run(self):
        started_at = self.fleet.clock.now()
        for attempt in range(5):
            vm = f"vm{(self.number + attempt) % VMS}"
            sent_at = self.fleet.clock.now()
            status = self.fleet.submit(vm, "urgent", job_id(self.number), [step()])
            now = self.fleet.clock.now()
            self.answers.append((status, now - sent_at))
            if status != 503 or now - started_at >= CLIENT_TIMEOUT_S:
                return
            self.fleet.clock.sleep(min(1.0, started_at + CLIENT_TIMEOUT_S - now))


def submit_burst(fleet, numbers):
    clients = [BurstClient(fleet, number) for number in numbers]
    for client in clients:
        gevent.spawn(client.run)
        fleet.clock.advance(0.1)
    return clients


@pytest.mark.parametrize("quiet_s", [1.5, 8.0])
def test_a_burst_that_meets_a_silent_store_is_refused_in_time_for_another_attempt(quiet_s):
    """VMs that had no call for a while learn of the outage by the submissions themselves."""
    fleet = PlatformFleet(vms=VMS)
    fleet.clock.advance(quiet_s)
    fleet.kv.faults.silent = True
    fleet.clock.advance(1.1)
    clients = submit_burst(fleet, range(1, 13))
    fleet.clock.advance(0.6)
    fleet.kv.faults.silent = False
    fleet.clock.advance(12.0)
    first = [client.answers[0] for client in clients]
    assert [status for status, _ in first] == [503] * len(clients)
    assert max(took_s for _, took_s in first) <= REFUSED_WITHIN_S
    assert [client.answers[-1][0] for client in clients] == [200] * len(clients)
    refused = {job_id(c.number) for c in clients if c.answers[-1][0] != 200}
    assert not refused & {run.task.split(".")[0] for run in fleet.run_history.runs}


def test_a_vm_that_the_store_ignores_finds_another_way_within_a_second():
    fleet = PlatformFleet(vms=VMS)
    other = next(vm for vm in fleet.vms if vm != fleet.owner)
    fleet.clock.advance(3.0)
    fleet.network.cut.add((other, "10.9.0.1:1"))
    fleet.clock.advance(1.1)
    sent = gevent.spawn(fleet.submit, other, "urgent", job_id(1), [step()])
    fleet.clock.advance(1.0)
    assert sent.value == 200


@pytest.mark.parametrize("left_ms", [20, 600])
def test_a_last_attempt_is_refused_within_the_time_that_its_client_has_left(left_ms):
    fleet = PlatformFleet(vms=VMS)
    fleet.clock.advance(3.0)
    fleet.kv.faults.silent = True
    fleet.clock.advance(1.1)
    fleet.deadline_ms = left_ms
    sent = gevent.spawn(fleet.submit, "vm1", "urgent", job_id(1), [step()])
    fleet.clock.advance(left_ms / 1000)
    assert sent.value == 503
