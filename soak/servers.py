"""Stand-ins of the users' platform for the soak: database servers that speak the line protocol, and the
call that promotes one. They know the truth, and check each statement against it as it runs."""
import asyncio
import json
import time

SLOTS = 3
WORK_SECONDS = 0.004
REPLICA_SECONDS = 0.02
PROMOTE_SECONDS = 0.3


class Truth:
    """What was sent, acknowledged and committed, and every promise that was broken."""

    def __init__(self):
        self.broken = []
        self.sent = {}          # id -> (key's tenant, group, text by name)
        self.committed = {}     # attempt -> times its writes took effect
        self.signatures = {}    # id -> signature given by a server
        self.config = {}        # newest acknowledged document
        self.revoked = {}       # key -> time of the acknowledgement that took it away
        self.arrivals = {}      # tenant -> times of operations that ran
        self.revocation_s = 5.0

    def breach(self, rule, what):
        self.broken.append(f"{rule}: {what}")


class Server:
    """One database server of a group."""

    def __init__(self, group, name, host):
        self.group, self.name, self.host = group, name, host
        self.log = []                # (term, attempt, acknowledged at)
        self.term = 1
        self.held = 0                # term of a pause
        self.alive = True
        self.silent_until = 0.0      # of existing and new connections
        self.deaf_until = 0.0        # receives nothing
        self.slots = asyncio.Semaphore(SLOTS)
        self.connections = set()
        self.listener = None
        self.sequence = 0
        self.born = int(time.time() * 1000)

    @property
    def leads(self):
        return self.group.primary is self

    def position(self):
        return f"{self.log[-1][0]}.{len(self.log)}" if self.log else "1.0"

    def holds(self, position):
        term, number = (int(part) for part in position.split("."))
        return number == 0 or (len(self.log) >= number and self.log[number - 1][0] == term)

    async def start(self, port):
        self.port = port
        self.alive = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.listener = await asyncio.start_server(self.serve, self.host, port)

    async def crash(self):
        """The process is gone; its log stays."""
        self.alive = False
        self.held = 0
        if self.listener:
            self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def reset_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Connection:
    """A server's connection: its tenant, values, prepared statements and transaction."""

    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.tenant, self.values, self.prepared = "", {}, {}
        self.transaction = None      # {"kind", "writes", "attempt"}
        self.began_at = 0.0

    async def run(self):
        line = (await self.reader.readuntil(b"\r\n")).decode().strip().split(" ")
        await self.stall()
        if line[0] != "STARTUP" or line[1] != self.server.group.name or line[3] != self.server.name:
            self.writer.write(b"ERR MISROUTED -\r\n")
            return
        if len(self.server.connections) > self.server.group.limit:
            self.writer.write(b"ERR TOOMANY -\r\n")
            return
        self.tenant = line[2]
        self.writer.write(f"READY I {self.server.position()}\r\n".encode())
        while self.server.alive:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            await self.stall()
            if line.startswith("TERMINATE"):
                return
            _, statement_id, text = line.split(" ", 2)
            rows, signature, code = await self.execute(statement_id, text)
            await self.stall()
            if not self.server.alive:
                return
            self.answer(rows, signature, code)
            await self.writer.drain()

    async def stall(self):
        while time.monotonic() < self.server.silent_until and self.server.alive:
            await asyncio.sleep(0.02)

    def answer(self, rows, signature, code):
        out = "".join(f"DATAROW {row}\r\n" for row in rows)
        out += f"ERR {code} {self.server.name}\r\n" if code else f"COMPLETE {signature}\r\n"
        if code and self.transaction:
            self.transaction["failed"] = True
        state = "I" if not self.transaction else "E" if self.transaction.get("failed") else "T"
        self.writer.write((out + f"READY {state} {self.server.position()}\r\n").encode())

    async def execute(self, statement_id, text):
        """Returns rows, signature, and an error code or nothing."""
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        verb, _, rest = text.partition(" ")
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
        if verb == "BEGIN":
            if after and not self.server.holds(after):
                return [], "-", "LAGGING"
            if rest != "FETCH" and not self.server.leads:
                return [], "-", "READONLY"
            self.transaction = {"kind": rest, "writes": [], "ids": 0}
            self.began_at = time.monotonic()
            return [], "-", None
        if verb == "ROLLBACK":
            self.transaction = None
            return [], "-", None
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.order(verb, rest)
        return await self.run_statement(statement_id, verb, rest, after)

    def order(self, verb, rest):
        server = self.server
        if verb == "PAUSE" and not server.leads and int(rest) > server.term:
            server.held = int(rest)
        if verb == "RESUME":
            server.held = 0
        role = "primary" if server.leads else "replica"
        return [f"{role} {server.term} {server.position()} {server.held} 0 0 "
                f"{len(server.connections)}"], "-", None

    def check(self, statement_id, verb, rest):
        """Checks that a client sent this, under this tenant, in this session state."""
        truth = self.server.group.truth
        known = truth.sent.get(statement_id)
        if known is None:
            truth.breach("UNASKED", f"{statement_id} {verb} {rest}")
            return None
        if known["tenant"] != self.tenant:
            truth.breach("UNASKED", f"{statement_id} runs for {self.tenant}, not {known['tenant']}")
        if known["group"] != self.server.group.name:
            truth.breach("ROUTE", f"{statement_id} runs at {self.server.group.name}")
        if known["values"] != self.values:
            truth.breach("PINNED", f"{statement_id}: values {self.values}, not {known['values']}")
        taken = truth.revoked.get(known["key"])
        if taken and known["at"] > taken + truth.revocation_s:
            truth.breach("CONFIG", f"{statement_id} runs {known['at'] - taken:.1f} s after its key")
        if verb == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            kind, shape = self.prepared.get(name, (None, None))
            if kind is None:
                return "NOSTMT"
            if (kind, shape, arguments) != known["run"]:
                truth.breach("PINNED", f"{statement_id} runs {kind} {shape} {arguments}")
        elif (verb, rest) != known["run"]:
            truth.breach("UNASKED", f"{statement_id}: {verb} {rest}, not {known['run']}")
        return known

    def check_fresh(self, known, began):
        """A read must see what was acknowledged before it, as its route promises."""
        group = self.server.group
        bound = known["began"] - known["staleness"]
        for index, (term, attempt, acknowledged) in enumerate(group.acknowledged):
            own = known["own"] and attempt.split("/")[0] == known["session"]
            limit = known["began"] if own or known["staleness"] == 0 else bound
            if acknowledged < limit and not any(entry[1] == attempt for entry in self.server.log):
                group.truth.breach("STALE", f"read at {self.server.name} lacks {attempt} ({index})")
                return

    async def run_statement(self, statement_id, verb, rest, after):
        server, group = self.server, self.server.group
        known = self.check(statement_id, verb, rest) if statement_id != "-" else None
        if known == "NOSTMT":
            return [], "-", "NOSTMT"
        writes = verb == "STORE" or (verb == "EXECUTE" and known and known["run"][0] == "STORE")
        commit = verb == "COMMIT"
        plain = self.transaction is not None and self.transaction["kind"] != "FETCH"
        if self.transaction and self.transaction.get("failed"):
            return [], "-", "MALFORMED"
        if after and not server.holds(after):
            return [], "-", "LAGGING"
        if (writes or (plain and not commit)) and not server.leads:
            return [], "-", "READONLY"
        if commit and self.transaction and self.transaction["writes"] and not server.leads:
            self.transaction = None
            return [], "-", "READONLY"
        async with server.slots:
            await asyncio.sleep(WORK_SECONDS)
        if not server.alive:
            raise ConnectionError
        if known and not writes and not commit:
            self.check_fresh(known, self.began_at)
        signature = f"{server.name}.{statement_id}"
        group.truth.signatures[statement_id] = signature
        if writes and self.transaction:
            self.transaction["writes"].append(known["attempt"])
            return [], signature, None
        attempts = [known["attempt"]] if writes else []
        if commit:
            attempts = self.transaction["writes"] if self.transaction else []
            self.transaction = None
        if attempts and not await group.commit(server, attempts[0]):
            raise ConnectionError
        return ([] if writes or commit else ["row"]), signature, None


class Group:
    """A database group: its servers, replication, and who leads."""

    def __init__(self, truth, name, hosts, limit=21):
        self.truth, self.name, self.limit = truth, name, limit
        self.servers = [Server(self, f"{name}-{i}", host) for i, host in enumerate(hosts)]
        self.primary = self.servers[0]
        self.term = 1
        self.number = 0              # highest decision number seen
        self.acknowledged = []       # (term, attempt, time)

    def receives(self, server):
        return (server.alive and not server.held and server is not self.primary
                and time.monotonic() > max(server.deaf_until, server.silent_until))

    async def commit(self, server, attempt):
        """Appends, waits until a replica received it, and acknowledges. False: never acknowledged."""
        server.log.append((self.term, attempt, 0))
        self.truth.committed[attempt] = self.truth.committed.get(attempt, 0) + 1
        if self.truth.committed[attempt] > 1:
            self.truth.breach("TWICE", attempt)
        length, term = len(server.log), self.term
        while server.alive and server.leads and self.term == term:
            await asyncio.sleep(0.002)
            for replica in self.servers:
                if self.receives(replica) and len(replica.log) < len(server.log):
                    replica.log = list(server.log)
            if any(len(each.log) >= length for each in self.servers if each is not server):
                if server.leads and self.term == term and server.alive:
                    self.acknowledged.append((term, attempt, time.monotonic()))
                    return True
        return False

    async def replicate(self):
        while True:
            await asyncio.sleep(REPLICA_SECONDS)
            for replica in self.servers:
                if self.receives(replica) and self.primary.alive:
                    replica.log = list(self.primary.log)

    async def promote(self, name, number):
        """The platform's call: 200, or 409 for a lower number or a server that is down."""
        server = next((each for each in self.servers if each.name == name), None)
        if number < self.number or server is None or not server.alive:
            return 409
        self.number = number
        if server is not self.primary:
            asyncio.get_running_loop().create_task(self.take_over(server))
        return 200

    async def take_over(self, server):
        await asyncio.sleep(PROMOTE_SECONDS)
        if not server.alive or server is self.primary:
            return
        held = {attempt for _, attempt, _ in server.log}
        for _, attempt, _ in self.acknowledged:
            if attempt not in held:
                self.truth.breach("LOST", f"{attempt} is not at {server.name}, which is promoted")
        for each in self.servers:
            for _, attempt, _ in each.log[len(server.log):]:
                if attempt not in held:
                    self.truth.committed.pop(attempt, None)
            each.log = each.log[:len(server.log)]
            each.held = 0
        self.primary = server
        self.term += 1
        for each in self.servers:
            each.term = self.term


async def http_call(host, port, method, path, body, timeout=1.0):
    """One HTTP call; the status and body, or none without a clear answer."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            text = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode() + text)
            answer = await reader.read()
            writer.close()
            head, _, rest = answer.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), rest
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


async def serve_platform(groups, host, port):
    """POST /failover."""
    async def handle(reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            body = json.loads(await reader.readexactly(int(fields.get("content-length", "0"))))
            number = int(fields["x-primrosehead-fencing-token"])
            status = await groups[body["service"]].promote(body["instance_id"], number)
            writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n".encode())
        except (asyncio.IncompleteReadError, ConnectionError, KeyError, ValueError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(handle, host, port)
