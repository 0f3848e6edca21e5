"""Tests of the cell's history: batched writes, store outages, lost answers and reading."""

import pytest
from fakes import FakeStore

from lacewingmill.cells import history as history_module
from lacewingmill.cells.history import History
from lacewingmill.codec import decode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.store_keys import HISTORY_PREFIX
from standins.virtual_clock import VirtualClock


class Harness:
    """A history in a fake store, with an event log that writes to it."""

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
def harness():
    return Harness()


def log_done_jobs(harness, first, count):
    for number in range(first, first + count):
        harness.log.emit(LogEvent.JOB_DONE, job=f"j{number}", run_s=1.0)


def test_many_entries_are_written_at_once(harness):
    log_done_jobs(harness, 0, 300)
    calls = harness.store.calls
    harness.history.commit()
    # One call grants the lease of the hour, one writes the batch.
    assert harness.store.calls - calls == 2
    log_done_jobs(harness, 300, 300)
    calls = harness.store.calls
    harness.history.commit()
    assert harness.store.calls - calls == 1
    assert harness.jobs() == [f"j{number}" for number in range(600)]


def test_commit_without_entries_makes_no_store_call(harness):
    harness.log.emit(LogEvent.READY, reason="")
    calls = harness.store.calls
    harness.history.commit()
    assert harness.store.calls == calls


def test_lost_answer_neither_loses_nor_duplicates_a_batch(harness):
    log_done_jobs(harness, 0, 3)
    harness.store.lose_writes = 2
    for _ in range(4):
        harness.history.commit()
    assert harness.jobs() == ["j0", "j1", "j2"]
    assert harness.history.pending == 0


def test_entries_are_queued_while_the_store_is_unavailable(harness):
    harness.store.down = True
    log_done_jobs(harness, 0, 3)
    harness.history.commit()
    log_done_jobs(harness, 3, 2)
    harness.history.commit()
    harness.store.down = False
    harness.history.commit()
    harness.history.commit()
    assert harness.jobs() == ["j0", "j1", "j2", "j3", "j4"]


def test_long_outage_drops_and_counts_the_oldest_entries(harness, monkeypatch):
    monkeypatch.setattr(history_module, "MAX_PENDING_ENTRIES", 10)
    harness.store.down = True
    log_done_jobs(harness, 0, 25)
    harness.store.down = False
    harness.history.commit()
    assert harness.jobs() == [f"j{number}" for number in range(15, 25)]
    assert harness.batches()[0].dropped == 15


def test_read_finds_a_job_across_writers_and_hours(harness):
    harness.log.emit(LogEvent.GANG_STARTED, gang="j1.1.0.1", workers=("w0", "w1"))
    harness.history.commit()
    harness.clock.advance(5000.0)
    other = History(harness.store, harness.clock, "vm1", "main")
    EventLog("vm1", other.on_event).emit(LogEvent.GANG_EVICTED, gang="j1.1.0.1", for_job="j2")
    other.commit()
    harness.clock.advance(1.0)
    log_done_jobs(harness, 7, 1)
    harness.history.commit()
    entries = other.read(24, "j1")
    assert [(entry.vm, entry.event) for entry in entries] == [
        ("vm0", "gang_started"),
        ("vm1", "gang_evicted"),
    ]
    assert "workers w0 w1" in entries[0].detail
    assert [entry.event for entry in other.read(0)] == ["gang_evicted", "job_done"]


def test_history_expires_after_a_week(harness):
    log_done_jobs(harness, 0, 1)
    harness.history.commit()
    harness.clock.advance(6 * 24 * 3600.0)
    assert harness.jobs() == ["j0"]
    harness.clock.advance(2 * 24 * 3600.0)
    assert harness.jobs() == []
