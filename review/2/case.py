"""A request that crashes targets, while the daemons are restarted one after the other."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import CONTACT_S, TROUBLE, Site, configuration, play  # noqa: E402

SERVICES = ["ledger"] * 7
POISON = "/read/crash"
# Time for which copies of the request are sent after each restart, and between two.
WINDOW_S = 3.5
PAUSE_S = 0.25


class Watch:
    """Sends the request again and again, at each machine in turn."""

    def __init__(self, site):
        self.site = site
        # Monotonic time at which each copy was sent, by request id.
        self.sent = {}
        self.quiet = False

    def arrivals(self):
        """Return (time, request id) of each run of the request."""
        return [run[1:3] for run in self.site.runs if run[3] == POISON]

    async def run(self):
        site = self.site
        turn = 0
        while True:
            if not self.quiet:
                daemon = site.daemons[turn % len(site.daemons)]
                turn += 1
                await site.call(daemon, POISON, wait_ms=1200)
            await asyncio.sleep(PAUSE_S)


async def settle(site):
    """Wait until all daemons have been running for the time that the rules ask."""
    for daemon in site.daemons:
        await daemon.wait_ready()
    while not site.in_touch():
        await asyncio.sleep(0.05)


async def traffic(site, lost):
    """Ordinary requests that must not be repeated; counts those without an answer."""

    async def one(daemon):
        _, status = await site.call(daemon, "/write/1?ms=120", "POST", b"x" * 200, 1500)
        if status in (0, 502, 504, -1):
            lost.append(status)

    tasks = []
    try:
        while True:
            for daemon in site.daemons:
                if daemon.process.returncode is None:
                    tasks.append(asyncio.create_task(one(daemon)))
            await asyncio.sleep(0.4)
    finally:
        for task in tasks:
            task.cancel()


async def run(site):
    await site.start(
        configuration(
            1,
            [
                {"name": "r-read", "prefix": "/read/", "service": "ledger"},
                {
                    "name": "r-write",
                    "prefix": "/write/",
                    "service": "ledger",
                    "kind": "non_idempotent",
                },
            ],
        )
    )
    await settle(site)
    watch = Watch(site)
    lost = []
    tasks = [
        asyncio.create_task(watch.run()),
        asyncio.create_task(traffic(site, lost)),
    ]
    try:
        while len(watch.arrivals()) < 3:
            await asyncio.sleep(0.05)
        third = watch.arrivals()[2][0]
        # Targets return, and contact_s passes after the third crash.
        await asyncio.sleep(CONTACT_S + 2.5)
        counted_from = time.monotonic()
        site.record("contact_s has passed since the third crash")
        counted = 0
        known = len(watch.arrivals())
        for daemon in site.daemons:
            if TROUBLE:
                # Copies are sent only while all machines are in touch, so that every
                # copy counts in the sense of the rule.
                watch.quiet = True
                daemon.send(signal.SIGTERM)
                await daemon.wait_ended()
                await daemon.start()
                await settle(site)
                known = len(watch.arrivals())
                watch.quiet = False
            await asyncio.sleep(WINDOW_S)
            counted += len(watch.arrivals()) - known
            known = len(watch.arrivals())
    finally:
        for task in tasks:
            task.cancel()
    before = sum(1 for at, _ in watch.arrivals() if at <= third)
    text = (
        f"{before} runs up to the third crash; {counted} runs later than contact_s "
        f"({CONTACT_S:g} s) after it, sent by machines in touch; 3 are allowed. "
        f"{len(lost)} ordinary requests that must not be repeated got 502, 504 or no "
        f"answer. Counted for {time.monotonic() - counted_from:.0f} s."
    )
    return counted <= 3, text


if __name__ == "__main__":
    FOLDER = Path(__file__).resolve().parent
    play(FOLDER, lambda: Site(FOLDER, SERVICES), run)
