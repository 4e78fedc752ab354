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
WRITERS = 6


async def write_always(fleet, number, sessions, answered, end):
    """Sessions with a value of their own, which each of them sets once."""
    session = 0
    while not end.is_set():
        session += 1
        client = Client(fleet, f"writer-{number}.{session}")
        try:
            async with asyncio.timeout(10):
                if not await client.open(session % len(fleet.entries), "kura.primary", "key-1"):
                    await asyncio.sleep(0.2)
                    continue
                value = f"shrine-{number}.{session}"
                if (await client.query(f"SET committee {value}"))[2]:
                    raise CannotRun("SET was refused")
                sessions[client.name] = {"committee": value}
                for _ in range(6):
                    statement_id, _, code, _ = await client.query("STORE bay-7 reserved")
                    if code is None:
                        answered.append(statement_id)
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
    tasks, end, answered, sessions = [], asyncio.Event(), [], {}
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
    writers = [asyncio.create_task(write_always(fleet, i, sessions, answered, end)) for i in range(WRITERS)]
    await asyncio.sleep(4)
    if not answered:
        raise CannotRun("no write was acknowledged")
    group.primary.failing = FAILING if TROUBLE else 0.0
    await asyncio.sleep(FAILING_S)
    group.primary.failing = 0.0
    await asyncio.sleep(1)
    end.set()
    await asyncio.wait(writers, timeout=10)
    for task in tasks + writers:
        task.cancel()
    platform.close()
    wrong = [each for each in group.runs if each["values"] != sessions[each["id"].rpartition("-")[0]]]
    for each in wrong:
        fleet.record.write(f"BROKEN (PINNED): {each['id']} ran with the values {each['values']}, not "
                           f"{sessions[each['id'].rpartition('-')[0]]}, "
                           f"{'and was acknowledged' if each['id'] in answered else 'and was not acknowledged'}")
    fleet.record.write(f"{len(group.runs)} statements ran, {len(wrong)} of them with other values")
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
