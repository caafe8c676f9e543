"""A target leaves while the store is down; then all processes are killed at once."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import TROUBLE, CannotRun, Site, configuration, play  # noqa: E402

SERVICES = ["ledger"] * 3
DRAIN_S = 2.0
# Seconds after the beginning of the outage of the store.
LEAVES_AT = 1.0
STORE_BACK_AT = 2.5
KILL_AT = 4.0
START_AT = 4.5
LATE_BEAT_AT = 6.0
REQUESTS_AT = 9.0
EXIT_AT = 12.0
END_AT = 13.0


async def run(site):
    await site.start(
        configuration(
            1,
            [
                {
                    "name": "r-write",
                    "prefix": "/write/",
                    "service": "ledger",
                    "kind": "non_idempotent",
                }
            ],
        )
    )
    leaver = site.targets[0]
    started = time.monotonic()

    async def until(second):
        await asyncio.sleep(max(0.0, started + second - time.monotonic()))

    if TROUBLE:
        site.store.mode = "silent"
        site.record("the store is silent")
    await until(LEAVES_AT)
    # This heartbeat is sent before the departure and arrives late.
    late = leaver.heartbeat()
    leaver.beats.cancel()
    # The target leaves without reporting "draining", and serves on.
    leaver.state = "leaving"
    for _ in range(3):
        if await leaver.post(f"/Instances.Deregister/{leaver.identity}", b'{"born":%d}' % leaver.born):
            break
    else:
        raise CannotRun("the departure was not acknowledged")
    acknowledged = time.monotonic()
    site.record(f"the departure of {leaver.identity} is acknowledged")
    await until(STORE_BACK_AT)
    site.store.mode = "ok"
    site.record("the store answers again")
    await until(KILL_AT)
    if TROUBLE:
        for daemon in site.daemons:
            daemon.send(signal.SIGKILL)
        for daemon in site.daemons:
            await daemon.wait_ended()
    await until(START_AT)
    if TROUBLE:
        for daemon in site.daemons:
            await daemon.start()
    await until(LATE_BEAT_AT)
    answer = await leaver.post(*late)
    site.record(f"the late heartbeat arrives, acknowledged: {answer}")
    await until(REQUESTS_AT)
    for daemon in site.daemons:
        await daemon.wait_ready()
    if not site.in_touch():
        raise CannotRun("the machines are not in touch")
    calls = []
    exited = False
    while time.monotonic() < started + END_AT:
        if not exited and time.monotonic() >= started + EXIT_AT:
            # The target has served on for some seconds and exits now.
            site.record(f"target {leaver.identity} exits")
            leaver.stop()
            exited = True
        for daemon in site.daemons:
            calls.append(
                asyncio.create_task(
                    site.call(daemon, "/write/1?ms=250", "POST", b"x" * 100, 1500)
                )
            )
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*calls)
    served = sum(1 for _, status in answers if status == 200)
    if not served:
        raise CannotRun("no request was served")
    late_runs = [
        item for item in site.runs if item[0] is leaver and item[1] > acknowledged + DRAIN_S
    ]
    ran_there = {item[2] for item in late_runs}
    lost = sum(1 for name, status in answers if name in ran_there and status != 200)
    text = (
        f"{len(late_runs)} requests reached the target later than drain_s "
        f"({DRAIN_S:g} s) after its departure was acknowledged, the last one "
        f"{max((item[1] for item in late_runs), default=acknowledged) - acknowledged:.1f}"
        f" s after it; {lost} of them were lost when it exited; {served} of "
        f"{len(answers)} requests were served."
    )
    return not late_runs, text


if __name__ == "__main__":
    FOLDER = Path(__file__).resolve().parent
    play(FOLDER, lambda: Site(FOLDER, SERVICES), run)
