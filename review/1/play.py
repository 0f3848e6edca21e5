"""Two executors fail all that they start for some seconds, among it a gang that needs them all."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from platform_standin import main  # noqa: E402

EXECUTORS = 24
GREY_S = 6.0
FINISH_S = 14.0
WIDE = "000000000000e001"


async def play(platform, trouble):
    capacity = {"cpu": 128000, "mem_mb": 524288, "gpu": 8}
    for number in range(EXECUTORS):
        await platform.add_executor(f"i-{number}", capacity, ("a", f"r{number // 6}"))
    await platform.start()
    await platform.start_vms()
    grey = [platform.executors[name] for name in ("i-5", "i-17")]
    if trouble:
        for executor in grey:
            executor.failing = True
            platform.note(f"{executor.name}: fails all that it starts")
    # One task fits on an executor, by its memory.
    wide = {
        "count": EXECUTORS,
        "cpu": 52000,
        "mem_mb": 270000,
        "gpu": 1,
        "est_runtime_ms": 4000,
        "gang": True,
    }
    small = {"count": 1, "cpu": 1000, "mem_mb": 256, "gpu": 1, "est_runtime_ms": 1000}
    await platform.submit(platform.vms[0], "ordinary", WIDE, [wide], "run_s=4")
    await asyncio.sleep(GREY_S)
    if trouble:
        for executor in grey:
            executor.failing = False
            platform.note(f"{executor.name}: sound again")
    await asyncio.sleep(4.0)
    for number in range(1, 6):
        vm = platform.vms[number]
        await platform.submit(vm, "ordinary", f"{0xE001 + number:016x}", [small], "run_s=1")
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S)
    return await platform.stuck({WIDE})


main(play, HERE, trouble=sys.argv[1:] != ["0"])
