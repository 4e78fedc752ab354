"""A client's item data contains a line feed. Does a server run a statement that no client sent?"""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from cluster import Client, ClientClosed, Cluster, Record, document, publish, wait_until_served  # noqa: E402
from standins import Service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REGIONS = {"a": "r", "b": "r", "c": "r"}


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
    body = document(1, service.name, {"ledger": "primary"}, {"one": ["key-one"]})
    if not await publish(cluster, body):
        return 2
    entry = cluster.entries[0]
    if not await wait_until_served(cluster, entry, "ledger", "key-one"):
        return 2
    sent = {}
    # The data of the items are two lines of a note. The second one reads like a statement.
    notes = ["first line", "first line second line"]
    if TROUBLE:
        notes = ["first line\nsecond line", "first line\nQUERY other STORE bay-7 taken"]
    for note in notes:
        client = Client(record, "c")
        await client.open(entry.host, cluster.port, "ledger", "key-one")
        try:
            identifier = f"id{len(sent)}"
            sent[identifier] = f"STORE note-{len(sent)} {note}"
            await client.send(sent[identifier], identifier=identifier)
        except ClientClosed:
            pass
        await asyncio.sleep(0.5)
        client.close()
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    if cluster.ended():
        return 2
    broken = []
    for at, server, who, identifier, text, _ in service.ran:
        if identifier == "-" or identifier.startswith("probe"):
            continue
        record.note(f"run at {server} for {who}: {identifier} {text!r}", at)
        if identifier not in sent:
            broken.append(f"UNASKED: {server} ran {text!r} with the id {identifier}, which no client sent")
        elif text != sent[identifier]:
            broken.append(f"UNASKED: {server} ran {text!r} in place of {sent[identifier]!r}")
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
