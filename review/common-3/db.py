"""Database servers and the platform's promotion call, as PROTOCOL.md describes them, for the cases of review 3.

Servers speak the wire protocol, replicate to all replicas of their service, acknowledge a commit once one
replica has received it (`sync_replicas` 1), and obey STATUS, PAUSE, RESUME and STEPDOWN."""
import asyncio
import json
import time

SLOTS = 3
WORK_S = 0.005
RECEIVE_S = 0.003        # from the primary to a replica
PROMOTE_S = 0.3
HANDSHAKE_S = 0.012


class Server:
    """One server of a service. `log` holds (term, statement or transaction ids)."""

    def __init__(self, service, name, host, zone):
        self.service, self.name, self.host, self.zone = service, name, host, zone
        self.log, self.term = [], 1
        self.is_primary = False
        self.running = False
        self.state = "ready"
        self.paused_term = 0
        self.deaf_until = 0.0        # until then it receives nothing
        self.cut_from_control = False
        self.control_cut_until = 0.0
        self.slots = asyncio.Semaphore(SLOTS)
        self.listener, self.port, self.writers = None, 0, set()
        self.sequence, self.born = 0, 0
        self.busy = 0

    def position(self):
        return f"{self.log[-1][0]}.{len(self.log)}" if self.log else "1.0"

    def has_position(self, text):
        term, number = (int(part) for part in text.split("."))
        own_term = self.log[-1][0] if self.log else 1
        return (own_term, len(self.log)) >= (term, number)

    def may_receive(self):
        return (self.running and not self.is_primary and not self.paused_term
                and time.monotonic() >= self.deaf_until)

    async def start(self, port):
        self.port = port
        self.running, self.paused_term = True, 0
        self.born, self.sequence = int(time.time() * 1000), 0
        self.listener = await asyncio.start_server(self.serve, self.host, port, limit=4 << 20)

    async def crash(self):
        self.running = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Connection:
    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.tenant, self.values, self.prepared, self.transaction = "", {}, {}, None

    def ready(self):
        state = "I" if self.transaction is None else "E" if self.transaction["failed"] else "T"
        return f"READY {state} {self.server.position()}\r\n"

    async def run(self):
        server = self.server
        words = (await self.reader.readuntil(b"\r\n")).decode()[:-2].split(" ")
        await asyncio.sleep(HANDSHAKE_S)
        expected = words[3] if len(words) > 3 else server.name
        if words[0] != "STARTUP" or words[1] != server.service.name or expected != server.name:
            self.writer.write(f"ERR MISROUTED {server.name}\r\n".encode())
            return
        if len(server.writers) > server.service.max_connections:
            self.writer.write(f"ERR TOOMANY {server.name}\r\n".encode())
            return
        self.tenant = words[2]
        self.writer.write(self.ready().encode())
        while server.running:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            if line.startswith("TERMINATE"):
                return
            _, statement_id, text = line.split(" ", 2)
            rows, signature, code = await self.execute(statement_id, text)
            if not server.running:
                return
            answer = f"ERR {code} {server.name}\r\n" if code else f"COMPLETE {signature}\r\n"
            if code and code != "BUSY" and self.transaction:
                self.transaction["failed"] = True
            lines = rows if isinstance(rows, bytes) else "".join(f"DATAROW {row}\r\n" for row in rows).encode()
            self.writer.write(lines + (answer + self.ready()).encode())
            await self.writer.drain()

    async def execute(self, statement_id, text):
        server = self.server
        minimum = None
        if text.startswith("AFTER "):
            _, minimum, text = text.split(" ", 2)
        verb, _, rest = text.partition(" ")
        if self.transaction and self.transaction["failed"] and verb not in ("ROLLBACK", "COMMIT"):
            return [], "-", "MALFORMED"
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return [], "-", None
        if verb == "DISCARD":
            self.values, self.prepared = {}, {}
            return [], "-", None
        if verb == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
            return [], "-", None
        if verb == "DEALLOCATE":
            return [], "-", None if self.prepared.pop(rest, None) else "NOSTMT"
        if verb == "BEGIN":
            if minimum and not server.has_position(minimum):
                return [], "-", "LAGGING"
            if rest != "FETCH" and not server.is_primary:
                return [], "-", "READONLY"
            self.transaction = {"plain": rest != "FETCH", "writes": [], "failed": False}
            return [], "-", None
        if verb == "ROLLBACK":
            self.transaction = None
            return [], "-", None
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.control(verb, rest)
        return await self.statement(statement_id, verb, rest, minimum)

    def control(self, verb, rest):
        server = self.server
        server.service.note(f"{server.name} got {verb} {rest}".rstrip()) if verb != "STATUS" else None
        if verb == "PAUSE" and not server.is_primary and int(rest) > server.service.term:
            server.paused_term = int(rest)
        if verb == "RESUME":
            server.paused_term = 0
        if verb == "STEPDOWN" and server.is_primary and server.term < int(rest):
            server.is_primary = False
        role = "primary" if server.is_primary else "replica"
        return [f"{role} {server.term} {server.position()} {server.paused_term} 0 {server.busy} "
                f"{len(server.writers)}"], "-", None

    async def statement(self, statement_id, verb, rest, minimum):
        server = self.server
        if verb == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in self.prepared:
                return [], "-", "NOSTMT"
            kind, _ = self.prepared[name]
            verb, rest = kind, arguments
        if minimum and not server.has_position(minimum):
            return [], "-", "LAGGING"
        if verb == "COMMIT":
            transaction, self.transaction = self.transaction, None
            if transaction is None or transaction["failed"]:
                return [], "-", "MALFORMED"
            writes = transaction["writes"]
        else:
            writes = [statement_id] if verb == "STORE" else []
        needs_lead = bool(writes) or bool(self.transaction and self.transaction["plain"])
        if needs_lead and not server.is_primary:
            return [], "-", "READONLY"
        async with server.slots:
            server.service.on_begin(statement_id)
            server.busy += 1
            await asyncio.sleep(WORK_S)
            server.busy -= 1
        signature = f"{server.name}.{statement_id}"
        rows = [] if verb in ("STORE", "COMMIT") else server.service.rows(statement_id, rest)
        server.service.on_run(server, self.tenant, statement_id, verb, rest)
        if verb == "STORE" and self.transaction:
            self.transaction["writes"].append(statement_id)
            return [], signature, None
        if writes and not await server.service.commit(server, writes):
            raise ConnectionError
        return rows, signature, None


class Service:
    """A service: its servers, their replication and the promotion."""

    def __init__(self, name, note, max_connections=21):
        self.name, self.note, self.max_connections = name, note, max_connections
        self.servers, self.term, self.token = [], 1, 0
        self.promotions = []     # (time, server, log of it, what clients had been acknowledged)
        self.on_run = lambda *_: None      # a statement has run
        self.on_begin = lambda _: None     # a server has begun to work on it
        # Rows, or the lines of the whole result as bytes.
        self.rows = lambda statement_id, item: [f"row-of-{statement_id}"]
        self.acknowledged = {}   # id of a write -> time at which its client was acknowledged
        self.committed = {}

    @property
    def primary(self):
        return next((each for each in self.servers if each.is_primary), None)

    def receive_all(self, source):
        for each in self.servers:
            if each is not source and each.may_receive() and len(each.log) < len(source.log):
                each.log, each.term = list(source.log), source.term

    async def commit(self, server, writes):
        """True once a replica has received it; False if the server lost the lead or ended before."""
        server.log.append((server.term, tuple(writes)))
        for each in writes:
            self.committed[each] = self.committed.get(each, 0) + 1
        length, term = len(server.log), server.term
        while server.running and server.is_primary and server.term == term:
            await asyncio.sleep(RECEIVE_S)
            if not (server.running and server.is_primary and server.term == term):
                return False
            self.receive_all(server)
            if any(len(each.log) >= length and each.log[length - 1] == server.log[length - 1]
                   for each in self.servers if each is not server):
                return True
        return False

    async def replicate(self):
        while True:
            await asyncio.sleep(0.02)
            primary = self.primary
            if primary and primary.running:
                self.receive_all(primary)

    async def promote(self, name, token):
        server = next((each for each in self.servers if each.name == name), None)
        if token < self.token or server is None or not server.running:
            return 409
        self.token = token
        if not server.is_primary:
            asyncio.get_running_loop().create_task(self.finish_promotion(server))
        return 200

    async def finish_promotion(self, server):
        await asyncio.sleep(PROMOTE_S)
        if not server.running or server.is_primary:
            return
        held = {each for _, writes in server.log for each in writes}
        lost = sorted(each for each in self.acknowledged if each not in held)
        self.promotions.append((time.monotonic(), server.name, lost))
        self.note(f"{server.name} leads, log {server.position()}, acknowledged commits that it lacks: "
                  f"{len(lost)} {' '.join(lost[:5])}")
        self.term += 1
        for each in self.servers:
            each.is_primary = False
            each.log = each.log[:len(server.log)] if each.running else each.log
            each.paused_term = 0
            if each.running:
                each.term = self.term
        server.is_primary, server.term = True, self.term


async def serve_platform(services, host, port, note):
    async def handle(reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            body = json.loads(await reader.readexactly(int(fields.get("content-length", "0"))))
            token = int(fields["x-primrosehead-fencing-token"])
            status = await services[body["service"]].promote(body["instance_id"], token)
            note(f"platform: POST /failover {body['service']} {body['instance_id']} token {token} "
                 f"of {fields.get('x-primrosehead-lease-holder')} -> {status}")
            writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, KeyError, ValueError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(handle, host, port)
