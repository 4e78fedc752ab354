"""Stand-ins for the database servers of one service and for the platform's promotion call.

Servers speak the line protocol of PROTOCOL.md. All times are those of the monotonic clock, in seconds.
"""
import asyncio
import json
import time

SLOTS = 3
WORK_S = 0.004  # a case may set another one
PROMOTION_S = 0.3
HEARTBEAT_S = 0.4
CONTROL = "primrosehead"  # under this name control connects to servers, in place of a tenant


class Server:
    """A database server: log of (term, write id), role, and connections."""

    def __init__(self, service, name, host, port, zone):
        self.service, self.name, self.host, self.port, self.zone = service, name, host, port, zone
        self.log, self.term, self.leads, self.paused_term = [], 1, False, 0
        self.far = set()          # zones that packets to and from this server can't cross
        self.holds_tenants = False  # packets of entries don't get through either
        self.alive, self.draining, self.sequence = True, False, 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.connections, self.listener = set(), None

    def position(self):
        return f"{self.log[-1][0]}.{len(self.log)}" if self.log else "1.0"

    def has(self, position):
        term, number = (int(part) for part in position.split("."))
        own = (self.log[-1][0] if self.log else 1, len(self.log))
        return own >= (term, number)

    def reaches(self, zone):
        return self.alive and zone not in self.far

    async def start(self):
        """Starts, or starts again: the counts start anew."""
        self.alive, self.sequence, self.born = True, 0, int(time.time() * 1000)
        self.listener = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 21)

    def stop(self):
        """The process ends: its connections are reset. The log survives, a pause does not."""
        self.alive, self.paused_term = False, 0
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Connection:
    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.who, self.values, self.prepared, self.transaction = "", {}, {}, None

    async def read(self):
        """Reads one line: it ends with CR LF, and a lone CR or LF belongs to the text."""
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def cross_cut(self):
        """Bytes between this server and control are held up while the zones of control are far."""
        server = self.server
        while server.service.control_zones & server.far if self.who == CONTROL else server.holds_tenants:
            await asyncio.sleep(0.02)

    async def run(self):
        server = self.server
        fields = (await self.read()).split(" ")
        self.who = fields[2]
        await self.cross_cut()
        if fields[1] != server.service.name or fields[3] != server.name:
            self.writer.write(b"ERR MISROUTED -\r\n")
            return
        self.writer.write(f"READY I {server.position()}\r\n".encode())
        while server.alive:
            line = await self.read()
            await self.cross_cut()
            if line.startswith("TERMINATE"):
                return
            word, identifier, text = line.split(" ", 2)
            if word != "QUERY":
                return
            rows, signature, code = await self.execute(identifier, text)
            await self.cross_cut()
            if not server.alive:
                return
            if code and self.transaction:
                self.transaction["failed"] = True
            state = "I" if not self.transaction else "E" if self.transaction["failed"] else "T"
            reply = "".join(f"DATAROW {row}\r\n" for row in rows)
            reply += f"ERR {code} {server.name}\r\n" if code else f"COMPLETE {signature}\r\n"
            self.writer.write((reply + f"READY {state} {server.position()}\r\n").encode())
            await self.writer.drain()

    def status(self):
        server = self.server
        role = "primary" if server.leads else "replica"
        return [f"{role} {server.term} {server.position()} {server.paused_term} 0 0 "
                f"{len(server.connections)}"], "-", None

    def order(self, verb, arguments):
        server = self.server
        if verb == "PAUSE" and not server.leads and int(arguments) > server.term:
            server.paused_term = int(arguments)
        if verb == "RESUME":
            server.paused_term = 0
        if verb == "STEPDOWN" and server.leads and server.term < int(arguments):
            server.leads = False
        return self.status()

    async def execute(self, identifier, text):
        server, service = self.server, self.server.service
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
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
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.order(verb, arguments)
        if verb == "ROLLBACK":
            self.transaction = None
            return [], "-", None
        if self.transaction and self.transaction["failed"]:
            return [], "-", "MALFORMED"
        if after and not server.has(after):
            return [], "-", "LAGGING"
        if verb == "BEGIN":
            if arguments != "FETCH" and not server.leads:
                return [], "-", "READONLY"
            self.transaction = {"plain": arguments != "FETCH", "writes": [], "failed": False}
            return [], "-", None
        return await self.run_statement(identifier, verb, arguments, text)

    async def run_statement(self, identifier, verb, arguments, text):
        server, service, transaction = self.server, self.server.service, self.transaction
        if verb == "EXECUTE":
            name = arguments.partition(" ")[0]
            if name not in self.prepared:
                return [], "-", "NOSTMT"
        writes = verb == "STORE" or (verb == "EXECUTE" and self.prepared[name][0] == "STORE")
        commits = verb == "COMMIT"
        needs_lead = writes or (transaction and transaction["plain"] and not commits)
        needs_lead = needs_lead or (commits and transaction and transaction["writes"])
        if needs_lead and not server.leads:
            if commits:
                self.transaction = None
            return [], "-", "READONLY"
        async with server.slots:
            await asyncio.sleep(WORK_S)
        if not server.alive:
            raise ConnectionError
        service.ran.append((time.monotonic(), server.name, self.who, identifier, text,
                            bool(transaction and transaction.get("begun"))))
        if transaction is not None:
            transaction["begun"] = True
        signature = f"{server.name}.{identifier}"
        if transaction and writes:
            transaction["writes"].append(identifier)
            return [], signature, None
        written = [identifier] if writes else []
        if commits:
            written = transaction["writes"] if transaction else []
            self.transaction = None
        if written and not await service.commit(server, identifier):
            raise ConnectionError
        return ([] if writes or commits else ["row"]), signature, None


class Service:
    """One primary and its replicas, with sync_replicas 1."""

    def __init__(self, name, port, places, control_zones):
        """`places`: (server name, host, zone), the primary first."""
        self.name, self.control_zones = name, set(control_zones)
        self.servers = [Server(self, server, host, port, zone) for server, host, zone in places]
        self.servers[0].leads = True
        self.fence = 0
        self.ran = []          # (time, server, who, statement id, text, later statement of a transaction)
        self.promotions = []   # (time, server, ids in its log)
        self.announced = []    # (time, control host, server, state, status of the answer)
        self.platform_up = True
        self.requested = asyncio.Event()  # a promotion was accepted

    def find(self, name):
        return next((each for each in self.servers if each.name == name), None)

    def receives(self, replica, primary):
        return (replica is not primary and replica.alive and not replica.leads and not replica.paused_term
                and replica.reaches(primary.zone) and primary.reaches(replica.zone))

    def replicate(self, primary):
        for replica in self.servers:
            if self.receives(replica, primary) and replica.term == primary.term:
                replica.log = list(primary.log)

    async def commit(self, server, identifier):
        """Returns once a replica has received the commit; False if the server lost the lead before."""
        server.log.append((server.term, identifier))
        number, term = len(server.log), server.term
        while server.alive and server.leads and server.term == term:
            self.replicate(server)
            if any(len(each.log) >= number for each in self.servers if each is not server):
                return True
            await asyncio.sleep(0.002)
        return False

    async def keep_replicating(self):
        while True:
            await asyncio.sleep(0.02)
            for server in self.servers:
                if server.alive and server.leads:
                    self.replicate(server)

    async def promote(self, name, fence):
        server = self.find(name)
        if fence < self.fence or server is None or not server.alive:
            return 409
        self.fence = fence
        if not server.leads:
            self.requested.set()
            asyncio.get_running_loop().create_task(self.complete_promotion(server))
        return 200

    async def complete_promotion(self, server):
        await asyncio.sleep(PROMOTION_S)
        if not server.alive or server.leads:
            return
        term = max(each.term for each in self.servers) + 1
        for each in self.servers:
            each.leads, each.term, each.paused_term = each is server, term, 0
            each.log = each.log[:len(server.log)]
        server.leads = True
        self.promotions.append((time.monotonic(), server.name, {entry[1] for entry in server.log}))

    async def announce(self, server, control, port):
        """Heartbeats: the next control node is called if one does not acknowledge within a second."""
        turn = 0
        while True:
            if server.alive and not self.control_zones & server.far:
                server.sequence += 1
                state = "draining" if server.draining else "ready"
                body = {"service": self.name, "address": f"{server.host}:{server.port}",
                        "zone": server.zone, "version": "v1", "capacity": SLOTS, "state": state,
                        "warmup_left_ms": 0, "db_role": "primary" if server.leads else "replica",
                        "sequence": server.sequence, "born": server.born}
                for _ in control:
                    host = control[turn % len(control)]
                    answer = await http_call(host, port, "PUT", f"/instances/{server.name}", body)
                    self.announced.append((time.monotonic(), host, server.name, state,
                                           answer[0] if answer else None))
                    if answer and 200 <= answer[0] < 300:
                        break
                    turn += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def serve_platform(self, host, port):
        async def handle(reader, writer):
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                body = json.loads(await reader.readexactly(int(fields.get("content-length", "0"))))
                if self.platform_up:
                    status = await self.promote(body["instance_id"],
                                                int(fields["x-primrosehead-fencing-token"]))
                    writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n".encode())
                else:
                    writer.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError, KeyError, ValueError):
                pass
            finally:
                writer.close()
        return await asyncio.start_server(handle, host, port)


async def http_call(host, port, method, path, body, timeout=1.0):
    """Returns status and body, or None without a whole answer in time."""
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
