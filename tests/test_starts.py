"""A short seeded run of disturbed starts; the long one is `make starts SEEDS=50`."""

from bench.starts import run_starts


def test_no_vm_ends_by_itself_while_its_start_is_disturbed():
    counts = run_starts(seed=1, base_port=23600)
    assert not counts.broken, counts
