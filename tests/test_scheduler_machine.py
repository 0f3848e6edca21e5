"""The promises of the decision core under random events, and each check failing on a fault."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from scheduler_machine import CalmMachine, SchedulerMachine

from lacewingmill.scheduling import cluster, reclaim, state
from lacewingmill.scheduling.guarantees import SlotTable

SETTINGS = settings(
    max_examples=120,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
    report_multiple_bugs=False,
)

# A planted fault need only be found, not shrunk.
PLANTED = settings(SETTINGS, phases=(Phase.generate,))


@pytest.mark.parametrize("machine", [SchedulerMachine, CalmMachine])
def test_promises_hold_under_random_events(machine):
    run_state_machine_as_test(machine, settings=SETTINGS)


def _blind_to_reservations(monkeypatch):
    monkeypatch.setattr(
        cluster.Node, "hard_units", lambda node, shape: node.unprotected_units(shape)
    )


def _evicts_anything(monkeypatch):
    monkeypatch.setattr(reclaim._VictimChooser, "_evictable", lambda self, job_id: True)


def _leaves_accelerators_free(monkeypatch):
    original = cluster.Cluster._set_free

    def set_free(self, node, free):
        original(self, node, free if len(free) > len(node.free) else node.free)

    monkeypatch.setattr(cluster.Cluster, "_set_free", set_free)


def _drops_a_member(monkeypatch):
    original = cluster.Cluster.allocate

    def allocate(self, job_id, shape, block):
        return original(self, job_id, shape, block)[:1]

    monkeypatch.setattr(cluster.Cluster, "allocate", allocate)


def _forgets_the_reservation(monkeypatch):
    """A slot that is given back is homed neither in place nor anywhere else."""
    monkeypatch.setattr(state.SchedulerState, "_return_slot", lambda self, slot, block: None)
    fill_shortfalls, configure = SlotTable.fill_shortfalls, SlotTable.configure

    def configure_and_home(self, guarantees):
        configure(self, guarantees)
        fill_shortfalls(self)

    monkeypatch.setattr(SlotTable, "home_all", lambda self: None)
    monkeypatch.setattr(SlotTable, "configure", configure_and_home)


def _goes_on_using_leaving_workers(monkeypatch):
    monkeypatch.setattr(cluster.Cluster, "usable", lambda self, node: True)


def _never_moves_reservations_off(monkeypatch):
    monkeypatch.setattr(SlotTable, "leave", lambda self, worker: None)


@pytest.mark.parametrize(
    "plant",
    [
        _blind_to_reservations,
        _evicts_anything,
        _leaves_accelerators_free,
        _drops_a_member,
        _forgets_the_reservation,
        _goes_on_using_leaving_workers,
        _never_moves_reservations_off,
    ],
)
def test_checks_fail_on_a_planted_fault(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises((AssertionError, KeyError, IndexError)):
        run_state_machine_as_test(CalmMachine, settings=PLANTED)
        run_state_machine_as_test(SchedulerMachine, settings=PLANTED)
