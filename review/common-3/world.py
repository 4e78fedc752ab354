"""A small deployment on loopback for the cases of review 3: the programs of the deploy file with its commands
and templates, database servers and the platform's call as stand-ins, an operator and clients.

What is sent, answered and run goes to `record.txt` in the folder of the case."""
import asyncio
import json
import os
import pathlib
import random
import shutil
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
sys.path.insert(0, str(ROOT / "soak"))
sys.path.insert(0, str(HERE))
import deployment as deployed  # noqa: E402
from db import Server, Service, serve_platform  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the deployment `dashi-kura`.
deployed.BOUNDS.update({"contact_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "config_apply_ms": 3000,
                        "max_extension_ms": 12000, "recovery_s": 12})
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}


def is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class World:
    def __init__(self, case, controls=4, entries=4, services=("ledger-1", "ledger-2"), tenants=None):
        self.record = open(pathlib.Path(case) / "record.txt", "w")
        self.began_at = time.monotonic()
        self.random = random.Random(5)
        self.network = os.getpid() % 200 + 20
        self.port = next(port for port in range(21000 + os.getpid() % 500 * 16, 32000, 16)
                         if all(is_free(f"127.{self.network}.{part}.1", port + i)
                                for part in (1, 2, 3, 4) for i in range(8)))
        self.programs = deployed.Deployment(controls, entries, self.network, self.port, ROOT / "target/bin")
        self.services, self.tasks, self.listeners = {}, [], []
        self.server_count = 0
        for name in services:
            service = Service(name, self.note)
            self.services[name] = service
            for _ in range(3):
                self.add_server(service)
            service.servers[0].is_primary = True
        self.tenants = tenants or {"t1": {"keys": ["key-1"], "rate": 400, "burst": 400}}
        self.version, self.next_id, self.finished = 1, 0, False
        self.types = ("primary", "bounded_staleness", "read_your_writes")

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began_at:9.3f} {text}\n")

    def add_server(self, service):
        self.server_count += 1
        zone = deployed.ZONES[self.server_count % 3]
        server = Server(service, f"i-{self.server_count:04x}", f"127.{self.network}.3.{self.server_count}", zone)
        service.servers.append(server)
        return server

    def configuration(self, version):
        routes = [{"name": f"r-{name}-{kind}", "host": f"{name}.{kind}", "path_prefix": "/", "type": kind,
                   "timeout_ms": 1000, "target_latency_ms": 400, "priority": 1, "service": name,
                   "max_attempts": 2, "max_staleness_ms": 1500, "public": False}
                  for name in self.services for kind in self.types]
        return {"version": version, "routes": routes,
                "services": [{"name": name, "health_check_path": "/healthz", "max_connections": 21,
                              "protocol": "h1", "tls_enabled": False, "sync_replicas": 1}
                             for name in self.services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
                "tenants": [{"name": name, "api_keys": each["keys"], "priority": 1, "rate_per_s": each["rate"],
                             "burst": each["burst"]} for name, each in self.tenants.items()]}

    # HTTP calls of the operator and the servers.

    async def call(self, program, method, path, body=None, timeout=1.0):
        """Returns (status, text), or None without a clear answer."""
        text = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else b""
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(*program.address)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode() + text)
                answer = await reader.read()
                head, _, content = answer.partition(b"\r\n\r\n")
                return int(head.split(b" ")[1]), content.decode("utf-8", "replace")
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return None
        finally:
            if writer:
                writer.close()

    async def publish(self, document, limit_s=20.0):
        """Sends a configuration until it has a clear answer; returns the status."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            program = self.random.choice(self.programs.controls)
            answer = await self.call(program, "PUT", "/config", document)
            if answer and (answer[0] == 200 or 400 <= answer[0] < 500):
                self.note(f"operator: PUT /config version {document['version']} at {program.name} -> {answer[0]}")
                return answer[0]
            await asyncio.sleep(0.1)
        return None

    async def beat(self, server):
        """Heartbeats of a server. One that is cut from control reaches none of its machines."""
        last_role = None
        while not self.finished:
            if server.running:
                if time.monotonic() < server.control_cut_until:
                    await asyncio.sleep(0.1)
                    continue
                server.sequence += 1
                last_role = server.is_primary
                body = {"service": server.service.name, "address": f"{server.host}:{server.port}",
                        "zone": server.zone, "version": "v1", "capacity": 3, "state": server.state,
                        "warmup_left_ms": 0, "db_role": "primary" if server.is_primary else "replica",
                        "sequence": server.sequence, "born": server.born}
                for _ in range(3):
                    program = self.random.choice(self.programs.controls)
                    answer = await self.call(program, "PUT", f"/instances/{server.name}", body)
                    if answer and answer[0] == 200:
                        break
            for _ in range(12):
                if self.finished or (server.running and last_role is not None and last_role != server.is_primary):
                    break
                await asyncio.sleep(0.1)

    async def start_server(self, server):
        await server.start(self.port)
        self.tasks.append(asyncio.create_task(self.beat(server)))

    async def start(self):
        self.listeners.append(await serve_platform(self.services, f"127.{self.network}.4.1", self.port, self.note))
        for service in self.services.values():
            for server in service.servers:
                await self.start_server(server)
            self.tasks.append(asyncio.create_task(service.replicate()))
        for program in self.programs.programs:
            program.start()
        status = await self.publish(self.configuration(self.version))
        if status != 200:
            raise RuntimeError(f"the first configuration was not accepted: {status}")
        until = time.monotonic() + 15
        while time.monotonic() < until:
            if all([await self.is_ready(each) for each in self.programs.entries]):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the entries did not get ready")
        await asyncio.sleep(3.0)
        self.note("ready")

    async def is_ready(self, entry):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(entry.host, self.port + 2)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = await reader.read()
                writer.close()
                return b" 200 " in answer.split(b"\r\n")[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def end(self):
        self.finished = True
        for task in self.tasks:
            task.cancel()
        self.programs.end()
        for listener in self.listeners:
            listener.close()
        self.record.flush()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.programs.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.programs.folder, ignore_errors=True)

    def new_id(self):
        self.next_id += 1
        return f"{self.next_id:016x}"


class Session:
    """A client's session: one statement at a time."""

    def __init__(self, world, entry, database, key):
        self.world, self.entry, self.database, self.key = world, entry, database, key
        self.reader = self.writer = None
        self.state = "I"

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.entry.address, limit=4 << 20)
        self.writer.write(f"STARTUP {self.database} {self.key}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)).decode()[:-2]
        return line if not line.startswith("READY") else None

    async def ask(self, text, statement_id=None, timeout=4.0):
        """Returns (id, error code or None, signature, rows); raises ConnectionError without an answer."""
        statement_id = statement_id or self.world.new_id()
        self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        code, signature, rows = None, None, []
        try:
            async with asyncio.timeout(timeout):
                while True:
                    line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
                    word, _, rest = line.partition(" ")
                    if word == "DATAROW":
                        rows.append(rest)
                    elif word == "ERR":
                        code = rest.split(" ")[0]
                    elif word == "COMPLETE":
                        signature = rest
                    elif word == "READY":
                        self.state = rest[0]
                        return statement_id, code, signature, rows
        except (asyncio.TimeoutError, asyncio.IncompleteReadError) as missing:
            raise ConnectionError("no answer") from missing

    def close(self):
        if self.writer:
            self.writer.close()


def run_case(case, body, limit_s=110):
    """Runs `body(world-making)`. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run."""
    async def limited():
        async with asyncio.timeout(limit_s):
            return await body()
    try:
        return asyncio.run(limited())
    except Exception as problem:  # noqa: BLE001
        print(f"could not run: {problem!r}")
        return 2
