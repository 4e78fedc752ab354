"""Helpers shared by scripts/prove and scripts/measure: fleets, load plans and runs of the load tool."""
import json
import os
import pathlib
import random
import signal
import subprocess
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("PRIMROSEHEAD_BIN", ROOT / "build/bin"))
EXAMPLES = {"hakata": "01-hakata", "qamus": "02-qamus"}
REQUESTS_PER_OPERATION = 1.9  # average; a transaction sends several requests
SETTLE_SECONDS = 1.0


class Fleet:
    """A running fleet. Stops exactly the processes that it started."""

    def __init__(self, deployment, overrides=(), lag=None):
        self.example = ROOT / "examples" / EXAMPLES[deployment]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="primrose-lab-"))
        self.directory = self.folder / "fleet"
        command = [str(ROOT / "scripts/fleet"), "up", "--example", str(self.example),
                   "--dir", str(self.directory)]
        if lag is not None:
            command += ["--lag", str(lag)]
        for text in overrides:
            command += ["--set", text]
        run = subprocess.run(command, capture_output=True, text=True, timeout=150, check=False)
        if run.returncode != 0:
            raise RuntimeError(f"scripts/fleet up failed: {run.stderr.strip()}")
        self.is_running = True
        example = json.loads((self.example / "fleet.json").read_text())
        self.lag_ms = example["lag_ms"] if lag is None else lag
        self.description = json.loads(run.stdout)
        time.sleep(SETTLE_SECONDS)  # lets replicas catch up with their primary to within their lag
        self.document = json.loads((self.directory / "environment.json").read_text())

    def down(self):
        if self.is_running:
            self.is_running = False
            subprocess.run([str(ROOT / "scripts/fleet"), "down", "--dir", str(self.directory)],
                           capture_output=True, timeout=60, check=False)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.down()

    def primaries(self):
        """Returns the current primary of each database that has one."""
        primaries = {}
        for server in self.description["backend_servers"]:
            try:
                with urllib.request.urlopen(server["url"] + "/v1/status", timeout=2) as response:
                    if json.load(response)["role"] == "primary":
                        primaries[server["database"]] = server
            except OSError:
                continue
        return primaries

    def servers(self, database):
        return [server for server in self.description["backend_servers"]
                if server["database"] == database]

    def records(self):
        paths = [self.directory / server["server"] / "record.jsonl"
                 for server in self.description["backend_servers"]]
        return [str(path) for path in paths if path.exists()]


def load_routes(document, database):
    """Returns the routes of one database that the load tool uses."""
    routes = [route for route in document["routes"] if route["database"] == database]
    keyed = [route for route in routes if not route.get("organisations") and not route.get("open")]
    reads = [route for route in keyed if route["access"] == "read"]
    writes = [route for route in keyed if route["access"] == "write"]
    restricted = [route for route in routes if route.get("organisations")]
    selected = {"name": database, "read_route": reads[0]["name"], "write_route": writes[0]["name"],
                "stale_route": reads[-1]["name"]}
    if restricted:
        selected["foreign_route"] = restricted[0]["name"]
    return selected


def load_organisations(fleet, load, only=None):
    """Returns every organisation with a key, sending the fraction `load` of its contract's rate."""
    admitted = {name for route in fleet.document["routes"] for name in route.get("organisations", [])}
    senders = []
    for organisation in fleet.document["organisations"]:
        key = fleet.description["keys"].get(organisation["name"])
        if key is None or (only and organisation["name"] not in only):
            continue
        senders.append({"name": organisation["name"], "key": key,
                        "rate": organisation["rate"], "burst": organisation["burst"],
                        "send_rate": organisation["rate"] * load / REQUESTS_PER_OPERATION,
                        "sessions": max(4, int(organisation["rate"] * load / 8)),
                        "outsider": organisation["name"] not in admitted})
    return senders


def make_plan(fleet, seconds, load, faults=(), first_entry_weight=1.0):
    """Returns a load plan over all entry instances. The first has the given weight, the others 1."""
    entries = [{"url": url, "weight": first_entry_weight if index == 0 else 1.0}
               for index, url in enumerate(fleet.description["entries"])]
    pids = sorted({fault["pid"] for fault in faults if "pid" in fault})
    names = sorted({server["database"] for server in fleet.description["backend_servers"]})
    return {"duration_ms": int(seconds * 1000), "entries": entries, "replica_lag_ms": fleet.lag_ms,
            "organisations": load_organisations(fleet, load),
            "databases": [load_routes(fleet.document, name) for name in names],
            "faults": sorted(faults, key=lambda fault: fault["at_ms"]), "pids": pids}


def partition(server, fleet, at_ms, heal_ms):
    """Returns faults that partition a server from all its peers and heal the partition."""
    replicas = [other["server"] for other in fleet.servers(server["database"])
                if other["server"] != server["server"]]
    peers = ["callers", "control", "announcements", *replicas]
    return [{"at_ms": at_ms, "url": server["control_url"], "body": {"cut": peers}},
            {"at_ms": heal_ms, "url": server["control_url"], "body": {"cut": []}}]


def pause(pid, at_ms, continue_ms):
    """Returns faults that suspend and resume a process."""
    return [{"at_ms": at_ms, "pid": pid, "signal": "STOP"},
            {"at_ms": continue_ms, "pid": pid, "signal": "CONT"}]


def fault_schedule(fleet, seconds, seed):
    """Returns faults chosen by the seed.

    The databases' primaries are paused, partitioned and killed in turn. One entry instance is killed,
    one entry and one control instance are paused, and one server gets a replication lag.
    """
    rng = random.Random(seed)
    primaries = list(fleet.primaries().values())
    rng.shuffle(primaries)
    duration_ms = seconds * 1000

    def random_time_ms(low, high):
        return int(duration_ms * rng.uniform(low, high))

    faults = []
    for index, server in enumerate(primaries):
        at = random_time_ms(0.15 + 0.2 * index, 0.2 + 0.2 * index)
        kind = index % 3
        if kind == 0:
            faults += pause(server["pid"], at, at + 1500)
        elif kind == 1:
            faults += partition(server, fleet, at, at + 2000)
        else:
            faults.append({"at_ms": at, "pid": server["pid"], "signal": "KILL"})
    pids = fleet.description["pids"]
    entries = sorted(name for name in pids if name.startswith("entry"))
    controls = sorted(name for name in pids if name.startswith("control"))
    killed_entry, paused_entry = rng.sample(entries, 2)
    faults.append({"at_ms": random_time_ms(0.3, 0.5), "pid": pids[killed_entry], "signal": "KILL"})
    at = random_time_ms(0.5, 0.6)
    faults += pause(pids[paused_entry], at, at + 1200)
    at = random_time_ms(0.4, 0.7)
    faults += pause(pids[rng.choice(controls)], at, at + 1500)
    lagging_server = rng.choice(fleet.description["backend_servers"])
    faults.append({"at_ms": random_time_ms(0.05, 0.1), "url": lagging_server["control_url"],
                   "body": {"lag_ms": rng.choice([200, 500])}})
    return faults


def run_load(folder, plan, seed, name="run"):
    """Runs the load tool on a plan. Returns its summary and the path of the history file."""
    plan_path = folder / f"{name}-plan.json"
    history = folder / f"{name}-history.jsonl"
    summary = folder / f"{name}-summary.json"
    plan_path.write_text(json.dumps(plan, indent=1) + "\n")
    timeout_s = plan["duration_ms"] / 1000 + 60
    run = subprocess.run([str(BIN / "primrose-load"), "--config", str(plan_path), "--seed",
                          str(seed), "--history", str(history), "--summary", str(summary)],
                         timeout=timeout_s, check=False)
    if run.returncode != 0:
        raise RuntimeError(f"primrose-load exited with status {run.returncode}")
    time.sleep(SETTLE_SECONDS)
    return json.loads(summary.read_text()), history


def check_history(history, records):
    """Runs primrose-check. Returns its findings and its exit code."""
    command = [str(BIN / "primrose-check"), "--history", str(history), "--json"]
    if records:
        command += ["--records", ",".join(records)]
    run = subprocess.run(command, capture_output=True, text=True, timeout=300, check=False)
    if run.returncode not in (0, 1):
        raise RuntimeError(f"primrose-check failed: {run.stderr.strip()}")
    return json.loads(run.stdout), run.returncode
