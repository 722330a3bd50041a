"""Stand-ins for the review's second part: state service, cloud, workers, users, proxies, controllers.

Everything runs on loopback addresses and the real clock. Controllers are processes that are
started with the command of deploy/service.toml; all else lives in the process of the case.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from bisect import bisect_right, insort
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target" / "deps")]

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
now = time.monotonic


def free_ports(count):
    """Return loopback ports that nobody listens on, below those of outgoing connections."""
    try:
        low = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except (OSError, ValueError):
        low = 32768
    low = low if low > 12000 else 32768
    draw, ports = random.SystemRandom(), []
    while len(ports) < count:
        port = draw.randrange(low - 10000, low)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """The file record.txt of a case: one line for each thing sent, answered, run or judged."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = now()
        self.broken = []

    def __call__(self, *words):
        self.file.write(f"{now() - self.began:8.3f} " + " ".join(map(str, words)) + "\n")

    def broke(self, rule, text):
        """Note that a rule was broken."""
        self.broken.append((rule, text))
        self("BROKEN", rule, text)


class State:
    """The state service of PROTOCOL: keys with revisions, leases, transactions, changes."""

    def __init__(self, record, limits):
        self.record, self.limits = record, limits
        self.rev = 0
        self.rows, self.order, self.log = {}, [], []
        self.leases, self.lease_number = {}, 0
        self.changed = asyncio.Event()
        self.out_until = 0.0
        self.refuse = {}  # controller -> time until which it alone gets 503
        self.silent = {}  # controller -> time until which its requests get no answer
        self.on_commit = None  # async hook(source, data) -> "lose", "late" or None
        self.delay = None  # hook(source, path) -> seconds before the execution
        self.tokens = {"rps": limits["rps"], "write_rps": limits["write_rps"]}
        self.tokens_at = now()
        self.statuses = {}
        self.encode = None  # hook(request, body) -> headers, body

    def _spend(self, kind, amount):
        passed, self.tokens_at = now() - self.tokens_at, now()
        for name in self.tokens:
            top = self.limits[name]
            self.tokens[name] = min(top, self.tokens[name] + passed * top)
        if self.tokens[kind] < amount:
            return False
        self.tokens[kind] -= amount
        return True

    def apply(self, ops):
        self.rev += 1
        for op in ops:
            if "write" in op:
                if op["write"] not in self.rows:
                    insort(self.order, op["write"])
                self.rows[op["write"]] = (op["v"], self.rev, op.get("permit"))
                self.log.append((self.rev, {"write": op["write"], "v": op["v"], "stamp": self.rev}))
            elif op["remove"] in self.rows:
                del self.rows[op["remove"]]
                self.order.remove(op["remove"])
                self.log.append((self.rev, {"remove": op["remove"], "stamp": self.rev}))
        self.changed.set()
        self.changed = asyncio.Event()

    def _drop(self, permit):
        self.leases.pop(permit, None)
        lost = [key for key, row in self.rows.items() if row[2] == permit]
        if lost:
            self.apply([{"remove": key} for key in lost])

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if now() < self.out_until:
                continue
            for permit, (_, end) in list(self.leases.items()):
                if now() > end + 0.02:
                    self._drop(permit)

    def outage(self, seconds):
        """Answer 503 to all; afterwards each lease has its full time again."""
        self.out_until = now() + seconds
        for permit, (ttl, _) in list(self.leases.items()):
            self.leases[permit] = (ttl, self.out_until + ttl)

    def down(self, source):
        return now() < self.out_until or now() < self.refuse.get(source, 0.0)

    async def _hold(self, source):
        while now() < self.silent.get(source, 0.0):
            await asyncio.sleep(0.05)

    async def handle(self, source, request):
        body = await request.read()
        data = json.loads(body) if body else None
        path, method = request.path, request.method
        if now() < self.silent.get(source, 0.0):
            await asyncio.sleep(60)
        if self.delay is not None:
            await asyncio.sleep(self.delay(source, path))
        if self.down(source):
            return 503, {"error": "down"}
        if not self._spend("rps", 1):
            return 429, {"error": "too many requests"}
        if path == "/commit":
            if len(body) > 65536:
                return 400, {"error": "too long"}
            fate = await self.on_commit(source, data) if self.on_commit else None
            if fate == "lose":
                self.commit(data)
                await asyncio.sleep(60)
            if isinstance(fate, float):
                await asyncio.sleep(fate)
                self.commit(data)
                await asyncio.sleep(60)
            return self.commit(data)
        if path == "/leases":
            self.lease_number += 1
            ttl = data["ttlMs"] / 1000
            self.leases[self.lease_number] = (ttl, now() + ttl)
            return 200, {"permit": self.lease_number}
        if path.startswith("/leases/"):
            permit = int(path.split("/")[2])
            if method == "DELETE":
                self._drop(permit)
                return 200, {}
            if permit not in self.leases:
                return 404, {"error": "gone"}
            ttl = self.leases[permit][0]
            self.leases[permit] = (ttl, now() + ttl)
            return 200, {}
        if path == "/changes":
            return await self.changes(source, request.query)
        if path == "/kv":
            under, after = request.query.get("under", ""), request.query.get("after", "")
            page = min(1000, int(request.query.get("page", 100)))
            rows, size, more = [], 0, False
            for key in self.order[bisect_right(self.order, after):]:
                if not key.startswith(under):
                    if key > under:
                        break
                    continue
                row = {"k": key, "v": self.rows[key][0], "stamp": self.rows[key][1]}
                size += len(json.dumps(row))
                if len(rows) >= page or size > 512 * 1024:
                    more = True
                    break
                rows.append(row)
            return 200, {"rows": rows, "more": more, "ledgerRev": self.rev}
        key = path.removeprefix("/kv/")
        if key not in self.rows:
            return 404, {"ledgerRev": self.rev}
        value, stamp, permit = self.rows[key]
        return 200, {"k": key, "v": value, "stamp": stamp, "permit": permit}

    def commit(self, data):
        ops = data.get("apply", [])
        limits = self.limits
        if len(ops) > limits["txn_ops"] or len(data.get("if", [])) > 4 * limits["txn_ops"]:
            return 400, {"error": "too many"}
        for op in ops:
            size = len(json.dumps(op.get("v"), separators=(",", ":"), ensure_ascii=False).encode())
            if size > limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
        if not self._spend("write_rps", len(ops)):
            return 429, {"error": "too many changes"}
        for op in ops:
            if op.get("permit") is not None and op["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        none = (0, 0, 0)
        failed = [c["k"] for c in data.get("if", []) if self.rows.get(c["k"], none)[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.rev}
        if ops:
            self.apply(ops)
        return 200, {"ledgerRev": self.rev}

    async def changes(self, source, query):
        end = now() + min(60.0, int(query.get("blockMs", 0)) / 1000)
        after, under = int(query["after"]), query.get("under", "")
        while True:
            await self._hold(source)
            if not self.down(source):
                begin = bisect_right(self.log, after, key=lambda row: row[0])
                found = [c for _, c in self.log[begin:]
                         if (c.get("write") or c["remove"]).startswith(under)]
                if found or now() >= end:
                    return 200, {"ledgerRev": self.rev, "log": found}
                after = self.rev
            elif now() >= end:
                return 503, {"error": "down"}
            try:
                async with asyncio.timeout(max(0.01, min(0.5, end - now()))):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def leader(self):
        row = self.rows.get("cg/leader")
        return row[0]["member"] if row else None


class Cloud:
    """The cloud of PROTOCOL: rents machines of one or more types."""

    def __init__(self, world, types, lag, boot=None):
        self.world, self.types, self.lag = world, types, lag
        self.boot = boot or (lambda machine: 1.0)
        self.machines, self.hires, self.number = {}, {}, 230
        self.capacity = {}
        self.past = []  # (time, rows)
        self.out_until = 0.0
        self.silent_until = 0.0
        self.asked_at = []  # times of the rental requests

    def left(self):
        """Return how many machines could still be rented."""
        return sum(self.capacity.values()) - len(self.machines)

    def rent(self, sku, site, standby, count):
        names = []
        for _ in range(count):
            used = sum((m["hosttype"], m["site"], m["standby"]) == (sku, site, standby)
                       for m in self.machines.values())
            if used >= self.capacity.get((sku, site, standby), 10):
                break
            self.number += 1
            name = f"host-{self.number:06d}"
            machine = {"nameId": name, "addr": "127.0.0.1:1", "hosttype": sku, "site": site,
                       "standby": standby, "status": "starting", "at": now()}
            self.machines[name] = machine
            names.append(name)
            self.world.spawn(self._boot(machine))
        return names

    async def _boot(self, machine):
        await asyncio.sleep(self.boot(machine))
        if machine["nameId"] in self.machines:
            machine["status"] = "running"
            self.world.machine_up(machine)

    async def snapshot(self):
        while True:
            self.past.append((now(), [dict(m) for _, m in sorted(self.machines.items())]))
            del self.past[:-600]
            await asyncio.sleep(0.25)

    async def handle(self, source, request):
        body = await request.read()
        data = json.loads(body) if body else None
        if now() < self.silent_until:
            await asyncio.sleep(60)
        if now() < self.out_until:
            return 503, {"error": "trouble"}
        if request.path == "/flavors":
            return 200, {"hosttypes": list(self.types.values())}
        if request.path == "/rentals" and request.method == "POST":
            self.asked_at.append(now())
            if data["hire"] in self.hires:
                return 200, {"hosts": self.hires[data["hire"]]}
            names = self.rent(data["hosttype"], data["site"], data["standby"], data["howMany"])
            if not names:
                return 503, {"error": "no capacity"}
            self.hires[data["hire"]] = names
            self.world.record("cloud rented", *names)
            return 200, {"hosts": names}
        if request.path == "/rentals/release":
            for name in data["hosts"]:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    self.world.record("cloud released", name)
                    self.world.machine_gone(machine)
            return 200, {}
        if request.path == "/rentals":
            seen = [rows for at, rows in self.past if at <= now() - self.lag]
            rows = seen[-1] if seen else []
            after = request.query.get("after", "")
            rows = [r for r in rows if r["nameId"] > after]
            page = min(500, int(request.query.get("page", 500)))
            out = [{**{k: v for k, v in r.items() if k != "at"}, "ageS": now() - self.lag - r["at"]}
                   for r in rows[:page]]
            return 200, {"hosts": out, "more": len(rows) > page}
        return 404, {"error": "?"}


class Task:
    def __init__(self, name, number, job):
        self.name, self.number, self.job = name, number, job
        self.status, self.cause, self.kept = "fetching", None, False
        self.timer = None
        self.present = False


class Worker:
    """One machine's agent: reports, keeps its lease, runs tasks."""

    def __init__(self, world, machine):
        self.world, self.machine, self.name = world, machine, machine["nameId"]
        self.tenure, self.seq, self.baton = 1, 0, 0
        self.lease_from = now()
        self.tasks, self.images = {}, set()
        self.warning = None
        self.alive = True
        self.changed = asyncio.Event()
        self.target = world.rng.randrange(len(world.nodes))
        self.cut_until = 0.0  # reaches no controller
        self.deaf_until = 0.0  # its reports arrive, answers are lost
        self.hung_until = 0.0
        self.sick = False
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.loops = [world.spawn(self.lease_loop()), world.spawn(self.report_loop())]

    async def stop(self):
        self.alive = False
        self.kill_all()
        for loop in self.loops:
            loop.cancel()
        await self.session.close()

    def kill_all(self):
        for task in self.tasks.values():
            self.leave(task)
        self.tasks.clear()

    def leave(self, task):
        if task.timer is not None and task.timer is not asyncio.current_task():
            task.timer.cancel()
        if task.present:
            task.present = False
            self.world.left(self, task)

    async def lease_loop(self):
        lease = self.world.settings["cluster"]["workers"]["lease_s"]
        while self.alive:
            if now() > self.lease_from + lease:
                if self.tasks:
                    self.world.record("worker", self.name, "lease over, tenure", self.tenure + 1)
                self.kill_all()
                self.tenure += 1
                self.lease_from = now()
                self.changed.set()
            await asyncio.sleep(0.05)

    def report(self):
        self.seq += 1
        return {"host": self.name, "addr": self.machine["addr"], "hosttype": self.machine["hosttype"],
                "site": self.machine["site"], "standby": self.machine["standby"],
                "tenure": self.tenure, "seq": self.seq, "baton": self.baton,
                "warningS": self.warning,
                "tasks": [{"task": t.name, "try": t.number, "status": t.status, "cause": t.cause,
                           **({"kept": True} if t.kept else {})} for t in self.tasks.values()]}

    async def report_loop(self):
        world, period = self.world, self.world.settings["cluster"]["workers"]["report_s"]
        while self.alive:
            while now() < self.hung_until:
                await asyncio.sleep(0.05)
            sent, tenure = now(), self.tenure
            self.changed.clear()
            status, body = None, {}
            if now() >= self.cut_until:
                try:
                    async with asyncio.timeout(4.0):
                        node = world.nodes[self.target]
                        async with self.session.post(
                            f"http://127.0.0.1:{node.port}/hello", json=self.report()
                        ) as reply:
                            raw = await reply.read()
                            status, body = reply.status, json.loads(raw)
                            if len(raw) > 65536:
                                world.record.broke("line_length", f"{len(raw)} bytes to {self.name}")
                except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
                    status = None
                if now() < self.deaf_until or now() < self.cut_until:
                    status = None
                if now() - sent > 4.0:
                    status = None
            if status == 200:
                token = body.get("baton", -1)
                if token >= self.baton and tenure == self.tenure:
                    if token > self.baton:
                        self.baton = token
                        self.changed.set()
                    self.lease_from = max(self.lease_from, sent)
                    for order in body.get("orders", []):
                        self.execute(order)
            elif status == 421 and body.get("reportsTo") in world.names and (
                    world.names[body["reportsTo"]] != self.target):
                self.target = world.names[body["reportsTo"]]
                continue
            else:
                self.target = (self.target + 1) % len(world.nodes)
                await asyncio.sleep(1.0)
                continue
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(period * world.rng.uniform(0.75, 1.25) - 0.5):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def execute(self, order):
        key = (order["task"], order["try"])
        task = self.tasks.get(key)
        kind = order["order"]
        if kind == "launch" and task is None:
            self.launch(*key)
        elif kind == "forget" and task is not None and task.status == "ended":
            del self.tasks[key]
            self.changed.set()
        elif kind == "kill" and task is not None and task.status != "ended":
            job = task.job
            if (task.status == "running" and job and job.spec["savepointS"] > 0
                    and order["graceS"] >= job.spec["flushS"]):
                task.status = "saving"
                task.timer.cancel()
                task.timer = self.world.spawn(self.save(task))
            else:
                self.end(task, "halted")
            self.changed.set()

    async def save(self, task):
        await asyncio.sleep(task.job.spec["flushS"])
        task.kept = True
        self.end(task, "halted")

    def launch(self, name, number):
        job = self.world.jobs.get(name.rpartition("/")[0])
        task = self.tasks[name, number] = Task(name, number, job)
        self.world.record("worker", self.name, "launch", name, number)
        self.changed.set()
        if job is None:
            task.status, task.cause = "ended", "unknown"
            return
        if any(t is not task and t.name == name and t.status != "ended" for t in self.tasks.values()):
            task.status, task.cause = "ended", "in_use"
            return
        flavor = self.world.cloud.types[self.machine["hosttype"]]
        held = [t.job.spec for t in self.tasks.values() if t.status != "ended" and t.job]
        if (sum(s["vcpus"] for s in held) > flavor["vcpus"] + 1e-6
                or sum(s["memoryGb"] for s in held) > flavor["memoryGb"] + 1e-6):
            task.status, task.cause = "ended", "no_room"
            return
        task.timer = self.world.spawn(self.run(task))

    async def run(self, task):
        spec = task.job.spec
        if spec["bundle"] not in self.images:
            rate = self.world.cloud.types[self.machine["hosttype"]]["pullGbPerS"]
            await asyncio.sleep(spec["pullGb"] / rate)
            self.images.add(spec["bundle"])
        task.present = True
        self.world.entered(self, task)
        task.status = "running"
        self.changed.set()
        if spec["shape"] == "service":
            return
        if self.sick or task.job.broken:
            await asyncio.sleep(0.3)
            self.end(task, "error")
            return
        if task.name not in self.world.done:
            await asyncio.sleep(self.world.run_s(task))
        while now() < self.hung_until:
            await asyncio.sleep(0.05)
        self.world.finished(self, task)
        self.end(task, "done")

    def end(self, task, cause):
        task.status, task.cause = "ended", cause
        self.leave(task)
        self.changed.set()


class Job:
    def __init__(self, spec):
        self.spec, self.name = spec, spec["nameId"]
        self.broken = False
        self.accepted_at = None
        self.cancel_asked = False
        self.cancelled_at = None  # when a user was told
        self.final = None
        self.statuses = []
        self.answered_at = None


class Proxy:
    """A TCP proxy of the case: passes bytes, and on command cuts silently or resets."""

    def __init__(self, world, port, target):
        self.world, self.port, self.target = world, port, target
        self.mode = "pass"  # pass, hold (silent, bytes kept back), reset
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        while self.mode == "hold":
            await asyncio.sleep(0.05)
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(self._pump(reader, up_writer), self._pump(up_reader, writer))
        self.writers -= {writer, up_writer}

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.mode == "hold":
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()

    def set(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()


class Node:
    """One controller process, started as a platform starts it."""

    def __init__(self, world, name, port, peer_port):
        self.world, self.name, self.port, self.peer_port = world, name, port, peer_port
        self.process, self.config, self.log = None, None, None
        self.healthy = False
        self.stopped = False

    async def start(self):
        command = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("CHALKGRADE")}
        environment |= {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")} | self.world.environment
        self.log = open(self.world.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(command), str(self.config), cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log, env=environment,
        )
        self.world.record("started", self.name)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.world.record("signal", signal.Signals(number).name, self.name)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self.log:
            self.log.close()

    def memory_mb(self):
        """Return what the process holds without file pages, in MB; 0 if it has ended."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return sum(int(x.split()[1]) for x in lines if x.startswith("RssAnon")) / 1024


class World:
    """A small deployment: controllers, state service, cloud, machines, and the rules."""

    def __init__(self, record, settings=None, nodes=3, types=None, capacity=None, seed=1,
                 boot=None, environment=None):
        self.record, self.rng = record, random.Random(seed)
        self.settings = settings or small_settings()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.environment = environment or {}
        self.jobs, self.done, self.present = {}, set(), {}
        self.workers, self.background = {}, set()
        self.state = State(record, self.settings["cluster"]["state"])
        types = types or {"quad-box": flavor("quad-box", 4, 16.0, ["cebu-rack", "manila-dc"])}
        self.cloud = Cloud(self, types, self.settings["cluster"]["cloud"]["list_lag_s"], boot)
        self.cloud.capacity = capacity or {}
        ports = free_ports(4 * nodes + nodes * nodes)
        self.nodes = [Node(self, f"worker-{i}", ports.pop(), ports.pop()) for i in range(nodes)]
        self.names = {node.name: i for i, node in enumerate(self.nodes)}
        self.state_ports = [ports.pop() for _ in range(nodes)]
        self.cloud_ports = [ports.pop() for _ in range(nodes)]
        self.links = {(i, j): Proxy(self, ports.pop(), self.nodes[j].peer_port)
                      for i in range(nodes) for j in range(nodes) if i != j}
        self.run_s = lambda task: task.job.spec["expectedS"]
        self.runners = []
        self.starts = {}  # task -> times at which it became present
        self.user_session = None
        self.job_number = 400

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    async def start(self, controllers=True):
        self.user_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True))
        for i, node in enumerate(self.nodes):
            await self._serve(self.state_ports[i], self.state, node.name)
            await self._serve(self.cloud_ports[i], self.cloud, node.name)
            node.config = self.folder / f"{node.name}.toml"
            node.config.write_text(self.config_text(i))
        for proxy in self.links.values():
            await proxy.start()
        self.spawn(self.state.expire())
        self.spawn(self.cloud.snapshot())
        if controllers:
            for node in self.nodes:
                await node.start()
            await self.wait_up()

    async def _serve(self, port, service, source):
        async def handler(request):
            status, body = await service.handle(source, request)
            if service is self.state:
                counts = self.state.statuses
                counts[status] = counts.get(status, 0) + 1
            raw, headers = json.dumps(body, separators=(",", ":")).encode(), {}
            if service is self.state and self.state.encode is not None:
                headers, raw = self.state.encode(request, raw)
            return web.Response(status=status, body=raw, headers=headers,
                                content_type="application/json")
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port, shutdown_timeout=0.1).start()
        self.runners.append(runner)

    def config_text(self, index):
        node, cluster = self.nodes[index], self.settings["cluster"]
        lines = [f'member = "{node.name}"', f'zone = "{cluster["zones"][index % len(cluster["zones"])]}"',
                 f'bind = "127.0.0.1:{node.port}"', f'cluster_listen = "127.0.0.1:{node.peer_port}"']
        for other, peer in enumerate(self.nodes):
            if other != index:
                lines += ["[[others]]", f'member = "{peer.name}"',
                          f'zone = "{cluster["zones"][other % len(cluster["zones"])]}"',
                          f'addr = "127.0.0.1:{self.links[index, other].port}"']
        lines += ["[endpoints]", f'cloud = "127.0.0.1:{self.cloud_ports[index]}"',
                  f'state = "127.0.0.1:{self.state_ports[index]}"', "[cluster]",
                  f"nodes = {len(self.nodes)}", f"zones = {json.dumps(cluster['zones'])}", "skew_ms = 5.0"]
        for team in cluster["teams"]:
            lines += ["[[cluster.teams]]", *(f"{k} = {json.dumps(v)}" for k, v in team.items())]
        for part in ("workers", "state", "cloud", "quota"):
            lines += [f"[cluster.{part}]"]
            lines += [f"{k} = {json.dumps(v)}" for k, v in cluster[part].items() if not isinstance(v, dict)]
        if "next" in cluster["state"]:
            lines += ["[cluster.state.next]",
                      *(f"{k} = {json.dumps(v)}" for k, v in cluster["state"]["next"].items())]
        return "\n".join(lines) + "\n"

    async def wait_up(self, seconds=25):
        end = now() + seconds
        while now() < end:
            states = await asyncio.gather(*(self.up(node) for node in self.nodes))
            if all(states) and self.state.leader():
                return
            await asyncio.sleep(0.2)
        raise CantRun("the controllers do not come up")

    async def up(self, node):
        return (await self.ask(node, "GET", "/up", None, 1.0))[0] == 200

    async def ask(self, node, method, path, body=None, timeout=2.0):
        """Return status and body of one request of a user; (None, {}) without an answer."""
        try:
            async with asyncio.timeout(timeout):
                async with self.user_session.request(
                        method, f"http://127.0.0.1:{node.port}{path}", json=body) as reply:
                    return reply.status, json.loads(await reply.read())
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return None, {}

    def leader(self):
        name = self.state.leader()
        return self.nodes[self.names[name]] if name else None

    # -- machines --------------------------------------------------------------------

    def machine_up(self, machine):
        self.workers[machine["nameId"]] = Worker(self, machine)

    def machine_gone(self, machine):
        worker = self.workers.pop(machine["nameId"], None)
        if worker is not None:
            worker.alive = False
            worker.kill_all()
            self.spawn(worker.stop())

    def lose_machine(self, worker):
        """The machine stops with all that is on it; the list shows that half a minute later."""
        machine = worker.machine
        self.record("machine lost", worker.name)
        self.machine_gone(machine)

    async def take_back(self, name, notice_s):
        """The cloud takes a spot machine back; with a notice, its worker reports that before."""
        worker = self.workers[name]
        if notice_s:
            self.record("notice of", notice_s, "s:", name)
            worker.warning = notice_s
            worker.changed.set()
            await asyncio.sleep(notice_s)
        machine = self.cloud.machines.pop(name, None)
        if machine is not None:
            self.record("machine taken back", name)
            self.machine_gone(machine)

    def started_since(self, task, at):
        """Return whether a task became present on a machine after a time."""
        return any(started > at for started in self.starts.get(task, ()))

    def entered(self, worker, task):
        """A task has its image and is present: judge the rules that hold at this moment."""
        name, job, record = task.name, task.job, self.record
        record("run", name, task.number, "on", worker.name)
        self.starts.setdefault(name, []).append(now())
        others = self.present.setdefault(name, {})
        if others:
            record.broke("ran_twice", f"{name} starts on {worker.name} beside {list(others.values())}")
        others[task] = worker.name
        spec = job.spec
        machine = worker.machine
        bad = (spec.get("hosttypes") is not None and machine["hosttype"] not in spec["hosttypes"]) or (
            spec.get("site") is not None and machine["site"] != spec["site"]) or (
            machine["standby"] and not spec["standby"])
        zones = {}
        for other, holders in self.present.items():
            if other.rpartition("/")[0] == job.name:
                for host in holders.values():
                    site = self.workers[host].machine["site"] if host in self.workers else ""
                    zones[site] = zones.get(site, 0) + 1
        if spec["oneZone"] and len(zones) > 1:
            bad = True
        if spec["spread"] and max(zones.values(), default=0) > (spec["tasks"] + 1) // 2:
            bad = True
        if bad:
            record.broke("wrong_place", f"{name} on {worker.name} {machine['site']} {zones}")
        for team in self.settings["cluster"]["teams"]:
            used = sum(self.jobs[n.rpartition("/")[0]].spec["vcpus"] * len(h)
                       for n, h in self.present.items() if h
                       and self.jobs[n.rpartition("/")[0]].spec["owner"] == team["name"])
            if team["cpus_max"] and used > team["cpus_max"] + 1e-6:
                record.broke("quota", f"{team['name']} uses {used} of {team['cpus_max']}")
        for need in spec.get("waitsOn") or ():
            if not self.complete(need):
                record.broke("too_early", f"{name} before {need}")
        if job.cancelled_at is not None and now() > job.cancelled_at + self.cancel_s:
            record.broke("ran_cancelled", f"{name} starts {now() - job.cancelled_at:.1f} s after")

    def left(self, worker, task):
        self.record("left", task.name, task.number, worker.name)
        self.present.get(task.name, {}).pop(task, None)

    def finished(self, worker, task):
        self.done.add(task.name)

    def complete(self, name):
        job = self.jobs[name]
        return all(f"{name}/{i}" in self.done for i in range(job.spec["tasks"]))

    @property
    def cancel_s(self):
        return self.settings["cluster"]["workers"]["cancel_s"]

    async def watch_cancelled(self):
        told = set()
        while True:
            for name, holders in self.present.items():
                job = self.jobs[name.rpartition("/")[0]]
                if holders and job.cancelled_at is not None and name not in told and (
                        now() > job.cancelled_at + self.cancel_s):
                    told.add(name)
                    self.record.broke("ran_cancelled", f"{name} present "
                                      f"{now() - job.cancelled_at:.1f} s after the user was told")
            await asyncio.sleep(0.25)

    # -- users -----------------------------------------------------------------------

    def spec(self, **fields):
        self.job_number += 1
        base = {"nameId": f"run-{self.job_number:06d}", "jobclass": "logbook-ocr",
                "owner": self.settings["cluster"]["teams"][0]["name"], "shape": "batch",
                "urgency": "standard", "tasks": 1, "vcpus": 1.0, "gpus": 0.0, "memoryGb": 1.0,
                "bundle": "img-07", "pullGb": 0.1, "hosttypes": None, "site": None,
                "oneZone": False, "spread": False, "standby": True, "expectedS": 5.0,
                "savepointS": 0.0, "flushS": 0.0, "dueS": None}
        return base | fields

    def judge(self, job, node, status, body, asked_at, what):
        """Judge one answer of a controller about a job."""
        record = self.record
        record(what, job.name, "at", node.name, "->", status, body.get("status", body.get("error", "")))
        known = job.accepted_at is not None and asked_at > job.accepted_at
        if status == 404 and known:
            record.broke("forgotten", f"{job.name}: 404 at {node.name}")
        if status in (400, 422) and known:
            record.broke("forgotten", f"{job.name}: {status} at {node.name}")
        if status in (200, 201) and what == "submit" and job.accepted_at is None:
            job.accepted_at = now()
        if status not in (200, 201):
            return
        job.answered_at = now()
        said = body.get("status")
        if job.final is not None and asked_at > job.final[1] and said != job.final[0]:
            record.broke("went_back", f"{job.name}: {said} at {node.name} after {job.final[0]}")
        if said == "done" and not self.complete(job.name):
            record.broke("not_done", f"{job.name} at {node.name}")
        if said == "withdrawn" and not job.cancel_asked and not self.cancelled_before(job):
            record.broke("went_back", f"{job.name}: withdrawn, nobody asked")
        if said in ("done", "withdrawn") and job.final is None:
            job.final = (said, now())
            if said == "withdrawn":
                job.cancelled_at = now()

    def cancelled_before(self, job):
        return any(self.jobs[n].cancel_asked or self.cancelled_before(self.jobs[n])
                   for n in job.spec.get("waitsOn") or ())

    def balance(self):
        """Return a controller as the load balancer would: one that is up, at random."""
        return self.rng.choice([n for n in self.nodes if n.process and n.process.returncode is None]
                               or self.nodes)

    async def submit(self, spec, node=None, seconds=60.0):
        """Submit a job until it is accepted or refused; returns the last status."""
        job = self.jobs.setdefault(spec["nameId"], Job(spec))
        end, status = now() + seconds, None
        while now() < end:
            at, asked_at = node or self.balance(), now()
            status, body = await self.ask(at, "POST", "/v2/runs", spec, 5.0)
            self.judge(job, at, status, body, asked_at, "submit")
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1.0)
        return status

    async def poll(self, name, node=None):
        at, asked_at = node or self.balance(), now()
        status, body = await self.ask(at, "GET", f"/v2/runs/{name}", None, 2.0)
        self.judge(self.jobs[name], at, status, body, asked_at, "poll")
        return status, body

    async def cancel(self, name, node=None, seconds=60.0):
        job = self.jobs[name]
        job.cancel_asked = True
        end = now() + seconds
        while now() < end:
            at, asked_at = node or self.balance(), now()
            status, body = await self.ask(at, "POST", f"/v2/runs/{name}/abort", None, 5.0)
            self.judge(job, at, status, body, asked_at, "abort")
            if status == 200 and body.get("status") in ("withdrawn", "done"):
                return body["status"]
            await asyncio.sleep(1.0)
        return None

    async def close(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            await node.kill()
        for worker in list(self.workers.values()):
            await worker.stop()
        if self.user_session is not None:
            await self.user_session.close()
        for task in list(self.background):
            task.cancel()
        for runner in self.runners:
            await runner.cleanup()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def running(world, name):
    """Wait until a job runs."""
    for _ in range(60):
        if (await world.poll(name))[1].get("status") == "running":
            return
        await asyncio.sleep(0.5)
    raise CantRun(f"{name} does not start")


class CantRun(Exception):
    """The case could not run on this machine (exit code 2)."""


def flavor(sku, vcpus, memory, sites, price=0.26, rate=1.0, boot=2.0):
    """Return a machine type as the cloud lists it."""
    return {"sku": sku, "vcpus": vcpus, "gpus": 0, "memoryGb": memory, "localGb": 60,
            "pullGbPerS": rate, "hourly": price, "spotPrice": price * 0.4, "bootS": boot,
            "sites": sites}


def small_settings(**changes):
    """Return settings like those of ulan-archive in BRIEF."""
    cluster = {
        "zones": ["cebu-rack", "manila-dc"],
        "teams": [
            {"name": "ledger-desk", "cpus": 120.0, "cpus_max": 240.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "forecast-link", "cpus": 80.0, "cpus_max": 240.0, "gpus": 0.0, "gpus_max": 0.0},
        ],
        "workers": {"report_s": 3.0, "lease_s": 16.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0,
                    "cancel_s": 41.0},
        "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 5.0, "list_lag_s": 5.0},
        "quota": {"cpu": 0.25, "ram_mb": 186.0, "sockets": 1200},
    }
    return {"cluster": cluster | changes}


def main(case, folder, seconds=120, **world):
    """Run a case: `case(world)` within its time; exit with 1 if a rule broke, 0 if not, 2 if it can't run."""
    record = Record(Path(folder) / "record.txt")
    record("TROUBLE", int(TROUBLE))

    async def whole():
        place = World(record, **world)
        try:
            async with asyncio.timeout(seconds - 6):
                await case(place)
        finally:
            await place.close()

    code = 0
    try:
        asyncio.run(whole())
    except (CantRun, TimeoutError, OSError) as error:
        record("can't run:", type(error).__name__, error)
        code = 2
    code = 1 if record.broken else code
    record("exit", code)
    print("exit", code, *sorted({rule for rule, _ in record.broken}))
    sys.exit(code)
