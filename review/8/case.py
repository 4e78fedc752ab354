"""A primary fails part of its requests, also SET, while its health check is good."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
from fleet import CannotRun, Fleet, Record  # noqa: E402
from standins import Client, Group, make_config, send_config, serve_platform  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTUP_S = 20
FAILING = 0.4    # `srv_grey`: share (.15) fail x (.4) of their requests
FAILING_S = 6.0
CLIENTS = 6


async def run_operation(client, number, answered):
    """A single read, or a transaction with one write. Returns False if the session ends."""
    if number % 2:
        statement_id, rows, code, signature = await client.query("FETCH bay-7")
        if code is None:
            answered.append((statement_id, "FETCH", rows, signature))
        return True
    if (await client.query("BEGIN"))[2]:
        return True
    statement_id, rows, code, signature = await client.query("STORE bay-7 reserved")
    if code is None:
        answered.append((statement_id, "STORE", rows, signature))
    statement_id, rows, code, signature = await client.query("COMMIT")
    if code is None:
        answered.append((statement_id, "COMMIT", rows, signature))
    return code is None


async def work_always(fleet, number, answered, end):
    """Sessions with values of their own, which each of them sets once."""
    session = 0
    while not end.is_set():
        session += 1
        client = Client(fleet, f"client-{number}.{session}")
        try:
            async with asyncio.timeout(10):
                if not await client.open(session % len(fleet.entries), "kura.primary", "key-1"):
                    await asyncio.sleep(0.2)
                    continue
                for name in ("committee", "user"):
                    if (await client.query(f"SET {name} {number}.{session}"))[2]:
                        raise CannotRun("SET was refused")
                for operation in range(6):
                    if not await run_operation(client, operation, answered):
                        break
                    await asyncio.sleep(0.05)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)
        finally:
            client.close()


async def run(fleet):
    # Three services of three servers, as in Dashi Kura: one failing server is a share of 0.11.
    groups = [Group(fleet, name, first_host=3 * i + 1) for i, name in enumerate(("kura", "kura-2", "kura-3"))]
    group = groups[0]
    platform = await serve_platform(fleet, groups)
    tasks, end, answered = [], asyncio.Event(), []
    for each in groups:
        for server in each.servers:
            await server.start()
            tasks.append(asyncio.create_task(server.beat()))
        tasks.append(asyncio.create_task(each.replicate()))
    for program in fleet.programs:
        program.start(bootstrap=True)
    config = make_config(1, groups, [("tenant-1", "key-1")], [("kura.primary", "primary", "kura")])
    if await send_config(fleet, config, STARTUP_S) is None:
        raise CannotRun("the configuration was not acknowledged")
    clients = [asyncio.create_task(work_always(fleet, i, answered, end)) for i in range(CLIENTS)]
    await asyncio.sleep(4)
    if not answered:
        raise CannotRun("nothing was answered")
    group.primary.failing = FAILING if TROUBLE else 0.0
    await asyncio.sleep(FAILING_S)
    group.primary.failing = 0.0
    await asyncio.sleep(1)
    end.set()
    await asyncio.wait(clients, timeout=10)
    for task in tasks + clients:
        task.cancel()
    platform.close()
    signed = {(each["id"], each["signature"]): each["rows"] for each in group.runs}
    wrong = [each for each in answered if signed.get((each[0], each[3])) != each[2]]
    for statement_id, verb, rows, signature in wrong:
        has_run = any(each["id"] == statement_id for each in group.runs)
        fleet.record.write(f"BROKEN (MIXED): {statement_id} {verb} was answered with success, rows {rows} and signature "
                           f"{signature}, and {'ran' if has_run else 'never ran'}")
    fleet.record.write(f"{len(answered)} statements were answered with success, {len(wrong)} of them wrongly")
    return 1 if wrong else 0


def main():
    record, fleet = Record(FOLDER / "record.txt"), None
    try:
        fleet = Fleet(record, controls=3, entries=2)
        return asyncio.run(run(fleet))
    except Exception as cause:  # exit status 1 is for a broken rule only
        record.write(f"could not run: {cause!r}")
        return 2
    finally:
        if fleet:
            fleet.end()
        record.close()


if __name__ == "__main__":
    sys.exit(main())
