"""Stand-ins of the database servers, of the platform's promotion call, of the operator and of clients, as
PROTOCOL.md describes them. They judge nothing: they record what they receive, run and answer."""
import asyncio
import json
import random
import time

from fleet import HEARTBEAT_MS, ZONES, http_call

HANDSHAKE_S = 0.012  # a new connection occupies a slot for this time
REPLICATION_S = 0.001
PROMOTE_S = 0.3


class Transaction:
    def __init__(self, is_read_only):
        self.is_read_only, self.writes, self.has_failed = is_read_only, [], False


class Server:
    """A database server. Its log holds (term, number, attempt); a replica applies later than it receives."""

    def __init__(self, group, index, slots=3, work_s=0.008, lag_s=0.02):
        self.group, self.index = group, index
        self.name = f"i-{group.name}-{index}"
        self.host, self.port = f"{group.fleet.network}.3.{group.first_host + index}", group.fleet.port
        self.zone = ZONES[index % len(ZONES)]
        self.work_s, self.lag_s = work_s, lag_s
        self.log, self.applied, self.held_term = [], 0, 0
        self.is_alive, self.state, self.sequence, self.born = False, "ready", 0, 0
        self.slot_count, self.slots = slots, asyncio.Semaphore(slots)
        self.writers, self.listener = set(), None
        self.target, self.paths, self.beats = random.randrange(3), [], True
        self.receives_nothing = False
        self.failing = 0.0       # share of the requests that fail
        self.lost_answers = 0.0  # share of the answers to reads, writes and commits that are lost

    @property
    def is_primary(self):
        return self.group.primary is self

    def position(self, count):
        term, number = self.log[count - 1][:2] if count else (1, 0)
        return f"{term}.{number}"

    def has(self, position):
        term, number = (int(part) for part in position.split("."))
        return number == 0 or any(entry[:2] == (term, number) for entry in self.log[:self.applied]) or (
            self.applied > 0 and self.log[self.applied - 1][0] > term)

    async def start(self):
        self.is_alive, self.sequence, self.born = True, 0, int(time.time() * 1000)
        self.listener = await asyncio.start_server(self.serve, self.host, self.port)
        self.group.record(f"{self.name} starts at {self.host}:{self.port}")

    def crash(self):
        self.is_alive, self.held_term = False, 0
        self.listener.close()  # a connection that is closed rolls back
        for writer in list(self.writers):
            writer.transport.abort()
        self.group.record(f"{self.name} crashes")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, method, body=None):
        """Calls the control node of the last success, after a failure the next one. Returns whether one
        acknowledged the call."""
        for _ in range(len(self.addresses())):
            self.target %= len(self.addresses())
            host, port = self.addresses()[self.target]
            answer = await http_call(host, port, method, f"/instances/{self.name}", body)
            if method == "DELETE" or self.state != "ready":
                self.group.record(f"{self.name}: {method} {self.state if body else ''} to {host}:{port}: "
                                  f"{answer[0] if answer else 'no answer'}")
            if answer and 200 <= answer[0] < 300:
                return True
            self.target += 1
        return False

    def addresses(self):
        fleet = self.group.fleet
        return self.paths or [fleet.control_address(index) for index in range(len(fleet.controls))]

    async def report(self):
        self.sequence += 1
        return await self.call("PUT", {
            "service": self.group.name, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "v1", "capacity": self.slot_count, "state": self.state, "warmup_left_ms": 0,
            "db_role": "primary" if self.is_primary else "replica", "sequence": self.sequence,
            "born": self.born})

    async def beat(self):
        while True:
            if self.is_alive and self.beats:
                await self.report()
            await asyncio.sleep(HEARTBEAT_MS / 1000)


class Connection:
    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.tenant, self.values, self.prepared, self.transaction = "", {}, {}, None

    async def line(self):
        return (await self.reader.readuntil(b"\r\n")).decode()[:-2]

    async def run(self):
        server = self.server
        words = (await self.line()).split(" ")
        async with server.slots:
            await asyncio.sleep(HANDSHAKE_S)
        if words[0] != "STARTUP" or words[1] != server.group.name or words[3:4] not in ([], [server.name]):
            self.writer.write(b"ERR MISROUTED -\r\n")
            return
        if len(server.writers) > server.group.max_connections:
            self.writer.write(b"ERR TOOMANY -\r\n")
            return
        self.tenant = words[2]
        self.writer.write(f"READY I {server.position(server.applied)}\r\n".encode())
        while server.is_alive:
            line = await self.line()
            if line.startswith("TERMINATE"):
                return
            _, statement_id, text = line.split(" ", 2)
            rows, signature, code = await self.answer(statement_id, text)
            if not server.is_alive:
                return
            if code and self.transaction and code != "BUSY":
                self.transaction.has_failed = True
            if signature != "-" and random.random() < server.lost_answers:
                self.server.group.record(f"{server.name} ran {statement_id}; its answer is lost")
                continue
            state = "I" if not self.transaction else "E" if self.transaction.has_failed else "T"
            out = "".join(f"DATAROW {row}\r\n" for row in rows)
            out += f"ERR {code} {server.name}\r\n" if code else f"COMPLETE {signature}\r\n"
            self.writer.write((out + f"READY {state} {server.position(server.applied)}\r\n").encode())
            await self.writer.drain()

    async def answer(self, statement_id, text):
        """A server whose health check is good may fail part of its requests."""
        verb = text.split(" ")[0]
        if random.random() < self.server.failing and verb in ("SET", "PREPARE", "FETCH", "STORE", "EXECUTE"):
            self.server.group.record(f"{self.server.name} fails {statement_id} {text}")
            return [], "-", "FAILED"
        return await self.execute(statement_id, text)

    async def execute(self, statement_id, text):
        """Returns the rows, the signature, and an error code or None."""
        server, minimum = self.server, None
        if text.startswith("AFTER "):
            _, minimum, text = text.split(" ", 2)
        verb, _, rest = text.partition(" ")
        if self.transaction and self.transaction.has_failed and verb not in ("ROLLBACK", "COMMIT"):
            return [], "-", "MALFORMED"
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif verb == "DISCARD":
            self.values, self.prepared = {}, {}
        elif verb == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
        elif verb == "DEALLOCATE":
            if self.prepared.pop(rest, None) is None:
                return [], "-", "NOSTMT"
        elif verb == "BEGIN":
            if minimum and not server.has(minimum):
                return [], "-", "LAGGING"
            if rest != "FETCH" and not server.is_primary:
                return [], "-", "READONLY"
            self.transaction = Transaction(rest == "FETCH")
        elif verb == "ROLLBACK":
            self.transaction = None
        elif verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.order(verb, rest)
        else:
            return await self.work(statement_id, verb, rest, minimum)
        return [], "-", None

    def order(self, verb, rest):
        server, group = self.server, self.server.group
        if verb == "PAUSE" and not server.is_primary and int(rest) > group.term:
            server.held_term = int(rest)
        if verb == "RESUME":
            server.held_term = 0
        role = "primary" if server.is_primary else "replica"
        if verb != "STATUS":
            group.record(f"{server.name} gets {verb} {rest}")
        return [f"{role} {group.term} {server.position(len(server.log))} {server.held_term} "
                f"{int(server.lag_s * 1000)} 0 {len(server.writers)}"], "-", None

    async def work(self, statement_id, verb, rest, minimum):
        """Runs a read, a write or a commit, which occupies a slot."""
        server, group, transaction = self.server, self.server.group, self.transaction
        kind, argument = verb, rest
        if verb == "EXECUTE":
            name, _, argument = rest.partition(" ")
            if name not in self.prepared:
                return [], "-", "NOSTMT"
            kind, shape = self.prepared[name]
            argument = f"{shape} {argument}"
        if minimum and not server.has(minimum):
            return [], "-", "LAGGING"
        is_write = kind == "STORE"
        needs_lead = is_write or (transaction and not transaction.is_read_only and verb != "COMMIT")
        needs_lead = needs_lead or (verb == "COMMIT" and transaction and transaction.writes)
        if needs_lead and not server.is_primary:
            self.transaction = None if verb == "COMMIT" else transaction
            return [], "-", "READONLY"
        async with server.slots:
            await asyncio.sleep(server.work_s)
        if not server.is_alive:
            raise ConnectionError
        signature = f"{server.name}.{statement_id}"
        rows = [] if is_write or verb == "COMMIT" else [f"row-{argument.replace(' ', '-')}"]
        group.runs.append({"at": time.monotonic(), "server": server.name, "tenant": self.tenant,
                           "id": statement_id, "text": f"{verb} {rest}".rstrip(), "kind": kind,
                           "argument": argument, "values": dict(self.values), "signature": signature,
                           "rows": rows})
        group.record(f"{server.name} runs {statement_id} for {self.tenant}: {verb} {rest}".rstrip() +
                     (f", which is {kind} {argument}" if verb == "EXECUTE" else ""))
        if verb == "COMMIT":
            writes, self.transaction = (transaction.writes if transaction else []), None
            if writes and not await group.commit(server, statement_id):
                raise ConnectionError
            return [], signature, None
        if is_write and transaction:
            transaction.writes.append(statement_id)
        elif is_write and not await group.commit(server, statement_id):
            raise ConnectionError
        return rows, signature, None


class Group:
    """A service: one primary and its replicas. A commit is acknowledged once a replica has received it."""

    def __init__(self, fleet, name, first_host=1, count=3, max_connections=21):
        self.fleet, self.name, self.first_host, self.max_connections = fleet, name, first_host, max_connections
        self.servers = [Server(self, index) for index in range(count)]
        self.primary, self.term, self.fence = self.servers[0], 1, 0
        self.runs, self.acknowledged, self.lost = [], [], []

    def record(self, text):
        self.fleet.record.write(text)

    def receives(self, server):
        return (server.is_alive and not server.held_term and not server.receives_nothing
                and server is not self.primary)

    async def commit(self, server, statement_id):
        number = server.log[-1][1] + 1 if server.log else 1
        entry = (self.term, number, statement_id)
        server.log.append(entry)
        server.applied = len(server.log)
        while server.is_alive and server.is_primary:
            await asyncio.sleep(REPLICATION_S)
            if any(entry in each.log for each in self.servers if each is not server):
                self.acknowledged.append(entry)
                return True
        return False

    async def replicate(self):
        while True:
            await asyncio.sleep(REPLICATION_S)
            for server in self.servers:
                if self.receives(server) and self.primary.is_alive and server.log != self.primary.log:
                    server.log = list(self.primary.log)
                    asyncio.get_running_loop().call_later(server.lag_s, self.apply, server, len(server.log))

    @staticmethod
    def apply(server, count):
        server.applied = max(server.applied, min(count, len(server.log)))

    async def promote(self, name, token):
        server = next((each for each in self.servers if each.name == name), None)
        if token < self.fence or server is None or not server.is_alive:
            return 409
        self.fence = token
        if server is not self.primary:
            asyncio.get_running_loop().call_later(PROMOTE_S, self.complete, server)
        return 200

    def complete(self, server):
        if not server.is_alive or server is self.primary:
            return
        for entry in [each for each in self.acknowledged if each not in server.log]:
            holders = [each.name for each in self.servers if entry in each.log]
            self.lost.append(entry)
            self.record(f"{server.name} is promoted without {entry[2]}, which {' and '.join(holders)} received")
        self.term += 1
        self.primary = server
        for each in self.servers:
            each.held_term = 0
            each.log = [entry for entry in each.log if entry in server.log]
            each.applied = min(each.applied, len(each.log))
        server.applied = len(server.log)
        self.record(f"{server.name} leads term {self.term} of {self.name}")


async def serve_platform(fleet, groups):
    async def handle(reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            body = json.loads(await reader.readexactly(int(fields.get("content-length", "0"))))
            token = int(fields["x-primrosehead-fencing-token"])
            group = next(each for each in groups if each.name == body["service"])
            status = await group.promote(body["instance_id"], token)
            fleet.record.write(f"failover {body} with token {token}: {status}")
            writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, KeyError, ValueError, StopIteration):
            pass
        finally:
            writer.close()
    host, port = fleet.platform_address.split(":")
    return await asyncio.start_server(handle, host, int(port))


def make_config(version, groups, tenants, routes):
    """`routes`: (host, type, service). Figures of the class `bay-booking` of Dashi Kura."""
    return {"version": version,
            "routes": [{"name": f"r-{host}", "host": host, "path_prefix": "/", "type": kind,
                        "timeout_ms": 1000, "target_latency_ms": 200, "priority": 1, "service": service,
                        "max_attempts": 2, "max_staleness_ms": 1500, "public": False}
                       for host, kind, service in routes],
            "services": [{"name": group.name, "health_check_path": "/healthz",
                          "max_connections": group.max_connections, "protocol": "h1", "tls_enabled": False,
                          "sync_replicas": 1} for group in groups],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
            "tenants": [{"name": name, "api_keys": [key], "priority": 1, "rate_per_s": 119, "burst": 119}
                        for name, key in tenants]}


async def send_config(fleet, config, seconds):
    """Sends the same order to one control node after the other, as an operator does after an answer that is
    not clear. Returns the seconds until the acknowledgement, or None."""
    began_at, attempt, delay = time.monotonic(), 0, 0.1
    while time.monotonic() - began_at < seconds:
        host, port = fleet.control_address(attempt % len(fleet.controls))
        attempt += 1
        answer = await http_call(host, port, "PUT", "/config", config)
        fleet.record.write(f"PUT /config version {config['version']} to {host}: "
                           f"{answer[0] if answer else 'no answer'}")
        if answer and answer[0] == 200:
            return time.monotonic() - began_at
        await asyncio.sleep(delay)
        delay = min(delay * 2, 2.0)
    return None


class Client:
    """A client's session: one connection to an entry."""

    def __init__(self, fleet, name):
        self.fleet, self.name, self.number, self.writer = fleet, name, 0, None

    async def open(self, entry, database, key):
        host, port = self.fleet.entry_address(entry)
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(f"STARTUP {database} {key}\r\n".encode())
        line = (await self.reader.readuntil(b"\r\n")).decode().strip()
        self.fleet.record.write(f"{self.name}: STARTUP {database}: {line}")
        return line.startswith("READY")

    async def query(self, text):
        """Returns (id, rows, code or None, signature or None)."""
        self.number += 1
        statement_id = f"{self.name}-{self.number}"
        self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        rows, code, signature = [], None, None
        while True:
            word, _, rest = (await self.reader.readuntil(b"\r\n")).decode()[:-2].partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "ERR":
                code = rest.split(" ")[0]
            elif word == "COMPLETE":
                signature = rest
            elif word == "READY":
                break
        self.fleet.record.write(f"{self.name}: {statement_id} {text}: rows {rows}, {code or signature}")
        return statement_id, rows, code, signature

    def close(self):
        if self.writer:
            self.writer.close()
