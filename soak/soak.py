#!/usr/bin/env python3
"""Randomized soak test: runs the real programs on loopback, injects faults and checks the promises.

    soak/soak.py --seed N [--seconds S] [--cells N] [--entries N] [--clients N] [--evacuations] [--answers]
                 [--plan]

The seed determines the fault schedule, which is printed; `--plan` prints it and exits. The exit code is 1
when a promise was broken; no verdict depends on timing. Only processes started by this script are ended.
"""
import argparse
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from servers import Group, Oracle, http_call, serve_platform  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Error codes that promise that nothing of the attempt takes effect.
NO_EFFECT_CODES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
GRACE_S = 6
ZONES = ("d0", "d1", "d2")  # of the database servers
EVACUATION_S = 5.0
ORDER_TIMEOUT_S = 6.0
SLOW_TRANSACTIONS = 0.2
FAULTS = ["kill_cell", "kill_entry", "stop_entry", "pause_cell", "pause_entry", "crash_server",
          "silence_server", "deaf_replica", "reset_server", "revoke", "publish", "hup", "kill_cells"]
# With --answers: answers of a server, or of all servers of its group, are lost, cut off or late, while
# servers crash, fall behind and leave.
ANSWER_FAULTS = ["lost", "lost", "cut", "gap", "late"]
OTHER_FAULTS = ["crash_server", "deaf_replica", "leave_server", "silence_server", "kill_cell", "reset_server"]
LEAVING_S = 8.0


class Process:
    """One of the programs, restarted whenever it exits."""

    def __init__(self, cluster, kind, index):
        self.cluster, self.kind, self.index = cluster, kind, index
        self.host = f"127.0.{1 if kind == 'control' else 2}.{index + 1}"
        self.folder = cluster.folder / f"{kind}-{index}"
        self.folder.mkdir()
        self.process, self.stopping, self.start_count = None, False, 0

    def settings(self):
        shared = {"instance": f"{self.kind}-{self.index}", "failure_domain": f"d{self.index}",
                  "host": self.host, "bus_port": self.cluster.port, "grace_s": GRACE_S,
                  "control": [f"127.0.1.{i + 1}:{self.cluster.port + 1}" for i in range(self.cluster.cells)],
                  "listen": f"{self.host}:{self.cluster.port + 1}", "revocation_ms": 5000,
                  "regions": {zone: "r0" for zone in ZONES}}
        if self.kind == "control":
            return shared | {"data_folder": str(self.folder / "data"), "first_start": self.start_count == 0,
                             "platform": f"127.0.4.1:{self.cluster.port}",
                             "announcement_interval_ms": 400}
        return shared | {"readiness_listen": f"{self.host}:{self.cluster.port + 2}", "limit_tolerance": 20,
                         "evacuation_ms": int(EVACUATION_S * 1000)}

    def start(self):
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.settings()))
        log = open(self.folder / "log.jsonl", "ab")
        self.process = subprocess.Popen(
            [str(ROOT / f"build/bin/primrose-platform-{self.kind}"), "--config", str(path)],
            stdout=log, stderr=log)
        log.close()
        self.start_count += 1

    def send_signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def restart_on_exit(self):
        """Restarts the process about 0.5 s after each exit; a positive exit status is a violation."""
        while not self.cluster.finished:
            await asyncio.sleep(0.1)
            if self.process.poll() is not None and not self.cluster.finished:
                if self.process.returncode > 0:
                    self.cluster.oracle.report_violation(
                        "FAULT", f"{self.kind}-{self.index} exited by itself with status "
                                 f"{self.process.returncode}")
                await asyncio.sleep(0.5)
                self.start()


class Cluster:
    """The cluster under test: its processes, the simulated platform and the client sessions."""

    def __init__(self, options):
        self.options, self.random = options, random.Random(options.seed)
        self.cells, self.entries = options.cells, options.entries
        self.port = 21000 + 8 * (options.seed % 500)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="primrose-soak-"))
        self.oracle, self.finished, self.served, self.refused, self.unknown_outcomes = Oracle(), False, 0, 0, 0
        self.groups = {name: Group(self.oracle, name, [f"127.0.3.{3 * i + j + 1}" for j in range(3)])
                       for i, name in enumerate(("kura", "lexicon"))}
        self.version, self.keys = 1, {"t0": ["k0a", "k0b"], "t1": ["k1a"], "t2": ["k2a"]}
        self.next_id, self.acked_version = 0, 0
        self.oracle.tenants = set(self.keys)
        self.evacuations = {"acknowledged": 0, "rejected": 0, "without_answer": 0, "slowest_s": 0.0}
        self.processes = [Process(self, "control", i) for i in range(self.cells)]
        self.processes += [Process(self, "entry", i) for i in range(self.entries)]

    def document(self):
        routes = []
        for name in self.groups:
            for kind, staleness in (("primary", 0), ("bounded_staleness", 1500),
                                    ("read_your_writes", 2500)):
                routes.append({"name": f"{name}-{kind}", "host": f"{name}.{kind}", "path_prefix": "/",
                               "type": kind, "timeout_ms": 1500, "target_latency_ms": 400,
                               "priority": 1, "service": name, "max_staleness_ms": staleness,
                               "public": False})
        return {"version": self.version, "routes": routes,
                "services": [{"name": name, "max_connections": 21, "sync_replicas": 1}
                             for name in self.groups],
                "tenants": [{"name": tenant, "api_keys": list(keys), "rate_per_s": 400, "burst": 400}
                            for tenant, keys in self.keys.items()], "limits": {"tx_idle_ms": 3000}}

    async def publish(self, revoked_keys=()):
        """Sends the document to random control instances until one acknowledges or rejects it."""
        document = self.document()
        while not self.finished:
            host = f"127.0.1.{self.random.randrange(self.cells) + 1}"
            answer = await http_call(host, self.port + 1, "PUT", "/config", document)
            if answer and answer[0] == 200:
                self.acked_version = max(self.acked_version, document["version"])
                for key in revoked_keys:
                    self.oracle.revoked[key] = time.monotonic()
                return
            if answer and 400 <= answer[0] < 500:
                self.oracle.report_violation("CONFIG", f"version {document['version']} was rejected: {answer}")
                return
            await asyncio.sleep(0.1)

    async def announce(self, server):
        while not self.finished:
            if server.alive and time.monotonic() > server.unresponsive_until:
                server.sequence += 1
                body = {"service": server.group.name, "address": f"{server.host}:{server.port}",
                        "zone": server.failure_domain,
                        "version": "v1", "capacity": 3,
                        "state": "draining" if server.leaving else "ready", "warmup_left_ms": 0,
                        "db_role": "primary" if server.is_primary else "replica",
                        "sequence": server.sequence, "born": server.started_at_ms}
                host = f"127.0.1.{self.random.randrange(self.cells) + 1}"
                await http_call(host, self.port + 1, "PUT", f"/instances/{server.name}", body)
            await asyncio.sleep(0.4)

    def fault_schedule(self):
        """Returns faults as (start in s, kind, index, duration in s): single, in series and overlapping."""
        plan, at = [], 3.0
        # A stopped process is not in touch with control, so the evacuation bound does not hold for it.
        faults = [each for each in FAULTS if not self.options.evacuations or not each.startswith("pause")]
        if self.options.answers:
            faults = ANSWER_FAULTS + OTHER_FAULTS
        while at < self.options.seconds - 2:
            kind = self.random.choice(faults)
            for _ in range(self.random.choice((1, 1, 1, 2, 3))):
                plan.append((round(at, 2), kind, self.random.randrange(100),
                             round(self.random.uniform(0.3, 4.0), 2)))
                at += self.random.choice((0.0, 0.4, 1.0))
            at += self.random.uniform(0.3, 3.0)
        return plan

    async def inject_fault(self, kind, index, seconds):
        control = [each for each in self.processes if each.kind == "control"]
        entries = [each for each in self.processes if each.kind == "entry"]
        servers = [each for group in self.groups.values() for each in group.servers]
        server = servers[index % len(servers)]
        if kind == "kill_cell":
            control[index % len(control)].send_signal(signal.SIGKILL)
        elif kind == "kill_cells":
            for each in control:
                each.send_signal(signal.SIGKILL)
        elif kind == "kill_entry":
            entries[index % len(entries)].send_signal(signal.SIGKILL)
        elif kind == "stop_entry":
            process = entries[index % len(entries)]
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(GRACE_S)
            if process.process.poll() is None and process.process.pid == process.process.pid:
                process.send_signal(signal.SIGKILL)
        elif kind in ("pause_cell", "pause_entry"):
            group = control if kind == "pause_cell" else entries
            process = group[index % len(group)]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)
        elif kind in ANSWER_FAULTS:
            for each in server.group.servers if index % 3 == 0 else [server]:
                each.answer_fault, each.answers_faulty_until = kind, time.monotonic() + seconds
        elif kind == "leave_server":
            await self.replace_server(server.group.primary if index % 2 else server)
        elif kind == "crash_server":
            if all(each.alive and not each.leaving for each in server.group.servers):
                await server.crash()
                await asyncio.sleep(seconds)
                await server.start(server.port)
        elif kind == "silence_server":
            server.unresponsive_until = time.monotonic() + seconds
        elif kind == "deaf_replica":
            server.replication_blocked_until = time.monotonic() + seconds
        elif kind == "reset_server":
            server.reset_connections()
        elif kind == "publish":
            self.version += 1 + index % 3
            await self.publish()
        elif kind == "revoke":
            tenant = f"t{index % 3}"
            revoked_keys, self.keys[tenant] = self.keys[tenant], [f"k{tenant}-{self.version}"]
            self.version += 1
            await self.publish(revoked_keys)
        elif kind == "hup":
            for each in self.processes:
                each.send_signal(signal.SIGHUP)

    async def replace_server(self, server):
        """The server leaves as it should, and one with its log starts at its address."""
        if not all(each.alive and not each.leaving for each in server.group.servers):
            return
        server.leaving = True
        await asyncio.sleep(LEAVING_S)
        host = f"127.0.1.{self.random.randrange(self.cells) + 1}"
        body = {"service": server.group.name, "sequence": server.sequence + 1, "born": server.started_at_ms}
        server.leaving = False
        await server.crash()
        await http_call(host, self.port + 1, "DELETE", f"/instances/{server.name}", body)
        await asyncio.sleep(0.5)
        await server.start(server.port)

    async def order(self, method, zone, may_be_rejected=False):
        """Sends an order to random control instances until one acknowledges it; returns whether one did."""
        began_at = time.monotonic()
        while time.monotonic() - began_at < ORDER_TIMEOUT_S:
            host = f"127.0.1.{self.random.randrange(self.cells) + 1}"
            answer = await http_call(host, self.port + 1, method, f"/evacuations/{zone}", None)
            if answer and answer[0] == 200:
                self.evacuations["acknowledged"] += 1
                took = round(time.monotonic() - began_at, 3)
                self.evacuations["slowest_s"] = max(self.evacuations["slowest_s"], took)
                return True
            if answer and 400 <= answer[0] < 500:
                if not may_be_rejected:
                    self.oracle.report_violation("EVACUATION", f"{method} {zone} was rejected: {answer}")
                self.evacuations["rejected"] += may_be_rejected
                return False
            await asyncio.sleep(0.1)
        self.evacuations["without_answer"] += 1
        return False

    async def release(self, zone):
        while not self.finished and not await self.order("DELETE", zone):
            pass

    async def order_too_much(self):
        """Evacuates an unknown zone, and all zones at once by several operators."""
        if await self.order("POST", "unknown", may_be_rejected=True):
            self.oracle.report_violation("EVACUATION", "an unknown zone was evacuated")
        done = await asyncio.gather(*(self.order("POST", zone, may_be_rejected=True) for zone in ZONES))
        if all(done):
            self.oracle.report_violation("EVACUATION", "all zones were evacuated at once")
        await asyncio.gather(*(self.release(zone) for zone in ZONES))

    async def evacuate_zones(self):
        """Evacuates one zone after another. Servers report operations that reach them after the bound."""
        while not self.finished:
            await asyncio.sleep(self.random.uniform(1.0, 3.0))
            zone = self.random.choice(ZONES)
            if await self.order("POST", zone):
                self.oracle.evacuated[zone] = time.monotonic() + EVACUATION_S
                await asyncio.sleep(EVACUATION_S + self.random.uniform(1.0, 3.0))
            self.oracle.evacuated.pop(zone, None)
            await self.release(zone)
            await self.order_too_much()

    async def run_client(self, number):
        session = 0
        while not self.finished:
            session += 1
            entry = self.random.randrange(self.entries)
            try:
                async with asyncio.timeout(8):
                    await Session(self, f"c{number}.{session}", f"127.0.2.{entry + 1}").run()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)

    async def run(self):
        plan = self.fault_schedule()
        print(json.dumps({"seed": self.options.seed, "folder": str(self.folder), "plan": plan}), flush=True)
        if self.options.plan:
            return
        tasks = []
        listeners = [await serve_platform(self.groups, "127.0.4.1", self.port)]
        for group in self.groups.values():
            for server in group.servers:
                await server.start(self.port + 3)
                tasks.append(asyncio.create_task(self.announce(server)))
            tasks.append(asyncio.create_task(group.replicate()))
        for process in self.processes:
            process.start()
        await self.publish()
        tasks += [asyncio.create_task(process.restart_on_exit()) for process in self.processes]
        tasks += [asyncio.create_task(self.run_client(i)) for i in range(self.options.clients)]
        if self.options.evacuations:
            tasks.append(asyncio.create_task(self.evacuate_zones()))
        started_at = time.monotonic()
        for at, kind, index, seconds in plan:
            await asyncio.sleep(max(0.0, started_at + at - time.monotonic()))
            tasks.append(asyncio.create_task(self.inject_fault(kind, index, seconds)))
        await asyncio.sleep(max(0.0, started_at + self.options.seconds - time.monotonic()))
        await self.check_config_readable()
        self.finished = True
        for task in tasks:
            task.cancel()
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
            process.process.wait()
        for listener in listeners:
            listener.close()

    async def check_config_readable(self):
        """Checks that the latest acknowledged document, or a newer one, is served within 30 s."""
        expected, deadline = self.acked_version, time.monotonic() + 30
        while time.monotonic() < deadline:
            host = f"127.0.1.{self.random.randrange(self.cells) + 1}"
            answer = await http_call(host, self.port + 1, "GET", "/config", None)
            if answer and answer[0] == 200:
                version = json.loads(answer[1])["version"]
                if version < expected:
                    self.oracle.report_violation("CONFIG", f"version {version} is served, {expected} was "
                                                          "acknowledged")
                return
            await asyncio.sleep(0.2)
        self.oracle.report_violation("RECOVER", "no document could be read within 30 s after the last fault")


class Session:
    """One client session: sends random statements and transactions, checks replies with the oracle."""

    def __init__(self, cluster, name, host):
        self.cluster, self.name, self.host = cluster, name, host
        self.random = random.Random(f"{cluster.options.seed}/{name}")
        self.values, self.prepared, self.attempt = {}, {}, 0

    async def send(self, text, operation=None, began_at=None, attempt="-"):
        """Sends one statement. Returns the error code or None, and the signature. A success is that of a run
        at a server, with its rows."""
        cluster = self.cluster
        cluster.next_id += 1
        statement_id = f"{cluster.options.seed:x}-{cluster.next_id:x}"
        now = time.monotonic()
        if operation:
            cluster.oracle.sent[statement_id] = {
                "tenant": self.tenant, "group": self.group, "values": dict(self.values),
                "operation": operation, "key": self.key, "sent_at": now, "began_at": began_at or now,
                "attempt": attempt,
                "session": self.name, "staleness": {"primary": 0, "bounded_staleness": 1.5,
                                                    "read_your_writes": 2.5}[self.route_type],
                "read_your_writes": self.route_type == "read_your_writes"}
        self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        code, signature, rows = None, None, []
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode().strip()
            word, _, arguments = line.partition(" ")
            if word == "DATAROW":
                rows.append(arguments)
            elif word == "ERR":
                code = arguments.split(" ")[0]
            elif word == "COMPLETE":
                signature = arguments
            elif word == "READY":
                self.state = arguments[0]
                break
        runs = cluster.oracle.answers.get(statement_id, {})
        if operation and code is None and runs.get(signature) != rows:
            cluster.oracle.report_violation("MIXED", f"{statement_id} received signature {signature} and {rows}")
        return code, signature

    def check_refusal(self, attempt, code):
        """Checks that an attempt refused with such a code has no committed write."""
        if code in NO_EFFECT_CODES and self.cluster.oracle.committed.get(attempt):
            self.cluster.oracle.report_violation("REFUSED", f"{attempt} was refused with {code}, but is "
                                                            "committed")

    async def run(self):
        cluster = self.cluster
        self.tenant = self.random.choice(list(cluster.keys))
        self.key = self.random.choice(cluster.keys[self.tenant])
        self.group = self.random.choice(list(cluster.groups))
        self.route_type = self.random.choice(("primary", "bounded_staleness", "read_your_writes"))
        self.reader, self.writer = await asyncio.open_connection(self.host, cluster.port + 1)
        try:
            self.writer.write(f"STARTUP {self.group}.{self.route_type} {self.key}\r\n".encode())
            if not (await self.reader.readuntil(b"\r\n")).startswith(b"READY"):
                await asyncio.sleep(0.1)
                return
            for _ in range(self.random.randrange(1, 30)):
                if not await self.run_operation():
                    return
                await asyncio.sleep(self.random.uniform(0, 0.05))
        finally:
            self.writer.close()

    async def run_operation(self):
        self.attempt += 1
        attempt = f"{self.name}/{self.attempt}"
        draw = self.random.random()
        if draw < 0.1:
            name, value = self.random.choice("ab"), str(self.random.randrange(9))
            code, _ = await self.send(f"SET {name} {value}")
            if code is None:
                self.values[name] = value
            return code is None
        if draw < 0.2:
            name = f"s{self.random.randrange(3)}"
            kind = "STORE" if self.route_type != "bounded_staleness" and draw < 0.14 else "FETCH"
            shape = f"q{self.random.randrange(3)}"
            code, _ = await self.send(f"PREPARE {name} {kind} {shape}")
            if code is None:
                self.prepared[name] = (kind, shape)
            return code is None
        if draw < 0.45:
            return await self.run_transaction(attempt)
        writes = self.route_type != "bounded_staleness" and draw < 0.65
        text, operation = self.make_statement(writes)
        code, _ = await self.send(text, operation, attempt=attempt)
        self.count_outcome(code)
        self.check_refusal(attempt, code)
        return self.state == "I"

    def make_statement(self, writes):
        item = f"i{self.random.randrange(100)}"
        usable = [name for name, (kind, _) in self.prepared.items() if (kind == "STORE") == writes]
        if usable and self.random.random() < 0.5:
            name = self.random.choice(usable)
            return f"EXECUTE {name} {item} d1", (*self.prepared[name], f"{item} d1")
        text = f"STORE {item} d{self.random.randrange(1000)}" if writes else f"FETCH {item}"
        return text, tuple(text.split(" ", 1))

    def count_outcome(self, code):
        self.cluster.served += code is None
        self.cluster.refused += code in NO_EFFECT_CODES
        self.cluster.unknown_outcomes += code is not None and code not in NO_EFFECT_CODES

    async def run_transaction(self, attempt):
        read_only = self.route_type == "bounded_staleness" or self.random.random() < 0.3
        began_at = time.monotonic()
        code, _ = await self.send("BEGIN FETCH" if read_only else "BEGIN")
        if code:
            return self.state == "I"
        # Slow transactions are open for longer than the half of the bound that they get.
        is_slow = self.cluster.options.evacuations and self.random.random() < SLOW_TRANSACTIONS
        pause_s = 1.0 if is_slow else 0.1
        for step in range(self.random.randrange(4, 7) if is_slow else self.random.randrange(1, 5)):
            text, operation = self.make_statement(not read_only and step == 0)
            code, _ = await self.send(text, operation, began_at, attempt)
            if code:
                self.count_outcome(code)
                self.check_refusal(attempt, code)
                code, _ = await self.send("ROLLBACK")
                return self.state == "I"
            await asyncio.sleep(self.random.uniform(0, pause_s))
        if self.random.random() < 0.1:
            await self.send("ROLLBACK")
            return True
        code, _ = await self.send("COMMIT", ("COMMIT", ""), began_at, attempt)
        self.count_outcome(code)
        self.check_refusal(attempt, code)
        return self.state == "I"


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=int(time.time()) % 1_000_000)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--cells", type=int, default=3)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--evacuations", action="store_true",
                        help="evacuate zones meanwhile; no process is paused")
    parser.add_argument("--answers", action="store_true",
                        help="servers lose, cut off and delay answers, and leave")
    parser.add_argument("--plan", action="store_true", help="print the fault schedule and exit")
    parser.add_argument("--keep", action="store_true", help="keep the folder with the logs after a pass")
    options = parser.parse_args()
    random.seed(options.seed)
    cluster = Cluster(options)
    try:
        asyncio.run(cluster.run())
    finally:
        for process in cluster.processes:
            if process.process and process.process.poll() is None:
                process.process.send_signal(signal.SIGCONT)
                process.process.kill()
                process.process.wait()
    if options.plan:
        return 0
    print(json.dumps({"seed": options.seed, "served": cluster.served, "refused": cluster.refused,
                      **({"evacuations": cluster.evacuations} if options.evacuations else {}),
                      **({"spoiled": cluster.oracle.spoiled} if options.answers else {}),
                      "unclear": cluster.unknown_outcomes, "broken": cluster.oracle.violations[:20],
                      "promotions": sum(group.term - 1 for group in cluster.groups.values()),
                      "starts": sum(process.start_count for process in cluster.processes)}), flush=True)
    if cluster.oracle.violations or cluster.served == 0:
        print(f"FAILED: seed {options.seed}, logs in {cluster.folder}", file=sys.stderr)
        return 1
    if not options.keep:
        shutil.rmtree(cluster.folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
