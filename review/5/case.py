"""A key moves to another tenant while its client is in a transaction. Whose transaction goes on?"""
import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from cluster import BOUNDS, Client, ClientClosed, document, publish, run_case, start_all  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUND_S = max(BOUNDS["config_apply_ms"], BOUNDS["revoke_timeout_ms"]) / 1000
PAUSE_S = 1.5  # between the statements of the transaction, below tx_idle_ms


async def run(cluster, record):
    databases = {"ledger": "primary"}
    body = document(1, "ledger-1", databases, {"one": ["key-one", "key-old"], "two": ["key-two"]})
    started = await start_all(cluster, body, "key-one", "ledger")
    if not started:
        return 2
    service, tasks = started
    entry = cluster.entries[0]
    await asyncio.sleep(4.0)
    client, sent_at = Client(record, "c"), {}
    await client.open(entry.host, cluster.port, "ledger", "key-one")
    await client.send("BEGIN")
    identifier, code, _ = await client.send("STORE bay-1 data")
    if code != "":
        return 2
    # The new version changes only which tenant holds the key.
    keys = {"one": ["key-old"], "two": ["key-two", "key-one"]} if TROUBLE else \
        {"one": ["key-one", "key-old"], "two": ["key-two"]}
    if not await publish(cluster, document(2, service.name, databases, keys)):
        return 2
    acknowledged_at = time.monotonic()
    record.note("version 2 is acknowledged", acknowledged_at)
    try:
        for number in range(2, 9):
            await asyncio.sleep(PAUSE_S)
            now = time.monotonic()
            identifier, code, state = await client.send(f"STORE bay-{number} data")
            sent_at[identifier] = now
            if state != "T":
                break
        now = time.monotonic()
        identifier, code, _ = await client.send("COMMIT")
        sent_at[identifier] = now
    except ClientClosed:
        pass
    client.close()
    for task in tasks:
        task.cancel()
    holder = "two" if TROUBLE else "one"
    broken = []
    for at, server, who, identifier, text, _ in service.ran:
        if identifier in sent_at:
            late_s = sent_at[identifier] - acknowledged_at
            if who != holder and late_s > BOUND_S:
                broken.append(f"UNASKED: {server} ran {text!r} for tenant {who}, sent {late_s:.1f} s after it "
                              f"was acknowledged that tenant {holder} holds the key")
    for each in broken:
        record.note(each)
        print(each)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(HERE, run))
