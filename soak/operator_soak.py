#!/usr/bin/env python3
"""Soak test of the operator's interface: starts the deploy file's programs on loopback, kills, restarts and
pauses control from the first start on, while an operator sends, repeats and reads back configurations.

    soak/operator_soak.py --seed N [--seconds S] [--controls N] [--entries N] [--plan] [--keep]

The seed determines the fault schedule, which is printed. The exit code is 1 when a promise was broken. Bounds
are those of the deployment. Only processes started by this script are ended.
"""
import argparse
import asyncio
import json
import pathlib
import random
import shutil
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from deployment import BOUNDS, Deployment, ROOT  # noqa: E402
from servers import http_call  # noqa: E402

APPLY_S = BOUNDS["config_apply_ms"] / 1000
EXTENDED_APPLY_S = APPLY_S + BOUNDS["max_extension_ms"] / 1000  # while control is not stable
CONTACT_S = BOUNDS["contact_window_ms"] / 1000
ACK_S = BOUNDS["ack_timeout_ms"] / 1000
GRACE_S = BOUNDS["grace_period_s"]
RESTART_S = 0.5  # from the end of a process to its next start
STARTUP_S = 14   # from the start of the processes to traffic
FAULTS = ["kill", "kill", "stop", "pause", "kill_two", "kill_all", "kill_starting"]
DISK_FAULTS = ["lose_disk", "lose_disks_in_series"]  # of one process at a time
CATCH_UP_S = BOUNDS["catch_up_s"]


class Operator:
    """Sends configurations, repeats them, and reads them back. Keeps what was acknowledged."""

    def __init__(self, soak):
        self.soak, self.version = soak, 0
        self.acknowledged = {}  # when each version was first acknowledged
        self.sent = {}          # content of each version

    def configuration(self, version):
        routes = [{"name": f"r-{number}", "host": f"db{number}", "path_prefix": "/", "type": "primary",
                   "timeout_ms": 1000 + version, "target_latency_ms": 200, "priority": 1, "service": "kura",
                   "max_attempts": 2, "public": False} for number in range(version + 1)]
        return {"version": version, "routes": routes,
                "services": [{"name": "kura", "health_check_path": "/healthz", "max_connections": 69,
                              "protocol": "h1", "tls_enabled": False, "sync_replicas": 1}],
                "limits": {"tx_idle_ms": 3000},
                "tenants": [{"name": "t1", "api_keys": ["k1"], "priority": 1, "rate_per_s": 100, "burst": 100}]}

    def newest_acknowledged(self, until):
        return max((version for version, at in self.acknowledged.items() if at <= until), default=0)

    async def send(self, version, limit_s):
        """Sends a version to one control instance after another until it is acknowledged."""
        body = self.sent.setdefault(version, self.configuration(version))
        began_at = time.monotonic()
        pause = 0.1
        while time.monotonic() - began_at < limit_s and not self.soak.finished:
            control = self.soak.random.choice(self.soak.deployment.controls)
            answer = await http_call(*control.address, "PUT", "/config", body)
            if answer and answer[0] == 200:
                self.acknowledged.setdefault(version, time.monotonic())
                return True
            if answer and 400 <= answer[0] < 500 and answer[0] not in (408, 429):
                self.soak.report("CONFIG", f"version {version} was refused by {control.name}: {answer[0]}")
                return False
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return False

    async def read(self, control):
        """Reads back the configuration at one instance. Returns its version, or None without an answer."""
        began_at = time.monotonic()
        expected = self.newest_acknowledged(began_at - EXTENDED_APPLY_S if not self.soak.is_calm() else
                                            began_at - APPLY_S)
        answer = await http_call(*control.address, "GET", "/config", None)
        if not answer or answer[0] != 200:
            if answer and answer[0] != 503 and not (answer[0] == 404 and not expected):
                self.soak.report("CONFIG", f"{control.name} answers a read with {answer[0]}")
            return None
        content = json.loads(answer[1])
        version = content["version"]
        if version < expected:
            self.soak.report("CONFIG", f"{control.name} has version {version}, {expected} was acknowledged")
        if version not in self.sent or content["routes"] != self.sent[version]["routes"]:
            self.soak.report("CONFIG", f"{control.name} has a version {version} that was not sent")
        return version

    async def work(self):
        while not self.soak.finished:
            self.version += self.soak.random.choice((1, 1, 2))
            await self.send(self.version, 30)
            if self.acknowledged and self.soak.random.random() < 0.3:  # the acknowledgement may be lost
                await self.send(self.soak.random.choice(list(self.acknowledged)), 30)
            if self.soak.random.random() < 0.2:
                await self.send_invalid()
            await asyncio.sleep(self.soak.random.uniform(0.1, 1.0))

    async def send_invalid(self):
        body = self.configuration(self.version + 1)
        body["routes"][0]["service"] = "unknown"
        control = self.soak.random.choice(self.soak.deployment.controls)
        answer = await http_call(*control.address, "PUT", "/config", body)
        if answer and answer[0] == 200:
            self.soak.report("CONFIG", f"an invalid configuration was acknowledged by {control.name}")

    async def read_always(self):
        while not self.soak.finished:
            await self.read(self.soak.random.choice(self.soak.deployment.controls))
            await asyncio.sleep(self.soak.random.uniform(0.05, 0.3))


class Soak:
    def __init__(self, options):
        self.options, self.random = options, random.Random(options.seed)
        port = 20000 + 8 * (options.seed % 1000)
        self.deployment = Deployment(options.controls, options.entries, 10 + options.seed % 80, port,
                                     options.programs)
        self.operator, self.finished, self.broken = Operator(self), False, []
        self.disturbed_at = time.monotonic()
        self.disks = asyncio.Lock()  # held while a process recovers from the loss of its disk
        self.ending = set()  # processes that this script ends or has paused

    def report(self, rule, text):
        if len(self.broken) < 40:
            self.broken.append(f"{time.monotonic() - self.began_at:.1f} s {rule}: {text}")

    def is_calm(self):
        return time.monotonic() - self.disturbed_at > CONTACT_S and not self.ending

    def schedule(self):
        """Returns faults as (start in s, kind, index, duration in s): at the first start, alone, in series and
        overlapping, with calm spans between."""
        plan = []
        for _ in range(self.random.choice((0, 1, 1, 2, 3))):
            plan.append((round(self.random.uniform(0.0, 2.0), 2), "kill", self.random.randrange(100), 0.0))
        at = STARTUP_S + 1.0
        while at < self.options.seconds:
            for _ in range(self.random.choice((1, 1, 2, 4, 6))):
                kinds = DISK_FAULTS if self.random.random() < self.options.disk_losses else FAULTS
                plan.append((round(at, 2), self.random.choice(kinds), self.random.randrange(100),
                             round(self.random.uniform(0.2, 6.0), 2)))
                at += self.random.choice((0.0, 0.1, 0.4, 1.0))
            at += self.random.choice((0.5, 2.0, 5.0, 16.0))
        return sorted(plan)

    async def restart(self, program, number, pause_s=RESTART_S, loses_disk=False):
        if not program.is_running() or program in self.ending:
            return
        self.ending.add(program)
        self.disturbed_at = time.monotonic()
        program.send_signal(number)
        deadline = time.monotonic() + GRACE_S
        while program.is_running():
            await asyncio.sleep(0.02)
            if time.monotonic() > deadline:
                program.send_signal(signal.SIGKILL)
        if loses_disk:
            shutil.rmtree(program.folder / "data", ignore_errors=True)
        await asyncio.sleep(pause_s)
        program.start()
        self.disturbed_at = time.monotonic()
        self.ending.discard(program)

    async def lose_disks(self, program, count):
        async with self.disks:
            for _ in range(count):
                await self.restart(program, signal.SIGKILL, self.random.choice((0.05, 0.5, 1.5, 4.0)), True)
                await asyncio.sleep(CATCH_UP_S)

    async def inject(self, kind, index, seconds):
        controls = self.deployment.controls
        program = controls[index % len(controls)]
        if kind == "kill":
            await self.restart(program, signal.SIGKILL)
        elif kind == "stop":
            await self.restart(program, signal.SIGTERM)
        elif kind == "kill_two":
            other = controls[(index + 1 + index // 10) % len(controls)]
            await asyncio.gather(*(self.restart(each, signal.SIGKILL) for each in (program, other)))
        elif kind == "kill_all":
            await asyncio.gather(*(self.restart(each, signal.SIGKILL) for each in controls))
        elif kind == "lose_disk":
            await self.lose_disks(program, 1)
        elif kind == "lose_disks_in_series":
            await self.lose_disks(program, 2 + index % 2)
        elif kind == "kill_starting":
            await self.restart(program, signal.SIGKILL)
            await asyncio.sleep(seconds / 10)
            await self.restart(program, signal.SIGKILL)
        elif kind == "pause" and program not in self.ending:
            self.ending.add(program)
            program.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            program.send_signal(signal.SIGCONT)
            self.disturbed_at = time.monotonic()
            self.ending.discard(program)

    async def watch(self):
        """Processes that end by themselves are restarted, as by the platform."""
        while not self.finished:
            for program in self.deployment.programs:
                if not program.is_running() and program not in self.ending:
                    self.report("FAULT", f"{program.name} ended by itself: {program.process.returncode}")
                    program.start()
            await asyncio.sleep(0.1)

    async def start(self):
        programs = list(self.deployment.programs)
        self.random.shuffle(programs)
        for program in programs:
            program.start()
            await asyncio.sleep(0.3 / len(programs))

    async def open_session(self, entry, database):
        """Returns the first word of the answer to a startup, or None without one."""
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(*entry.address)
                writer.write(f"STARTUP {database} k1\r\n".encode())
                words = (await reader.readuntil(b"\r\n")).decode().split()
                writer.close()
                return words[0] if words[0] != "ERR" else words[1]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def check_end(self):
        """After the last fault a new version is acknowledged, read back everywhere and in force."""
        while not self.is_calm():
            await asyncio.sleep(0.1)
        self.operator.version += 1
        version = self.operator.version
        if not await self.operator.send(version, ACK_S * self.options.slack):
            self.report("CONFIG", f"version {version} was not acknowledged in calm")
        await asyncio.sleep(APPLY_S)
        expected = self.operator.newest_acknowledged(time.monotonic() - APPLY_S)
        deadline = time.monotonic() + CONTACT_S * self.options.slack
        versions = {}
        while time.monotonic() < deadline and len(versions) < len(self.deployment.controls):
            for control in self.deployment.controls:
                read = await self.operator.read(control)
                if read is not None:
                    versions[control.name] = read
            await asyncio.sleep(0.2)
        for control in self.deployment.controls:
            if control.name not in versions:
                self.report("CONFIG", f"{control.name} answered no read in calm")
        for entry in self.deployment.entries:
            answer = await self.open_session(entry, f"db{expected}")
            if answer != "READY":
                self.report("CONFIG", f"{entry.name} answers {answer} for a database of version {expected}")

    async def run(self):
        plan = self.schedule()
        print(json.dumps({"seed": self.options.seed, "folder": str(self.deployment.folder), "plan": plan}),
              flush=True)
        self.began_at = time.monotonic()
        tasks = []
        if self.options.plan:
            return
        await self.start()
        tasks += [asyncio.create_task(each) for each in
                  (self.watch(), self.operator.work(), self.operator.read_always())]
        faults = []
        for at, kind, index, seconds in plan:
            await asyncio.sleep(max(0.0, self.began_at + at - time.monotonic()))
            faults.append(asyncio.create_task(self.inject(kind, index, seconds)))
        await asyncio.gather(*faults)
        await asyncio.sleep(max(0.0, self.began_at + STARTUP_S - time.monotonic()))
        await self.check_end()
        self.finished = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=int(time.time()) % 1_000_000)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--controls", type=int, default=8)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--disk-losses", type=float, default=0.0, help="share of faults that empty a data folder")
    parser.add_argument("--programs", default=str(ROOT / "build/bin"), help="the folder of the programs")
    parser.add_argument("--slack", type=float, default=1.0,
                        help="factor of the time in which control has to answer in calm, for a busy machine")
    parser.add_argument("--plan", action="store_true", help="print the fault schedule and exit")
    parser.add_argument("--keep", action="store_true", help="keep the folder with the logs after a pass")
    options = parser.parse_args()
    soak = Soak(options)
    try:
        asyncio.run(soak.run())
    finally:
        soak.deployment.end()
    if not options.plan:
        print(json.dumps({"seed": options.seed, "acknowledged": len(soak.operator.acknowledged),
                          "newest": soak.operator.version,
                          "starts": sum(each.start_count for each in soak.deployment.programs),
                          "broken": soak.broken}), flush=True)
    if soak.broken:
        print(f"FAILED: seed {options.seed}, logs in {soak.deployment.folder}", file=sys.stderr)
        return 1
    if not options.keep:
        shutil.rmtree(soak.deployment.folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
