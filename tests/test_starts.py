"""A short run of disturbed starts with a fixed seed; ``make starts SEEDS=50`` is the long one."""

from bench.starts import run_starts


def test_no_vm_ends_by_itself_while_its_start_is_disturbed():
    report = run_starts(seed=1, base_port=23600)
    assert not report.has_violations, report
