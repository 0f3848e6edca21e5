"""Tests of the cell's history: batched writes, store outages, lost answers and reading."""

import pytest
from fakes import FakeStore, VirtualClock

from lacewingmill.cells import history as history_module
from lacewingmill.cells.history import History
from lacewingmill.codec import decode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.store_keys import HISTORY_PREFIX


class Harness:
    def __init__(self):
        self.clock = VirtualClock()
        self.store = FakeStore(self.clock)
        self.history = History(self.store, self.clock, "vm0", "main")
        self.log = EventLog("vm0", self.history.on_event)

    def batches(self):
        entries = self.store.list(HISTORY_PREFIX)
        return [decode(entry.value, history_module.HistoryBatch) for entry in entries]

    def jobs(self):
        return [entry.job for batch in self.batches() for entry in batch.entries]


@pytest.fixture
def world():
    return Harness()


def note_jobs(world, first, count):
    for number in range(first, first + count):
        world.log.emit(LogEvent.JOB_DONE, job=f"j{number}", run_s=1.0)


def test_many_entries_are_written_at_once(world):
    note_jobs(world, 0, 300)
    calls = world.store.calls
    world.history.commit()
    # One call grants the lease of the hour, one writes the batch.
    assert world.store.calls - calls == 2
    note_jobs(world, 300, 300)
    calls = world.store.calls
    world.history.commit()
    assert world.store.calls - calls == 1
    assert world.jobs() == [f"j{number}" for number in range(600)]


def test_commit_without_entries_makes_no_store_call(world):
    world.log.emit(LogEvent.READY, reason="")
    calls = world.store.calls
    world.history.commit()
    assert world.store.calls == calls


def test_lost_answer_neither_loses_nor_duplicates_a_batch(world):
    note_jobs(world, 0, 3)
    world.store.lose_writes = 2
    for _ in range(4):
        world.history.commit()
    assert world.jobs() == ["j0", "j1", "j2"]
    assert world.history.pending == 0


def test_entries_are_queued_while_the_store_is_unavailable(world):
    world.store.down = True
    note_jobs(world, 0, 3)
    world.history.commit()
    note_jobs(world, 3, 2)
    world.history.commit()
    world.store.down = False
    world.history.commit()
    world.history.commit()
    assert world.jobs() == ["j0", "j1", "j2", "j3", "j4"]


def test_long_outage_drops_and_counts_the_oldest_entries(world, monkeypatch):
    monkeypatch.setattr(history_module, "MAX_PENDING_ENTRIES", 10)
    world.store.down = True
    note_jobs(world, 0, 25)
    world.store.down = False
    world.history.commit()
    assert world.jobs() == [f"j{number}" for number in range(15, 25)]
    assert world.batches()[0].dropped == 15


def test_read_finds_a_job_across_writers_and_hours(world):
    world.log.emit(LogEvent.GANG_STARTED, gang="j1.1.0.1", workers=("w0", "w1"))
    world.history.commit()
    world.clock.advance(5000.0)
    other = History(world.store, world.clock, "vm1", "main")
    EventLog("vm1", other.on_event).emit(LogEvent.GANG_EVICTED, gang="j1.1.0.1", for_job="j2")
    other.commit()
    world.clock.advance(1.0)
    note_jobs(world, 7, 1)
    world.history.commit()
    entries = other.read(24, "j1")
    assert [(entry.vm, entry.event) for entry in entries] == [
        ("vm0", "gang_started"),
        ("vm1", "gang_evicted"),
    ]
    assert "workers w0 w1" in entries[0].detail
    assert [entry.event for entry in other.read(0)] == ["gang_evicted", "job_done"]


def test_history_expires_after_a_week(world):
    note_jobs(world, 0, 1)
    world.history.commit()
    world.clock.advance(6 * 24 * 3600.0)
    assert world.jobs() == ["j0"]
    world.clock.advance(2 * 24 * 3600.0)
    assert world.jobs() == []
