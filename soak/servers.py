"""Simulated user platform for the soak: database servers that speak the line protocol, and the failover
endpoint that promotes one. The servers check each statement that they run against a shared oracle."""
import asyncio
import json
import random
import time

SLOTS_PER_SERVER = 3
SERVICE_SECONDS = 0.004
REPLICATION_INTERVAL_SECONDS = 0.02
PROMOTION_SECONDS = 0.3
ANSWER_FAULT_SHARE = 0.15    # of a server's answers, while they are faulty
LATE_ANSWER_SECONDS = (0.2, 1.7)


class Oracle:
    """Test oracle: what clients sent, what was acknowledged and committed, and the violations found."""

    def __init__(self):
        self.violations = []
        self.sent = {}          # statement id -> expected tenant, group, session values and operation
        self.committed = {}     # attempt -> number of times its writes took effect
        self.answers = {}       # statement id -> rows by the signature of each run
        self.tenants = set()    # names of all tenants
        self.config = {}        # latest acknowledged document
        self.revoked = {}       # key -> time at which its revocation was acknowledged
        self.arrivals = {}      # tenant -> times of operations that ran
        self.revocation_s = 5.0
        self.spoiled = 0        # answers that were lost, cut off or late
        self.evacuated = {}     # failure domain -> time from which no operation may reach its servers

    def report_violation(self, rule, message):
        self.violations.append(f"{rule}: {message}")


class Server:
    """One database server of a group."""

    def __init__(self, group, name, host):
        self.group, self.name, self.host = group, name, host
        self.log = []                # (term, attempt, unused)
        self.term = 1
        self.paused_term = 0         # term of the PAUSE in force; 0: not paused
        self.alive = True
        self.unresponsive_until = 0.0            # until then no connection gets a reply
        self.replication_blocked_until = 0.0     # until then no log entry is received
        self.answers_faulty_until = 0.0          # until then some answers fail as `answer_fault` says
        self.answer_fault = "lost"
        self.leaving = False
        self.slots = asyncio.Semaphore(SLOTS_PER_SERVER)
        self.connections = set()
        self.listener = None
        self.sequence = 0
        self.started_at_ms = int(time.time() * 1000)

    @property
    def failure_domain(self):
        return f"d{self.group.servers.index(self)}"

    @property
    def is_primary(self):
        return self.group.primary is self

    def position(self):
        return f"{self.log[-1][0]}.{len(self.log)}" if self.log else "1.0"

    def has_position(self, position):
        term, length = (int(part) for part in position.split("."))
        return length == 0 or (len(self.log) >= length and self.log[length - 1][0] == term)

    async def start(self, port):
        self.port = port
        self.alive = True
        self.started_at_ms = int(time.time() * 1000)
        self.sequence = 0
        self.listener = await asyncio.start_server(self.serve, self.host, port)

    async def crash(self):
        """Simulates a process crash: connections are aborted, the log survives."""
        self.alive = False
        self.paused_term = 0
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
    """One connection to a server: its tenant, session values, prepared statements and transaction."""

    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.tenant, self.values, self.prepared = "", {}, {}
        self.transaction = None      # {"kind", "writes", "attempt"}
        self.began_at = 0.0

    async def run(self):
        line = (await self.reader.readuntil(b"\r\n")).decode().strip().split(" ")
        await self.wait_while_unresponsive()
        if line[0] != "STARTUP" or line[1] != self.server.group.name or line[3] != self.server.name:
            self.writer.write(b"ERR MISROUTED -\r\n")
            return
        if len(self.server.connections) > self.server.group.connection_limit:
            self.writer.write(b"ERR TOOMANY -\r\n")
            return
        self.tenant = line[2]
        self.writer.write(f"READY I {self.server.position()}\r\n".encode())
        while self.server.alive:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            self.check_evacuation(line)
            await self.wait_while_unresponsive()
            if line.startswith("TERMINATE"):
                return
            _, statement_id, text = line.split(" ", 2)
            rows, signature, code = await self.execute(statement_id, text)
            await self.wait_while_unresponsive()
            if not self.server.alive:
                return
            reply = self.make_reply(rows, signature, code)
            is_last = False
            if time.monotonic() < self.server.answers_faulty_until and random.random() < ANSWER_FAULT_SHARE:
                reply, is_last = await self.spoil(reply)
            self.writer.write(reply)
            await self.writer.drain()
            if is_last:
                return

    async def spoil(self, reply):
        """Returns what is sent of the reply, and whether the connection is closed behind it."""
        fault = self.server.answer_fault
        self.server.group.oracle.spoiled += 1
        if fault == "late":
            await asyncio.sleep(random.uniform(*LATE_ANSWER_SECONDS))
            return reply, False
        if fault == "lost":
            return b"", False
        return reply[:random.randrange(len(reply))], fault == "cut"  # "gap": the next one follows

    def check_evacuation(self, line):
        """Control's own checks, which a promotion needs, are under another tenant's name."""
        oracle = self.server.group.oracle
        until = oracle.evacuated.get(self.server.failure_domain)
        is_operation = self.tenant in oracle.tenants and not line.startswith("TERMINATE")
        if is_operation and until is not None and time.monotonic() > until:
            late = time.monotonic() - until
            oracle.report_violation("EVACUATION", f"{self.server.name} got {line!r} {late:.3f} s late")

    async def wait_while_unresponsive(self):
        while time.monotonic() < self.server.unresponsive_until and self.server.alive:
            await asyncio.sleep(0.02)

    def make_reply(self, rows, signature, code):
        out = "".join(f"DATAROW {row}\r\n" for row in rows)
        out += f"ERR {code} {self.server.name}\r\n" if code else f"COMPLETE {signature}\r\n"
        if code and self.transaction:
            self.transaction["failed"] = True
        state = "I" if not self.transaction else "E" if self.transaction.get("failed") else "T"
        return (out + f"READY {state} {self.server.position()}\r\n").encode()

    async def execute(self, statement_id, text):
        """Returns the rows, the signature, and an error code or None."""
        minimum_position = None
        if text.startswith("AFTER "):
            _, minimum_position, text = text.split(" ", 2)
        verb, _, arguments = text.partition(" ")
        if verb == "SET":
            name, _, value = arguments.partition(" ")
            self.values[name] = value
            return [], "-", None
        if verb == "DISCARD":
            self.values, self.prepared = {}, {}
            return [], "-", None
        if verb == "PREPARE":
            name, kind, shape = arguments.split(" ", 2)
            self.prepared[name] = (kind, shape)
            return [], "-", None
        if verb == "BEGIN":
            if minimum_position and not self.server.has_position(minimum_position):
                return [], "-", "LAGGING"
            if arguments != "FETCH" and not self.server.is_primary:
                return [], "-", "READONLY"
            self.transaction = {"kind": arguments, "writes": [], "ids": 0}
            self.began_at = time.monotonic()
            return [], "-", None
        if verb == "ROLLBACK":
            self.transaction = None
            return [], "-", None
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.execute_control(verb, arguments)
        return await self.run_statement(statement_id, verb, arguments, minimum_position)

    def execute_control(self, verb, arguments):
        server = self.server
        if verb == "PAUSE" and not server.is_primary and int(arguments) > server.term:
            server.paused_term = int(arguments)
        if verb == "RESUME":
            server.paused_term = 0
        role = "primary" if server.is_primary else "replica"
        return [f"{role} {server.term} {server.position()} {server.paused_term} 0 0 "
                f"{len(server.connections)}"], "-", None

    def check_statement(self, statement_id, verb, arguments):
        """Checks that a client sent this statement, for this tenant and with these session values.

        Returns the oracle's entry, None for an unknown statement, or "NOSTMT" if it is not prepared here.
        """
        oracle = self.server.group.oracle
        expected = oracle.sent.get(statement_id)
        if expected is None:
            oracle.report_violation("UNASKED", f"{statement_id} {verb} {arguments}")
            return None
        if expected["tenant"] != self.tenant:
            oracle.report_violation("UNASKED", f"{statement_id} runs for {self.tenant}, not "
                                               f"{expected['tenant']}")
        if expected["group"] != self.server.group.name:
            oracle.report_violation("ROUTE", f"{statement_id} runs at {self.server.group.name}")
        if expected["values"] != self.values:
            oracle.report_violation("PINNED", f"{statement_id}: values {self.values}, not "
                                              f"{expected['values']}")
        revoked_at = oracle.revoked.get(expected["key"])
        if revoked_at and expected["sent_at"] > revoked_at + oracle.revocation_s:
            oracle.report_violation("CONFIG", f"{statement_id} runs {expected['sent_at'] - revoked_at:.1f} s "
                                              "after its key was revoked")
        if verb == "EXECUTE":
            name, _, parameters = arguments.partition(" ")
            kind, shape = self.prepared.get(name, (None, None))
            if kind is None:
                return "NOSTMT"
            if (kind, shape, parameters) != expected["operation"]:
                oracle.report_violation("PINNED", f"{statement_id} runs {kind} {shape} {parameters}")
        elif (verb, arguments) != expected["operation"]:
            oracle.report_violation("UNASKED", f"{statement_id}: {verb} {arguments}, not "
                                               f"{expected['operation']}")
        return expected

    def check_staleness(self, expected, began):
        """Checks that a read sees every commit that its route's staleness bound covers."""
        group = self.server.group
        cutoff = expected["began_at"] - expected["staleness"]
        for index, (term, attempt, acknowledged) in enumerate(group.acknowledged):
            is_own = expected["read_your_writes"] and attempt.split("/")[0] == expected["session"]
            limit = expected["began_at"] if is_own or expected["staleness"] == 0 else cutoff
            if acknowledged < limit and not any(entry[1] == attempt for entry in self.server.log):
                group.oracle.report_violation(
                    "STALE", f"read at {self.server.name} misses {attempt} (commit {index})")
                return

    async def run_statement(self, statement_id, verb, arguments, minimum_position):
        server, group = self.server, self.server.group
        expected = self.check_statement(statement_id, verb, arguments) if statement_id != "-" else None
        if expected == "NOSTMT":
            return [], "-", "NOSTMT"
        writes = verb == "STORE" or (verb == "EXECUTE" and expected and expected["operation"][0] == "STORE")
        commit = verb == "COMMIT"
        is_read_write = self.transaction is not None and self.transaction["kind"] != "FETCH"
        if self.transaction and self.transaction.get("failed"):
            return [], "-", "MALFORMED"
        if minimum_position and not server.has_position(minimum_position):
            return [], "-", "LAGGING"
        if (writes or (is_read_write and not commit)) and not server.is_primary:
            return [], "-", "READONLY"
        if commit and self.transaction and self.transaction["writes"] and not server.is_primary:
            self.transaction = None
            return [], "-", "READONLY"
        async with server.slots:
            await asyncio.sleep(SERVICE_SECONDS)
        if not server.alive:
            raise ConnectionError
        if expected and not writes and not commit:
            self.check_staleness(expected, self.began_at)
        signature = f"{server.name}.{statement_id}"
        rows = [] if writes or commit else [f"row of {statement_id}"]
        group.oracle.answers.setdefault(statement_id, {})[signature] = rows
        if writes and self.transaction:
            self.transaction["writes"].append(expected["attempt"])
            return [], signature, None
        attempts = [expected["attempt"]] if writes else []
        if commit:
            attempts = self.transaction["writes"] if self.transaction else []
            self.transaction = None
        if attempts and not await group.commit(server, attempts[0]):
            raise ConnectionError
        return rows, signature, None


class Group:
    """A database group: its servers, their replication and the current primary."""

    def __init__(self, oracle, name, hosts, connection_limit=21):
        self.oracle, self.name, self.connection_limit = oracle, name, connection_limit
        self.servers = [Server(self, f"{name}-{i}", host) for i, host in enumerate(hosts)]
        self.primary = self.servers[0]
        self.term = 1
        self.fencing_token = 0       # highest fencing token accepted
        self.acknowledged = []       # (term, attempt, time)

    def can_replicate_to(self, server):
        return (server.alive and not server.paused_term and server is not self.primary
                and time.monotonic() > max(server.replication_blocked_until, server.unresponsive_until))

    async def commit(self, server, attempt):
        """Appends to the log and acknowledges once a replica has received the entry.

        Returns False if the server stops being the primary first: the entry is then never acknowledged.
        """
        server.log.append((self.term, attempt, 0))
        self.oracle.committed[attempt] = self.oracle.committed.get(attempt, 0) + 1
        if self.oracle.committed[attempt] > 1:
            self.oracle.report_violation("TWICE", attempt)
        length, term = len(server.log), self.term
        while server.alive and server.is_primary and self.term == term:
            await asyncio.sleep(0.002)
            for replica in self.servers:
                if self.can_replicate_to(replica) and len(replica.log) < len(server.log):
                    replica.log = list(server.log)
            if any(len(each.log) >= length for each in self.servers if each is not server):
                if server.is_primary and self.term == term and server.alive:
                    self.acknowledged.append((term, attempt, time.monotonic()))
                    return True
        return False

    async def replicate(self):
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_SECONDS)
            for replica in self.servers:
                if self.can_replicate_to(replica) and self.primary.alive:
                    replica.log = list(self.primary.log)

    async def promote(self, name, fencing_token):
        """Handles a failover request. Returns 200, or 409 for a lower token or a server that is down."""
        server = next((each for each in self.servers if each.name == name), None)
        if fencing_token < self.fencing_token or server is None or not server.alive:
            return 409
        self.fencing_token = fencing_token
        if server is not self.primary:
            asyncio.get_running_loop().create_task(self.complete_promotion(server))
        return 200

    async def complete_promotion(self, server):
        await asyncio.sleep(PROMOTION_SECONDS)
        if not server.alive or server is self.primary:
            return
        retained = {attempt for _, attempt, _ in server.log}
        for _, attempt, _ in self.acknowledged:
            if attempt not in retained:
                self.oracle.report_violation("LOST", f"{attempt} is missing on the promoted {server.name}")
        for each in self.servers:
            for _, attempt, _ in each.log[len(server.log):]:
                if attempt not in retained:
                    self.oracle.committed.pop(attempt, None)
            each.log = each.log[:len(server.log)]
            each.paused_term = 0
        self.primary = server
        self.term += 1
        for each in self.servers:
            each.term = self.term


async def http_call(host, port, method, path, body, timeout=1.0):
    """Sends one HTTP request. Returns status and body, or None on a timeout or malformed response."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            text = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode() + text)
            answer = await reader.read()
            writer.close()
            head, _, content = answer.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), content
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


async def serve_platform(groups, host, port):
    """Starts the HTTP server that handles the platform's POST /failover."""
    async def handle(reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            body = json.loads(await reader.readexactly(int(fields.get("content-length", "0"))))
            fencing_token = int(fields["x-primrosehead-fencing-token"])
            status = await groups[body["service"]].promote(body["instance_id"], fencing_token)
            writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n".encode())
        except (asyncio.IncompleteReadError, ConnectionError, KeyError, ValueError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(handle, host, port)
