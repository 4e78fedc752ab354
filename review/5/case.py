"""A key moves to another tenant while its client is in a transaction. Whose transaction goes on?"""
import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from cluster import BOUNDS, Client, ClientClosed, Cluster, Record, document, publish, wait_until_served  # noqa: E402
from standins import Service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REGIONS = {"a": "r", "b": "r", "c": "r"}
BOUND_S = max(BOUNDS["config_apply_ms"], BOUNDS["revoke_timeout_ms"]) / 1000
PAUSE_S = 1.5  # between the statements of the transaction, below tx_idle_ms


async def run(cluster, record):
    service = Service("ledger-1", cluster.port, [("s-a", "127.0.73.1", "a"), ("s-b", "127.0.73.2", "b"),
                                                 ("s-c", "127.0.73.3", "c")], set(REGIONS))
    tasks = [asyncio.create_task(service.keep_replicating())]
    for server in service.servers:
        await server.start()
        tasks.append(asyncio.create_task(
            service.announce(server, cluster.control_hosts, cluster.port + 1)))
    await service.serve_platform(cluster.platform_host, cluster.port + 1)
    cluster.start()
    databases = {"ledger": "primary"}
    if not await publish(cluster, document(1, service.name, databases,
                                           {"one": ["key-one", "key-old"], "two": ["key-two"]})):
        return 2
    entry = cluster.entries[0]
    if not await wait_until_served(cluster, entry, "ledger", "key-one"):
        return 2
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
    if cluster.ended():
        return 2
    holder = "two" if TROUBLE else "one"
    broken = []
    for at, server, who, identifier, text, _ in service.ran:
        if identifier in sent_at:
            late_s = sent_at[identifier] - acknowledged_at
            record.note(f"run at {server} for {who}: {identifier} {text!r}, sent {late_s:.1f} s after the "
                        "acknowledgement", at)
            if who != holder and late_s > BOUND_S:
                broken.append(f"UNASKED: {server} ran {text!r} for tenant {who}, sent {late_s:.1f} s after it "
                              f"was acknowledged that tenant {holder} holds the key")
    for each in broken:
        record.note(each)
        print(each)
    return 1 if broken else 0


def main():
    cluster = Cluster([("127.0.71.1", "a"), ("127.0.71.2", "b"), ("127.0.71.3", "c")],
                      [("127.0.72.1", "a")], REGIONS, ["127.0.73.1", "127.0.73.2", "127.0.73.3"])
    record = Record(HERE / "record.txt")
    try:
        return asyncio.run(run(cluster, record))
    except Exception as failure:  # noqa: BLE001 - the case couldn't run
        record.note(f"failed: {failure!r}")
        print(repr(failure))
        return 2
    finally:
        cluster.stop()
        record.close()


if __name__ == "__main__":
    sys.exit(main())
