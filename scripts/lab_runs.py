"""What scripts/prove and scripts/measure share: fleets, plans and runs of the load tool."""
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
REQUESTS_AN_OPERATION = 1.9  # transactions send several
SETTLE_SECONDS = 1.0


class Fleet:
    """A running fleet; ends exactly the processes that it started."""

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
            raise RuntimeError(f"the fleet did not start: {run.stderr.strip()}")
        self.is_up = True
        example = json.loads((self.example / "fleet.json").read_text())
        self.lag_ms = example["lag_ms"] if lag is None else lag
        self.facts = json.loads(run.stdout)
        time.sleep(SETTLE_SECONDS)  # replicas have followed their primary for their lag
        self.document = json.loads((self.directory / "environment.json").read_text())

    def down(self):
        if self.is_up:
            self.is_up = False
            subprocess.run([str(ROOT / "scripts/fleet"), "down", "--dir", str(self.directory)],
                           capture_output=True, timeout=60, check=False)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.down()

    def primaries(self):
        """The present primary of each database."""
        found = {}
        for server in self.facts["backend_servers"]:
            try:
                with urllib.request.urlopen(server["url"] + "/v1/status", timeout=2) as answer:
                    if json.load(answer)["role"] == "primary":
                        found[server["database"]] = server
            except OSError:
                continue
        return found

    def servers(self, database):
        return [one for one in self.facts["backend_servers"] if one["database"] == database]

    def records(self):
        paths = [self.directory / one["server"] / "record.jsonl"
                 for one in self.facts["backend_servers"]]
        return [str(path) for path in paths if path.exists()]


def routes(document, database):
    """The routes of one database that the load uses."""
    own = [one for one in document["routes"] if one["database"] == database]
    plain = [one for one in own if not one.get("organisations") and not one.get("open")]
    reads = [one for one in plain if one["access"] == "read"]
    writes = [one for one in plain if one["access"] == "write"]
    closed = [one for one in own if one.get("organisations")]
    found = {"name": database, "read_route": reads[0]["name"], "write_route": writes[0]["name"],
             "stale_route": reads[-1]["name"]}
    if closed:
        found["foreign_route"] = closed[0]["name"]
    return found


def organisations(fleet, load, only=None):
    """Every organisation with a key, sending `load` of its contract's rate."""
    admitted = {name for route in fleet.document["routes"] for name in route.get("organisations", [])}
    found = []
    for one in fleet.document["organisations"]:
        key = fleet.facts["keys"].get(one["name"])
        if key is None or (only and one["name"] not in only):
            continue
        found.append({"name": one["name"], "key": key, "rate": one["rate"], "burst": one["burst"],
                      "send_rate": one["rate"] * load / REQUESTS_AN_OPERATION,
                      "sessions": max(4, int(one["rate"] * load / 8)),
                      "outsider": one["name"] not in admitted})
    return found


def plan(fleet, seconds, load, faults=(), uneven=1.0):
    """A plan over all entries; the first gets `uneven` times the others' share."""
    entries = [{"url": url, "weight": uneven if place == 0 else 1.0}
               for place, url in enumerate(fleet.facts["entries"])]
    pids = sorted({fault["pid"] for fault in faults if "pid" in fault})
    names = sorted({one["database"] for one in fleet.facts["backend_servers"]})
    return {"duration_ms": int(seconds * 1000), "entries": entries, "replica_lag_ms": fleet.lag_ms,
            "organisations": organisations(fleet, load),
            "databases": [routes(fleet.document, name) for name in names],
            "faults": sorted(faults, key=lambda one: one["at_ms"]), "pids": pids}


def cut(server, fleet, at_ms, heal_ms):
    """Cuts a server off from everyone, and heals it."""
    others = [one["server"] for one in fleet.servers(server["database"])
              if one["server"] != server["server"]]
    everyone = ["callers", "control", "announcements", *others]
    return [{"at_ms": at_ms, "url": server["control_url"], "body": {"cut": everyone}},
            {"at_ms": heal_ms, "url": server["control_url"], "body": {"cut": []}}]


def stop(pid, at_ms, continue_ms):
    return [{"at_ms": at_ms, "pid": pid, "signal": "STOP"},
            {"at_ms": continue_ms, "pid": pid, "signal": "CONT"}]


def fault_schedule(fleet, seconds, seed):
    """Each database's primary fails in another way; a server, an entry and a control instance too."""
    choice = random.Random(seed)
    primaries = list(fleet.primaries().values())
    choice.shuffle(primaries)
    span = seconds * 1000

    def when(low, high):
        return int(span * choice.uniform(low, high))

    faults = []
    for place, server in enumerate(primaries):
        at = when(0.15 + 0.2 * place, 0.2 + 0.2 * place)
        kind = place % 3
        if kind == 0:
            faults += stop(server["pid"], at, at + 1500)
        elif kind == 1:
            faults += cut(server, fleet, at, at + 2000)
        else:
            faults.append({"at_ms": at, "pid": server["pid"], "signal": "KILL"})
    pids = fleet.facts["pids"]
    entries = sorted(name for name in pids if name.startswith("entry"))
    controls = sorted(name for name in pids if name.startswith("control"))
    victim, sleeper = choice.sample(entries, 2)
    faults.append({"at_ms": when(0.3, 0.5), "pid": pids[victim], "signal": "KILL"})
    at = when(0.5, 0.6)
    faults += stop(pids[sleeper], at, at + 1200)
    at = when(0.4, 0.7)
    faults += stop(pids[choice.choice(controls)], at, at + 1500)
    laggard = choice.choice(fleet.facts["backend_servers"])
    faults.append({"at_ms": when(0.05, 0.1), "url": laggard["control_url"],
                   "body": {"lag_ms": choice.choice([200, 500])}})
    return faults


def run_load(folder, what, seed, name="run"):
    """Runs a plan; gives the summary and the path of the history."""
    plan_path = folder / f"{name}-plan.json"
    history = folder / f"{name}-history.jsonl"
    summary = folder / f"{name}-summary.json"
    plan_path.write_text(json.dumps(what, indent=1) + "\n")
    limit = what["duration_ms"] / 1000 + 60
    run = subprocess.run([str(BIN / "primrose-load"), "--config", str(plan_path), "--seed",
                          str(seed), "--history", str(history), "--summary", str(summary)],
                         timeout=limit, check=False)
    if run.returncode != 0:
        raise RuntimeError(f"primrose-load ended with {run.returncode}")
    time.sleep(SETTLE_SECONDS)
    return json.loads(summary.read_text()), history


def check(history, records):
    """The checker's findings and its exit code."""
    command = [str(BIN / "primrose-check"), "--history", str(history), "--json"]
    if records:
        command += ["--records", ",".join(records)]
    run = subprocess.run(command, capture_output=True, text=True, timeout=300, check=False)
    if run.returncode not in (0, 1):
        raise RuntimeError(f"primrose-check: {run.stderr.strip()}")
    return json.loads(run.stdout), run.returncode
