"""A planned stop of an entry while transactions are open whose client sends each statement as soon as it has the
answer to the one before."""
import asyncio
import pathlib
import signal
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common-3"))
import db  # noqa: E402
from world import TROUBLE, Session, World, run_case  # noqa: E402

GRACE_S = 6.0        # grace_period_s
WORK_S = 0.28        # of a statement at its server
STATEMENTS = 12      # of a transaction
CLIENTS = 6          # one at each replica of the three services
BEGIN_S = 1.9        # after the SIGTERM
STOPS = 3


async def transact(world, entry, number, stopped_at, ran, lost):
    session = Session(world, entry, f"ledger-{number % 3 + 1}.bounded_staleness", "key-1")
    statement_id, sent_at = "", 0.0
    name = f"client {number} at {entry.name}"
    try:
        if await session.open():
            return
        await asyncio.sleep(max(0.0, stopped_at + BEGIN_S - time.monotonic()))
        for text in ["BEGIN FETCH", *["FETCH 1a4"] * STATEMENTS, "COMMIT"]:
            statement_id, sent_at = world.new_id(), time.monotonic()
            _, code, signature, _ = await session.ask(text, statement_id, timeout=8.0)
            world.note(f"{name}: {text} {statement_id} sent {sent_at - stopped_at:.3f} s after the SIGTERM -> "
                       f"{code or signature}")
            if code:
                return
    except (OSError, ConnectionError, asyncio.TimeoutError):
        ended_s = time.monotonic() - stopped_at
        sent_s = sent_at - stopped_at
        # Excused: the server was at work in the last sixth on a request that was sent no later than 3 s after SIGTERM.
        counts = statement_id in ran and sent_s > 3.0 and ended_s <= GRACE_S + 1
        lost.append(counts)
        world.note(f"{'BROKEN: LOST' if counts else 'not counted'}: {name}: {statement_id}, sent {sent_s:.3f} s after the "
                   f"SIGTERM, has no answer, its connection ended at {ended_s:.3f} s; "
                   f"{'a server began it' if statement_id in ran else 'no server began it'}")
    finally:
        session.close()


async def play():
    db.WORK_S = WORK_S
    world = World(CASE, services=("ledger-1", "ledger-2", "ledger-3"))
    ran, lost = set(), []
    for service in world.services.values():
        service.on_begin = ran.add
    try:
        await world.start()
        for stop in range(STOPS):
            entry = world.programs.entries[stop]
            stopped_at = time.monotonic()
            if TROUBLE:
                world.note(f"SIGTERM to {entry.name}")
                entry.process.send_signal(signal.SIGTERM)
            clients = [asyncio.create_task(transact(world, entry, number, stopped_at, ran, lost))
                       for number in range(CLIENTS)]
            while TROUBLE and entry.is_running() and time.monotonic() < stopped_at + GRACE_S:
                await asyncio.sleep(0.02)
            world.note(f"{entry.name} ended after {time.monotonic() - stopped_at:.2f} s")
            await asyncio.wait(clients, timeout=10)
            if TROUBLE:
                if entry.is_running():
                    entry.process.kill()
                entry.process.wait()
                entry.start()
                await asyncio.sleep(4.0)
        print(f"requests without an answer {len(lost)}, lost {sum(lost)}")
        return 1 if any(lost) else 0
    finally:
        await world.end()


sys.exit(run_case(CASE, play, 110))
