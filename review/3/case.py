"""A replica that was paused for a promotion restarts before it takes effect, and follows the old primary."""
import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from cluster import Client, ClientClosed, document, run_case, start_all  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RESTART_S = 0.1


async def write_steadily(cluster, entry, record, acknowledged, until):
    client = None
    while time.monotonic() < until[0]:
        try:
            if client is None:
                client = Client(record, "w-")
                await client.open(entry.host, cluster.port, "ledger", "key-one")
            identifier, code, _ = await client.send(f"STORE item{Client.count} data", timeout=3.0)
            if code == "":
                acknowledged[identifier] = time.monotonic()
        except (OSError, ClientClosed, asyncio.IncompleteReadError):
            if client:
                client.close()
            client = None
        await asyncio.sleep(0.05)


async def run(cluster, record):
    body = document(1, "ledger-1", {"ledger": "primary"}, {"one": ["key-one"]}, timeout_ms=2000)
    started = await start_all(cluster, body, "key-one", "ledger")
    if not started:
        return 2
    service, tasks = started
    primary, candidate, paused = service.servers
    acknowledged, until = {}, [time.monotonic() + 14.0]
    tasks.append(asyncio.create_task(
        write_steadily(cluster, cluster.entries[0], record, acknowledged, until)))
    await asyncio.sleep(4.0)
    # Between two writes, so that both replicas have the same log.
    count = len(acknowledged)
    while len(acknowledged) == count and time.monotonic() < until[0]:
        await asyncio.sleep(0.002)
    record.note(f"the primary is cut off: {TROUBLE}")
    if TROUBLE:
        primary.far, primary.holds_tenants = {"b", "c", "e"}, True
        while not paused.paused_term and time.monotonic() < until[0]:
            await asyncio.sleep(0.002)
        # The entry reaches the primary again; control and the other replica still do not.
        primary.holds_tenants = False
        record.note(f"{paused.name} is paused; the cut ends for the entry")
        while not service.requested.is_set() and time.monotonic() < until[0]:
            await asyncio.sleep(0.002)
        if service.requested.is_set():
            record.note(f"a promotion is ordered; {paused.name} restarts")
            paused.stop()
            await asyncio.sleep(RESTART_S)
            await paused.start()
    while time.monotonic() < until[0] and not service.promotions:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    for at, name, log in service.promotions:
        lost = [each for each, since in acknowledged.items() if since < at and each not in log]
        record.note(f"promoted {name} with {len(log)} commits", at)
        for each in lost:
            record.note(f"LOST {each}: acknowledged {at - acknowledged[each]:.3f} s before the promotion")
        if lost:
            print(f"LOST: {len(lost)} acknowledged commits are not in the log of {name}")
            return 1
    record.note(f"{len(acknowledged)} commits acknowledged, {len(service.promotions)} promotions")
    return 0 if acknowledged else 2


if __name__ == "__main__":
    sys.exit(run_case(HERE, run, control=[("127.0.71.1", "b"), ("127.0.71.2", "c"), ("127.0.71.3", "e")],
                      entries=[("127.0.72.1", "b")],
                      places=[("s-p", "127.0.73.1", "a"), ("s-c", "127.0.73.2", "b"), ("s-d", "127.0.73.3", "d")],
                      regions={each: "r" for each in "abcde"}))
