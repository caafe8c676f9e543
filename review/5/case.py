"""Requests that arrive just over 3 s after a planned stop are cut off at its end."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import TROUBLE, CannotRun, Site, configuration, play  # noqa: E402

SERVICES = ["ledger"] * 7
# The machine that is stopped is the only one in its zone, so its clients stay there.
ZONES = ["a", "b", "b", "b", "c", "c", "c"]
DEADLINE_MS = 3000
# Every third request takes long, the others are short.
LONG_MS, SHORT_MS = 2700, 80
REQUESTS_PER_S = 45
STOPS = 11
GRACE_S = 6.0
# The rule excuses requests at which the target is still at work at the end of the grace
# period only if they were sent no later than this after the signal.
EXCUSED_S = 3.0


class Traffic:
    def __init__(self, site):
        self.site = site
        self.tasks = set()
        # (time of sending, time of the end, request id, status)
        self.results = []

    async def run(self):
        number = 0
        started = time.monotonic()
        while True:
            number += 1
            await asyncio.sleep(
                max(0.0, started + number / REQUESTS_PER_S - time.monotonic())
            )
            task = asyncio.create_task(self.one(SHORT_MS if number % 3 else LONG_MS))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def one(self, work_ms):
        sent = time.monotonic()
        request_id, status = await self.site.call(
            self.site.daemons[0],
            f"/write/1?ms={work_ms}",
            "POST",
            b"x" * 200,
            DEADLINE_MS,
        )
        self.results.append((sent, time.monotonic(), request_id, status))


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
    traffic = Traffic(site)
    task = asyncio.create_task(traffic.run())
    entry = site.daemons[0]
    signals = []
    try:
        for _ in range(STOPS):
            await asyncio.sleep(1.5)
            if TROUBLE:
                signals.append(time.monotonic())
                entry.send(signal.SIGTERM)
                await entry.wait_ended(GRACE_S)
                await entry.start()
                await entry.wait_ready()
            else:
                await asyncio.sleep(6.5)
    finally:
        task.cancel()
    await asyncio.gather(*traffic.tasks)
    began = {run[2]: run[1] for run in site.runs}
    cut = []
    for sent, ended, request_id, status in traffic.results:
        last = max((at for at in signals if at <= sent), default=None)
        if status != 0 or request_id not in began or last is None:
            continue
        late = sent - last > EXCUSED_S and ended < last + GRACE_S + 1.0
        at_work = ended < began[request_id] + LONG_MS / 1000
        if late and at_work and ended < sent + DEADLINE_MS / 1000:
            cut.append((sent - last, ended - last, request_id))
    for after, at, request_id in cut:
        site.record(
            f"{request_id} was sent {after:.3f} s after SIGTERM, run by a target, and "
            f"cut off {at:.3f} s after SIGTERM"
        )
    served = sum(1 for item in traffic.results if item[3] == 200)
    if served < 500:
        raise CannotRun(f"only {served} requests were served")
    text = (
        f"{len(cut)} requests that must not be repeated were read later than 3 s after "
        f"SIGTERM, run by a target and cut off without an answer; {len(signals)} stops, "
        f"{served} of {len(traffic.results)} requests served."
    )
    return not cut, text


if __name__ == "__main__":
    FOLDER = Path(__file__).resolve().parent
    play(FOLDER, lambda: Site(FOLDER, SERVICES, ZONES), run)
