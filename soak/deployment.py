"""Starts the programs of the deploy file on loopback addresses, with its commands and templates, as the
platform does: settings are written anew at each start, and `bootstrap` holds for the first start only."""
import json
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS_PATH = "/etc/primrosehead/node.yaml"  # as the deploy file's commands name it
METRICS_PORT = 9464                            # as its templates name it
ZONES = ("fukuoka", "kumamoto", "nagasaki", "kagoshima")
# Bounds of the deployment `dashi-kura-grown`.
BOUNDS = {"seed_propagation_s": 3, "contact_window_ms": 5000, "ack_timeout_ms": 6000, "catch_up_s": 6,
          "drain_period_ms": 7000, "grace_period_s": 6, "config_apply_ms": 4000, "max_extension_ms": 15000,
          "revoke_timeout_ms": 5000, "quota_tolerance": 20, "recovery_s": 15}


def look_up(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template, fields):
    """Fills the sections and placeholders of a settings template."""
    def section(match):
        value = look_up(fields, match[1])
        return "" if value is None or value is False else match[2].replace("{{.}}", json.dumps(value))

    def placeholder(match):
        path, _, form = match[1].partition("|")
        value = look_up(fields, path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", placeholder, text)


class Program:
    """One process of a role, on an address of its own."""

    def __init__(self, deployment, role, index):
        self.deployment, self.role, self.index = deployment, role, index
        is_control = role == "control"
        self.host = f"127.{deployment.network}.{1 if is_control else 2}.{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.name = f"{'core' if is_control else 'frontend'}-{self.zone}-{index // len(ZONES) + 1}"
        self.folder = deployment.folder / self.name
        self.folder.mkdir()
        self.process, self.start_count = None, 0

    @property
    def address(self):
        return self.host, self.deployment.port + 1

    def fields(self, is_first_start):
        port = self.deployment.port
        is_control = self.role == "control"
        bind = {"control_plane": f"{self.host}:{port + 1}"} if is_control else {
            "frontend": f"{self.host}:{port + 1}", "readiness": f"{self.host}:{port + 2}"}
        return {"node_name": self.name, "ip": self.host, "zone": self.zone, "region": "kyushu",
                "zones": {zone: "kyushu" for zone in ZONES}, "bind_addresses": bind,
                "internal_port_range": [port + 4, port + 7], "seed_nodes": self.deployment.seeds,
                "bootstrap": is_first_start, "heartbeat_interval_ms": 1200, "bounds": BOUNDS,
                "data_directory": str(self.folder / "data") if is_control else None,
                "cloud_api": {"address": f"127.{self.deployment.network}.4.1:{port}"}}

    def start(self):
        role = self.deployment.roles[self.role]
        text = render((ROOT / role["template"]).read_text(), self.fields(self.start_count == 0))
        path = self.folder / "node.yaml"
        path.write_text(text.replace(f":{METRICS_PORT}", f":{self.deployment.port + 3}"))
        command = [str(path) if word == SETTINGS_PATH else word for word in role["run"].split()]
        command[0] = str(self.deployment.programs_folder / pathlib.Path(command[0]).name)
        with open(self.folder / "log.jsonl", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, env={
                **os.environ, "PRIMROSEHEAD_SETTINGS": str(path)})
        self.start_count += 1

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    def __init__(self, controls, entries, network, port, programs_folder):
        self.network, self.port = network, port
        self.programs_folder = pathlib.Path(programs_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="primrose-operator-soak-"))
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.seeds = [f"127.{network}.1.{i + 1}:{port + 1}" for i in range(min(3, controls))]
        self.controls = [Program(self, "control", i) for i in range(controls)]
        self.entries = [Program(self, "entry", i) for i in range(entries)]

    @property
    def programs(self):
        return self.controls + self.entries

    def end(self):
        for program in self.programs:
            program.end()
