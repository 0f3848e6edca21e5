"""How long an owner does not listen to a leaving worker, on virtual time."""

import pytest

from tests.test_platform_handover import (
    check_nothing_ran_again,
    exit_worker,
    fleet_with_ends_on_a_leaving_worker,
)


# Guards against an end that nobody hears because the owner waits for many earlier ends to be
# stored: the worker may exit 0.1 s after its last end.
@pytest.mark.parametrize("slow_s", [0.0, 0.02, 0.04])
def test_a_leaving_worker_is_polled_soon_though_many_of_its_ends_wait_for_the_store(slow_s):
    fleet = fleet_with_ends_on_a_leaving_worker(jobs=121, in_s=(*[0.5] * 120, 0.52))
    fleet.kv.faults.slow_s = slow_s
    exit_worker(fleet)
    fleet.kv.faults.slow_s = 0.0
    check_nothing_ran_again(fleet)
