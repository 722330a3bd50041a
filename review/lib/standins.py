"""Stand-ins for a small deployment on loopback: state service, cloud, workers, users, platform.

They follow the pages of the protocol. Only the standard library is used. All of them run in the
process of the case's script; the controllers are separate processes, started with the `run`
command of deploy/service.toml.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MAX_BODY = 64 * 1024
MAX_LINE = 64 * 1024


def free_ports(count):
    """Return free ports of the loopback address."""
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Record:
    """Writes what was sent, answered and run to record.txt; times are seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()
        self.counts = {}

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, what, most=None, **fields):
        """Write one line; of a kind with `most` only so many."""
        count = self.counts[what] = self.counts.get(what, 0) + 1
        if most is not None and count > most:
            return
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():8.2f} {what} {text}\n")


# -- HTTP --------------------------------------------------------------------------------------


async def serve_http(port, handle):
    """Serve HTTP/1.1; `handle(method, path, body)` returns (status, object) or None: no answer."""

    async def connection(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {
                    k.strip().lower(): v.strip()
                    for k, _, v in (line.partition(":") for line in lines[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await handle(method, path, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, found = answer
                data = json.dumps(found, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # the script ends
        finally:
            writer.close()

    return await asyncio.start_server(connection, HOST, port, limit=1 << 20, backlog=512)


class Client:
    """One HTTP connection at a time, kept open."""

    def __init__(self):
        self.reader = self.writer = self.port = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, port, method, path, body=None, timeout=5.0):
        """Return (status, object, bytes of the body, headers); OSError or TimeoutError: none."""
        try:
            async with asyncio.timeout(timeout):
                return await self._request(port, method, path, body)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError) as error:
            self.close()
            raise OSError(str(error)) from None
        except BaseException:
            self.close()
            raise

    async def _request(self, port, method, path, body):
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        for fresh in (False, True):
            if fresh or self.port != port or self.writer is None:
                self.close()
                self.reader, self.writer = await asyncio.open_connection(HOST, port, limit=1 << 22)
                self.port, fresh = port, True
            try:
                self.writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                head = await self.reader.readuntil(b"\r\n\r\n")
                break
            except (asyncio.IncompleteReadError, ConnectionError):
                self.close()
                if fresh:
                    raise
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {
            k.strip().lower(): v.strip()
            for k, _, v in (line.partition(":") for line in lines[1:] if line)
        }
        raw = await self.reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            found = json.loads(raw) if raw else {}
        except ValueError:
            found = {}
        return status, found, raw, headers


# -- state service -------------------------------------------------------------------------------


class State:
    """The key-value store of the protocol, with its limits."""

    def __init__(self, settings, record):
        self.record = record
        self.rps, self.write_rps = settings["rps"], settings["write_rps"]
        self.value_b, self.txn_ops = settings["value_kb"] * 1024, settings["txn_ops"]
        self.rev = 1
        self.keys = {}  # key -> (value, stamp, permit)
        self.log = deque(maxlen=10_000)  # (rev, change)
        self.leases = {}  # permit -> [ttl, end]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.level, self.level_at = {"r": self.rps, "w": self.write_rps}, time.monotonic()
        self.down_until = 0.0

    def _spend(self, what, amount):
        now = time.monotonic()
        passed, self.level_at = now - self.level_at, now
        for kind, rate in (("r", self.rps), ("w", self.write_rps)):
            self.level[kind] = min(rate, self.level[kind] + passed * rate)
        if self.level[what] < amount:
            return False
        self.level[what] -= amount
        return True

    def outage(self, seconds):
        """Answer 503 to everybody; afterwards every lease has its full time again."""
        self.down_until = time.monotonic() + seconds
        for lease in self.leases.values():
            lease[1] = self.down_until + lease[0]

    async def expire_loop(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if now >= self.down_until:
                for permit, (_, end) in list(self.leases.items()):
                    if now > end:
                        self._end_lease(permit)

    def _end_lease(self, permit):
        self.leases.pop(permit, None)
        lost = [k for k, row in self.keys.items() if row[2] == permit]
        if lost:
            self._apply([{"remove": k} for k in lost])

    def _apply(self, ops):
        self.rev += 1
        for op in ops:
            if "write" in op:
                self.keys[op["write"]] = (op.get("v"), self.rev, op.get("permit"))
                self.log.append(
                    (self.rev, {"write": op["write"], "v": op.get("v"), "stamp": self.rev})
                )
            elif self.keys.pop(op["remove"], None) is not None:
                self.log.append((self.rev, {"remove": op["remove"], "stamp": self.rev}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, body):
        parts = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        await asyncio.sleep(0.003)
        if time.monotonic() < self.down_until:
            return 503, {"error": "down"}
        if not self._spend("r", 1):
            return 429, {"error": "requests"}
        if len(body) > MAX_BODY:
            return 400, {"error": "body"}
        data = json.loads(body) if body else {}
        where = parts.path
        if where == "/commit":
            return self._commit(data)
        if where == "/leases" and method == "POST":
            permit, ttl = self.next_lease, data["ttlMs"] / 1000
            self.next_lease += 1
            self.leases[permit] = [ttl, time.monotonic() + ttl]
            return 200, {"permit": permit}
        if where.startswith("/leases/"):
            permit = int(where.split("/")[2])
            if permit not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self._end_lease(permit)
            else:
                self.leases[permit][1] = time.monotonic() + self.leases[permit][0]
            return 200, {}
        if where == "/changes":
            return await self._changes(query)
        if where == "/kv":
            names = sorted(
                k for k in self.keys if k.startswith(query["under"]) and k > query.get("after", "")
            )
            rows, size, page = [], 0, min(1000, int(query.get("page", 100)))
            for name in names:
                value, stamp, _ = self.keys[name]
                size += len(json.dumps(value)) + len(name) + 40
                if len(rows) >= page or (rows and size > 512 * 1024):
                    break
                rows.append({"k": name, "v": value, "stamp": stamp})
            return 200, {"rows": rows, "more": len(rows) < len(names), "ledgerRev": self.rev}
        key = where.removeprefix("/kv/")
        if key not in self.keys:
            return 404, {"ledgerRev": self.rev}
        value, stamp, permit = self.keys[key]
        return 200, {"k": key, "v": value, "stamp": stamp, "permit": permit}

    def _commit(self, data):
        conditions, ops = data.get("if", []), data.get("apply", [])
        if len(ops) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return 400, {"error": "too many"}
        for op in ops:
            if "write" in op:
                if len(json.dumps(op.get("v"), separators=(",", ":"))) > self.value_b:
                    return 400, {"error": "value"}
        if ops and not self._spend("w", len(ops)):
            return 429, {"error": "changes"}
        for op in ops:
            if op.get("permit") is not None and op["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [
            c["k"] for c in conditions if self.keys.get(c["k"], (None, 0, None))[1] != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.rev}
        if ops:
            self._apply(ops)
        return 200, {"ledgerRev": self.rev}

    async def _changes(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query.get("blockMs", 0)) / 1000
        while True:
            if time.monotonic() >= self.down_until:
                if len(self.log) == self.log.maxlen and after < self.log[0][0] - 1:
                    return 410, {"error": "too old"}
                found = [
                    change
                    for rev, change in self.log
                    if rev > after
                    and (change.get("write") or change["remove"]).startswith(query["under"])
                ]
                if found or time.monotonic() >= end:
                    return 200, {"ledgerRev": self.rev, "log": found}
            elif time.monotonic() >= end:
                return 503, {"error": "down"}
            try:
                async with asyncio.timeout(max(0.01, min(1.0, end - time.monotonic()))):
                    await self.changed.wait()
            except TimeoutError:
                pass


# -- machines ------------------------------------------------------------------------------------


class Task:
    """One attempt on a machine."""

    def __init__(self, name, number, spec):
        self.name, self.number, self.spec = name, number, spec
        self.status, self.cause, self.kept = "fetching", None, False
        self.present = False
        self.run = None


class Worker:
    """The agent of one machine."""

    def __init__(self, region, machine, flavor):
        self.region, self.machine, self.flavor = region, machine, flavor
        self.name = machine["nameId"]
        self.tasks, self.images, self.fetches = {}, set(), {}
        self.tenure, self.seq, self.baton = 1, 0, 0
        self.warning = None
        self.lease_from = time.monotonic()
        self.target = region.rng.randrange(len(region.platform.names))
        self.changed = asyncio.Event()
        self.client = Client()
        self.jobs = []
        self.sessions_lost = 0

    def start(self):
        self.jobs = [asyncio.create_task(self._reports()), asyncio.create_task(self._lease())]

    def die(self):
        """The machine is gone with all that is on it."""
        for job in self.jobs:
            job.cancel()
        self._drop_all()
        self.client.close()

    def _drop_all(self):
        for task in self.tasks.values():
            if task.run is not None:
                task.run.cancel()
            self.region.left(self, task)
        self.tasks.clear()

    async def _lease(self):
        while True:
            left = self.lease_from + self.region.workers["lease_s"] - time.monotonic()
            if left <= 0:
                running = sum(t.status != "ended" for t in self.tasks.values())
                if running:
                    self.sessions_lost += 1
                    self.region.record(
                        "lease_over", most=300, host=self.name, tenure=self.tenure, killed=running
                    )
                    self.region.lease_kills += running
                self._drop_all()
                self.tenure += 1
                self.lease_from = time.monotonic()
                self.changed.set()
                left = self.region.workers["lease_s"]
            await asyncio.sleep(left + 0.01)

    def report(self):
        self.seq += 1
        tasks = []
        for t in self.tasks.values():
            row = {"task": t.name, "try": t.number, "status": t.status}
            if t.cause is not None:
                row["cause"] = t.cause
                if t.cause == "halted":
                    row["kept"] = t.kept
            tasks.append(row)
        m = self.machine
        return {
            "host": self.name, "addr": m["addr"], "hosttype": m["hosttype"], "site": m["site"],
            "standby": m["standby"], "tenure": self.tenure, "seq": self.seq, "baton": self.baton,
            "warningS": self.warning, "tasks": tasks,
        }  # fmt: skip

    async def _reports(self):
        region = self.region
        while True:
            sent, tenure = time.monotonic(), self.tenure
            self.changed.clear()
            body = json.dumps(self.report(), separators=(",", ":")).encode()
            region.largest_report = max(region.largest_report, len(body))
            try:
                status, answer, raw, _ = await self.client.request(
                    region.platform.port(self.target), "POST", "/hello", body, 4.0
                )
            except (OSError, TimeoutError):
                await self._next()
                continue
            region.largest_answer = max(region.largest_answer, len(raw))
            if len(body) > MAX_BODY or len(raw) > MAX_LINE or status not in (200, 421):
                region.record(
                    "report", most=400, host=self.name, tenure=tenure, bytes=len(body),
                    status=status, answer_bytes=len(raw), tasks=len(self.tasks),
                )  # fmt: skip
            if status == 200:
                if answer.get("baton", -1) >= self.baton and tenure == self.tenure:
                    self.baton = answer["baton"]
                    self.lease_from = max(self.lease_from, sent)
                    for order in answer["orders"]:
                        self._execute(order)
            elif status == 421 and answer.get("reportsTo") in region.platform.names:
                target = region.platform.names.index(answer["reportsTo"])
                if target == self.target:
                    await self._next()
                else:
                    self.target = target
                    await asyncio.sleep(region.rng.uniform(0, 0.5))
                continue
            else:
                await self._next()
                continue
            await asyncio.sleep(0.5)
            report_s = region.workers["report_s"] * region.rng.uniform(0.75, 1.25)
            try:
                async with asyncio.timeout(max(0.01, report_s - 0.5)):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def _next(self):
        self.target = (self.target + 1) % len(self.region.platform.names)
        await asyncio.sleep(1.0)

    def _free(self):
        held = [t.spec for t in self.tasks.values() if t.status != "ended"]
        return [
            self.flavor[key] - sum(s[key] for s in held) for key in ("vcpus", "gpus", "memoryGb")
        ]

    def _execute(self, order):
        key = (order["task"], order["try"])
        task = self.tasks.get(key)
        if order["order"] == "launch" and task is None:
            self._launch(*key)
        elif order["order"] == "forget" and task is not None and task.status == "ended":
            del self.tasks[key]
            self.changed.set()
        elif order["order"] == "kill" and task is not None and task.status != "ended":
            spec = task.spec
            if (
                task.status == "running"
                and spec["savepointS"] > 0
                and order["graceS"] >= spec["flushS"]
            ):
                task.status = "saving"
                task.run.cancel()
                task.run = asyncio.create_task(self._save(task))
            else:
                task.run.cancel()
                self._end(task, "halted")
            self.changed.set()

    async def _save(self, task):
        await asyncio.sleep(task.spec["flushS"])
        task.kept = True
        self._end(task, "halted")

    def _launch(self, name, number):
        region = self.region
        spec = region.specs.get(name.rpartition("/")[0])
        task = Task(name, number, spec)
        twin = any(t.name == name and t.status != "ended" for t in self.tasks.values())
        free = self._free()
        self.tasks[name, number] = task
        self.changed.set()
        if spec is None:
            task.status, task.cause = "ended", "unknown"
        elif twin:
            task.status, task.cause = "ended", "in_use"
        elif any(
            spec[key] > left + 1e-6
            for key, left in zip(("vcpus", "gpus", "memoryGb"), free, strict=True)
        ):
            task.status, task.cause = "ended", "no_room"
        else:
            task.run = asyncio.create_task(self._run(task))

    async def _fetch(self, spec):
        await asyncio.sleep(spec["pullGb"] / self.flavor["pullGbPerS"])
        self.images.add(spec["bundle"])

    async def _run(self, task):
        spec, region = task.spec, self.region
        if spec["bundle"] not in self.images:
            fetch = self.fetches.get(spec["bundle"])
            if fetch is None or fetch.cancelled():
                fetch = self.fetches[spec["bundle"]] = asyncio.create_task(self._fetch(spec))
            await asyncio.shield(fetch)
        region.entered(self, task)
        task.present, task.status = True, "running"
        self.changed.set()
        if spec["shape"] == "service":
            return
        if task.name not in region.done:
            await asyncio.sleep(region.run_s.get(spec["nameId"], 1.0))
            region.done.add(task.name)
        self._end(task, "done")

    def _end(self, task, cause):
        self.region.left(self, task)
        task.status, task.cause = "ended", cause
        self.changed.set()


class Cloud:
    """Rents machines within a capacity by pool; the list is `list_lag_s` old."""

    def __init__(self, region, flavors, capacity, lag_s, rps):
        self.region, self.flavors, self.capacity = region, flavors, dict(capacity)
        self.lag_s, self.rps = lag_s, rps
        self.machines, self.workers, self.hires, self.history = {}, {}, {}, deque(maxlen=600)
        self.number = 0
        self.level, self.level_at = 2 * rps, time.monotonic()
        self.refused = set()  # pools that refuse for the time being
        self.asked = []  # (time, body, names) of rental requests

    async def snapshots(self):
        while True:
            now = time.monotonic()
            rows = [
                {k: m[k] for k in ("nameId", "addr", "hosttype", "site", "standby", "status")}
                | {"ageS": round(now - m["born"], 2)}
                for m in self.machines.values()
            ]
            self.history.append((now, sorted(rows, key=lambda r: r["nameId"])))
            await asyncio.sleep(0.1)

    async def handle(self, method, path, body):
        now = time.monotonic()
        self.level = min(2 * self.rps, self.level + (now - self.level_at) * self.rps)
        self.level_at = now
        if self.level < 1:
            return 429, {"error": "rate"}
        self.level -= 1
        await asyncio.sleep(0.02)
        parts = urlsplit(path)
        if parts.path == "/flavors":
            return 200, {"hosttypes": list(self.flavors.values())}
        if parts.path == "/rentals" and method == "POST":
            return self._rent(json.loads(body))
        if parts.path == "/rentals/release":
            names = json.loads(body)["hosts"]
            self.region.record("released", hosts=",".join(names))
            for name in names:
                self.remove(name)
            return 200, {}
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        page = min(500, int(query.get("page", 500)))
        rows = [r for at, r in self.history if at <= now - self.lag_s]
        rows = [r for r in (rows[-1] if rows else []) if r["nameId"] > query.get("after", "")]
        return 200, {"hosts": rows[:page], "more": len(rows) > page}

    def _rent(self, data):
        if data["hire"] in self.hires:
            return 200, {"hosts": self.hires[data["hire"]]}
        pool = (data["hosttype"], data["site"], data["standby"])
        count = 0 if pool in self.refused else min(self.capacity.get(pool, 0), data["howMany"], 50)
        if not count:
            self.region.record("rental_refused", most=60, pool="/".join(map(str, pool)))
            return 503, {"error": "no capacity"}
        names = [self.add(pool) for _ in range(count)]
        self.hires[data["hire"]] = names
        self.asked.append((self.region.record.now(), data, names))
        self.region.record("rented", hire=data["hire"], pool="/".join(map(str, pool)), count=count)
        return 200, {"hosts": names}

    def add(self, pool, up=False):
        """Create a machine of a pool; it boots within `bootS`, or is up at once."""
        self.capacity[pool] = self.capacity.get(pool, 0) - 1
        self.number += 1
        name = f"host-{self.number:06d}"
        self.machines[name] = {
            "nameId": name, "addr": f"{HOST}:9", "hosttype": pool[0], "site": pool[1],
            "standby": pool[2], "status": "starting", "born": time.monotonic(),
        }  # fmt: skip
        boot_s = 0.0 if up else self.flavors[pool[0]]["bootS"] * self.region.rng.uniform(0.8, 1.2)
        asyncio.get_running_loop().call_later(boot_s, self._up, name)
        return name

    def _up(self, name):
        machine = self.machines.get(name)
        if machine is not None:
            machine["status"] = "running"
            worker = self.workers[name] = Worker(
                self.region, machine, self.flavors[machine["hosttype"]]
            )
            worker.start()

    def remove(self, name, back=True):
        """The machine and all that is on it are gone, and it is in no later list."""
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        if back:
            pool = (machine["hosttype"], machine["site"], machine["standby"])
            self.capacity[pool] = self.capacity.get(pool, 0) + 1
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.die()


# -- controllers ---------------------------------------------------------------------------------


class Platform:
    """Starts the controllers as separate processes, and starts them again when they end."""

    def __init__(self, record, folder, zones, settings, count=3, restart_s=4.0, state_ports=None):
        self.record, self.folder, self.restart_s = record, Path(folder), restart_s
        self.names = [f"worker-{n}" for n in range(count)]
        ports = free_ports(2 * count + 2)
        self.http, self.peer = ports[:count], ports[count : 2 * count]
        self.state_port, self.cloud_port = ports[-2:]
        self.settings, self.zones = settings, zones
        self.processes, self.logs, self.stopping = {}, {}, False
        self.ended = []  # (time, name, reason)
        self.env_extra = {}
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        self.command = shlex.split(deploy["run"])
        for n in range(count):
            port = state_ports[n] if state_ports else self.state_port
            self._write_settings(n, port)

    def port(self, number):
        return self.http[number]

    def _write_settings(self, n, state_port):
        lines = [
            f'member = "{self.names[n]}"',
            f'zone = "{self.zones[n % len(self.zones)]}"',
            f'bind = "{HOST}:{self.http[n]}"',
            f'cluster_listen = "{HOST}:{self.peer[n]}"',
        ]
        for other, name in enumerate(self.names):
            if other != n:
                lines += [
                    "[[others]]", f'member = "{name}"',
                    f'zone = "{self.zones[other % len(self.zones)]}"',
                    f'addr = "{HOST}:{self.peer[other]}"',
                ]  # fmt: skip
        lines += [
            "[endpoints]", f'cloud = "{HOST}:{self.cloud_port}"', f'state = "{HOST}:{state_port}"',
            "[cluster]", f"nodes = {len(self.names)}", f"zones = {json.dumps(self.zones)}",
            "skew_ms = 5.0",
        ]  # fmt: skip
        for team in self.settings["teams"]:
            lines += ["[[cluster.teams]]", *(f"{k} = {json.dumps(v)}" for k, v in team.items())]
        for aim in self.settings.get("objectives", ()):
            lines += ["[[cluster.objectives]]", *(f"{k} = {json.dumps(v)}" for k, v in aim.items())]
        for part in ("workers", "state", "cloud", "quota"):
            lines += [f"[cluster.{part}]"]
            lines += [f"{k} = {json.dumps(v)}" for k, v in self.settings[part].items()]
        (self.folder / f"{self.names[n]}.toml").write_text("\n".join(lines) + "\n")

    def start(self, n):
        if self.stopping:
            return
        name = self.names[n]
        log = open(self.folder / f"{name}.log", "ab")
        env = {**os.environ, "LOG_LEVEL": "info", **self.env_extra}
        command = [*self.command, str(self.folder / f"{name}.toml")]
        if command[0] in ("python3", "python"):
            command[0] = sys.executable
        self.processes[n] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.record("controller_started", name=name)

    async def watch(self):
        """Start a controller again some seconds after it ended."""
        while True:
            await asyncio.sleep(0.1)
            for n, process in list(self.processes.items()):
                if process is not None and process.poll() is not None and not self.stopping:
                    self.record("controller_ended", name=self.names[n], code=process.returncode)
                    self.ended.append((self.record.now(), self.names[n], process.returncode))
                    self.processes[n] = None
                    asyncio.get_running_loop().call_later(self.restart_s, self.start, n)

    def memory_mb(self, n):
        """Resident memory of a controller, in MB."""
        process = self.processes.get(n)
        if process is None:
            return 0.0
        try:
            text = Path(f"/proc/{process.pid}/status").read_text()
        except OSError:
            return 0.0
        row = next((line for line in text.splitlines() if line.startswith("VmRSS")), "VmRSS: 0")
        return int(row.split()[1]) / 1024

    async def metrics(self, n):
        """A controller's metrics as text; empty if there is no answer."""
        client = Client()
        try:
            reader, writer = await asyncio.open_connection(HOST, self.http[n])
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            async with asyncio.timeout(2.0):
                data = await reader.read()
            writer.close()
            return data.decode(errors="replace")
        except (OSError, TimeoutError):
            return ""
        finally:
            client.close()

    async def leader(self):
        """The number of the controller that says that it leads, or None."""
        for n in range(len(self.names)):
            if "chalkgrade_leading 1.0" in await self.metrics(n):
                return n
        return None

    def signal(self, n, number):
        process = self.processes.get(n)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def stop(self):
        """End all processes that were started."""
        self.stopping = True
        for process in self.processes.values():
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            if process is not None:
                process.wait()


# -- everything together ---------------------------------------------------------------------------


class Region:
    """A small deployment, with the users' jobs and the rules that are judged."""

    def __init__(self, record, folder, settings, flavors, capacity, zones, seed=1, **platform):
        self.record, self.rng = record, random.Random(seed)
        self.settings, self.workers = settings, settings["workers"]
        self.platform = Platform(record, folder, zones, settings, **platform)
        self.state = State(settings["state"], record)
        cloud = settings["cloud"]
        self.cloud = Cloud(self, flavors, capacity, cloud["list_lag_s"], cloud["rps"])
        self.specs, self.run_s, self.done = {}, {}, set()
        self.present = {}  # task name -> list of (worker, task)
        self.started = {}  # job -> number of starts
        self.first_start = {}  # job -> time
        self.told = {}  # job -> list of (time, status)
        self.accepted, self.aborted_at = {}, {}
        self.broken = []
        self.lease_kills = self.largest_report = self.largest_answer = 0
        self.background = []

    def breach(self, rule, text):
        self.broken.append((rule, text))
        self.record("BROKEN", rule=rule, text=text)

    # -- what runs --

    def entered(self, worker, task):
        name, job, spec = task.name, task.spec["nameId"], task.spec
        others = self.present.setdefault(name, [])
        if others:
            self.breach("ran_twice", f"{name} on {worker.name} and {others[0][0].name}")
        others.append((worker, task))
        self.started[job] = self.started.get(job, 0) + 1
        self.first_start.setdefault(job, self.record.now())
        self.record("task_start", most=200, task=name, try_=task.number, host=worker.name)
        told = self.aborted_at.get(job)
        if told is not None and self.record.now() > told + self.workers["cancel_s"]:
            self.breach("ran_cancelled", f"{name} starts on {worker.name}")
        team = next(t for t in self.settings["teams"] if t["name"] == spec["owner"])
        if team.get("cpus_max"):
            used = sum(
                t.spec["vcpus"]
                for rows in self.present.values()
                for _, t in rows
                if t.spec["owner"] == spec["owner"]
            )
            if used > team["cpus_max"] + 1e-6:
                self.breach("quota", f"{spec['owner']} uses {used}")

    def left(self, worker, task):
        rows = self.present.get(task.name, [])
        if (worker, task) in rows:
            rows.remove((worker, task))
            if not rows:
                del self.present[task.name]

    def job_is_done(self, name):
        spec = self.specs[name]
        return all(f"{name}/{n}" in self.done for n in range(spec["tasks"]))

    # -- users --

    def note(self, name, status, asked):
        """Judge a status that a user was told; `asked`: when the request was sent."""
        now = self.record.now()
        rows = self.told.setdefault(name, [])
        if not rows or rows[-1][1] != status:
            self.record("told", most=4000, job=name, status=status)
        for at, before in rows:
            if at < asked and before in ("done", "withdrawn") and status != before:
                self.breach("went_back", f"{name} was {before}, now {status}")
        if status == "done" and not self.job_is_done(name):
            self.breach("not_done", name)
        if not rows or rows[-1][1] != status:
            rows.append((now, status))

    async def ask(self, method, path, body=None, node=None, timeout=5.0):
        """One request of a user at a controller that accepts it; (status, object) or None."""
        order = list(range(len(self.platform.names)))
        self.rng.shuffle(order)
        for n in [node] if node is not None else order[:3]:
            client = Client()
            try:
                status, found, raw, headers = await client.request(
                    self.platform.port(n), method, path, body, timeout
                )
                return status, found
            except ConnectionRefusedError:
                continue
            except (OSError, TimeoutError):
                return None
            finally:
                client.close()
        return None

    async def submit(self, spec, run_s=1.0, for_s=60.0):
        """Submit a job until it is accepted; returns the last status."""
        name = spec["nameId"]
        self.specs[name], self.run_s[name] = spec, run_s
        end = self.record.now() + for_s
        status = None
        while self.record.now() < end:
            asked = self.record.now()
            answer = await self.ask("POST", "/v2/runs", spec)
            status = None if answer is None else answer[0]
            self.record("submit", most=2000, job=name, answer=status)
            if status in (200, 201):
                self.accepted.setdefault(name, self.record.now())
                self.note(name, answer[1]["status"], asked)
                return status
            if status in (400, 422):
                self.record("refused", job=name, why=answer[1].get("error"))
                return status
            await asyncio.sleep(1.0)
        return status

    async def poll(self, name, node=None):
        asked = self.record.now()
        answer = await self.ask("GET", f"/v2/runs/{name}", None, node, 2.0)
        if answer is not None and answer[0] == 200:
            self.note(name, answer[1]["status"], asked)
        elif answer is not None and answer[0] == 404 and name in self.accepted:
            self.breach("forgotten", f"{name} got 404")
        return answer

    async def poll_until_done(self, name, every=5.0):
        while True:
            answer = await self.poll(name)
            self.record("poll", most=3000, job=name, answer=answer and answer[1].get("status"))
            if answer is not None and answer[1].get("status") in ("done", "withdrawn"):
                return answer[1]["status"]
            await asyncio.sleep(every)

    async def cancel(self, name):
        """Ask for a job's cancellation until it is answered with a final status."""
        while True:
            answer = await self.ask("POST", f"/v2/runs/{name}/abort")
            self.record("abort", job=name, answer=answer)
            if answer is not None and answer[0] == 200:
                if answer[1]["status"] == "withdrawn":
                    self.aborted_at.setdefault(name, self.record.now())
                return answer[1]["status"]
            await asyncio.sleep(1.0)

    # -- life cycle --

    def spawn(self, work):
        job = asyncio.create_task(work)
        self.background.append(job)
        return job

    async def begin(self, controllers=True):
        """Start everything and wait until some controller leads."""
        await serve_http(self.platform.state_port, self.state.handle)
        await serve_http(self.platform.cloud_port, self.cloud.handle)
        self.spawn(self.state.expire_loop())
        self.spawn(self.cloud.snapshots())
        if controllers:
            for n in range(len(self.platform.names)):
                self.platform.start(n)
            self.spawn(self.platform.watch())
            await self.until_led()

    async def until_led(self, within_s=20.0):
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            n = await self.platform.leader()
            if n is not None:
                self.record("leads", name=self.platform.names[n])
                return n
            await asyncio.sleep(0.2)
        raise RuntimeError("nobody leads")

    def end(self):
        for job in self.background:
            job.cancel()
        for name in list(self.cloud.workers):
            self.cloud.workers[name].die()
        self.platform.stop()


def job(number, owner, **fields):
    """A submission with all fields."""
    return {
        "nameId": f"run-{number:06d}", "jobclass": "batch-work", "owner": owner, "shape": "batch",
        "urgency": "standard", "tasks": 1, "vcpus": 1.0, "gpus": 0.0, "memoryGb": 2.0,
        "bundle": "img-01", "pullGb": 0.2, "hosttypes": None, "site": None, "oneZone": False,
        "spread": False, "standby": True, "expectedS": 5.0, "savepointS": 0.0, "flushS": 0.0,
        "dueS": None,
    } | fields  # fmt: skip


def flavor(sku, vcpus, memory, sites, price, spot, boot_s, pull=1.0, gpus=0):
    """A machine type as the cloud lists it."""
    return {
        "sku": sku, "vcpus": vcpus, "gpus": gpus, "memoryGb": memory, "localGb": 50,
        "pullGbPerS": pull, "hourly": price, "spotPrice": spot, "bootS": boot_s, "sites": sites,
    }  # fmt: skip


def main(folder, play, limit_s=117.0):
    """Run a case; exit code 1: rule broken, 0: it held, 2: the case could not run."""
    import tempfile

    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record("begin", trouble=trouble)
    code = 2
    with tempfile.TemporaryDirectory() as scratch:

        async def run():
            regions = []
            try:
                async with asyncio.timeout(limit_s):
                    return await play(record, scratch, trouble, regions)
            finally:
                for region in regions:
                    region.end()

        try:
            code = asyncio.run(run())
        except Exception as error:  # noqa: BLE001 - the case could not run
            record("could_not_run", error=repr(error))
            print(f"could not run: {error!r}")
        if os.environ.get("KEEP_LOGS"):
            os.system(f"cp {scratch}/*.log {os.environ['KEEP_LOGS']}/ 2>/dev/null")
    record("end", code=code)
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
