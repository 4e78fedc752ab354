"""A replica is restarted under its instance id. One of its two calls to deregister is held up by a partition and
arrives after the new incarnation has registered. Later the other replica falls behind and the primary is lost."""
import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
from fleet import BOUNDS, CannotRun, Fleet, Record  # noqa: E402
from standins import Client, Group, make_config, send_config, serve_platform  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTUP_S = 20
HELD_UP_S = 3.0    # a partition between a server and control: `srv_cut`, `for_s` 5
DRAIN_S = BOUNDS["drain_period_ms"] / 1000 + 0.3
RESTART_S = 0.5
WRITERS = 4
WATCHED_S = 30     # after the loss of the primary


class Path:
    """The network path from a server to one control node. While it is cut, the bytes of open connections wait in
    it; they arrive after the cut, also if their sender has closed the connection meanwhile."""

    def __init__(self, fleet, host, port, target):
        self.fleet, self.host, self.port, self.target = fleet, host, port, target
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.host, self.port)

    async def carry(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
            await self.is_open.wait()
            writer.write_eof()
        except OSError:
            pass

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.carry(reader, far_writer), self.carry(far_reader, writer))
        far_writer.close()
        writer.close()


async def write_always(fleet, name, acknowledged, end):
    """Writes without a pause, in a new session after each failure."""
    session = 0
    while not end.is_set():
        session += 1
        client = Client(fleet, f"{name}.{session}")
        try:
            async with asyncio.timeout(10):
                if not await client.open(session % len(fleet.entries), "kura.primary", "key-1"):
                    await asyncio.sleep(0.2)
                    continue
                while not end.is_set():
                    statement_id, _, code, _ = await client.query("STORE bay-7 reserved")
                    if code is None:
                        acknowledged.append((time.monotonic(), statement_id))
                    await asyncio.sleep(0.05 if code is None else 0.3)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)
        finally:
            client.close()


async def deregister_during_cut(fleet, server, path):
    """The path is cut as the call is sent on an open connection. A second without a response later the server
    closes the connection, and goes on to the next node."""
    reader, writer = await asyncio.open_connection(path.host, path.port)
    await asyncio.sleep(0.05)
    fleet.record.write(f"the path from {server.name} to {path.target[0]} is cut for {HELD_UP_S} s")
    path.is_open.clear()
    asyncio.get_running_loop().call_later(HELD_UP_S, path.is_open.set)
    writer.write(f"DELETE /instances/{server.name} HTTP/1.1\r\nHost: {path.target[0]}\r\nContent-Length: 0\r\n\r\n"
                 .encode())
    try:
        async with asyncio.timeout(1.0):
            await reader.readuntil(b"\r\n")
            raise CannotRun("the call was answered during the cut")
    except asyncio.TimeoutError:
        fleet.record.write(f"{server.name}: DELETE to {path.target[0]}: no answer")
    writer.close()


async def restart(fleet, server, path):
    """A planned restart under the same instance id, as PROTOCOL.md tells it."""
    server.state = "draining"
    if not await server.report():
        raise CannotRun("draining was not acknowledged")
    await asyncio.sleep(DRAIN_S)
    server.beats = False
    server.target = 0
    if TROUBLE:
        await deregister_during_cut(fleet, server, path)
        server.target = 1
    if not await server.call("DELETE"):
        raise CannotRun("the deregistration was not acknowledged")
    server.crash()
    server.log, server.applied, server.state = [], 0, "ready"
    await asyncio.sleep(RESTART_S)
    await server.start()
    server.target = 1
    if not await server.report():
        raise CannotRun("the new incarnation was not registered")
    server.beats = True


async def run(fleet):
    group = Group(fleet, "kura")
    platform = await serve_platform(fleet, [group])
    primary, restarted, other = group.servers
    tasks, end, acknowledged = [], asyncio.Event(), []
    for index in range(len(fleet.controls)):
        path = Path(fleet, f"{fleet.network}.4.{index + 1}", fleet.port + 5, fleet.control_address(index))
        await path.start()
        restarted.paths.append((path.host, path.port))
        if index == 0:
            first_path = path
    for server in group.servers:
        await server.start()
        tasks.append(asyncio.create_task(server.beat()))
    tasks.append(asyncio.create_task(group.replicate()))
    for program in fleet.programs:
        program.start(bootstrap=True)
    config = make_config(1, [group], [("tenant-1", "key-1")], [("kura.primary", "primary", "kura")])
    if await send_config(fleet, config, STARTUP_S) is None:
        raise CannotRun("the configuration was not acknowledged")
    tasks += [asyncio.create_task(write_always(fleet, f"writer-{i}", acknowledged, end)) for i in range(WRITERS)]
    await asyncio.sleep(4)
    if not acknowledged:
        raise CannotRun("no write was acknowledged")
    await restart(fleet, restarted, first_path)
    await asyncio.sleep(HELD_UP_S + 2.0)
    fleet.record.write(f"{other.name} receives nothing from now on")
    other.receives_nothing = True
    await asyncio.sleep(1.5)
    primary.crash()  # for good
    lost_at = time.monotonic()
    asyncio.get_running_loop().call_later(0.5, setattr, other, "receives_nothing", False)
    while time.monotonic() - lost_at < WATCHED_S and group.primary is primary:
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    end.set()
    for task in tasks:
        task.cancel()
    platform.close()
    if group.primary is primary:
        fleet.record.write("no server was promoted")
        return 0
    confirmed = {statement_id for _, statement_id in acknowledged}
    lost = [entry[2] for entry in group.lost if entry[2] in confirmed]
    fleet.record.write(f"{group.primary.name} was promoted {time.monotonic() - lost_at:.1f} s after the loss of the "
                       f"primary; clients have {len(acknowledged)} acknowledged writes, {len(lost)} of them are lost")
    if lost:
        fleet.record.write(f"BROKEN (LOST): {' '.join(lost)}")
    return 1 if lost else 0


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
