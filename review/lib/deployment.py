"""A small deployment on loopback: the project's own programs as processes, and stand-ins for workers,
clients and the operator that follow the protocol page. Standard library only."""
import asyncio, ctypes, json, os, random, re, shutil, signal, socket, subprocess, sys, tempfile, time, traceback
from urllib.parse import quote

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HOST = "desk.example"
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TOUCH_S = 3.0        # contact-ms
DRAIN_S = 2.0        # drain-timeout-ms
BEAT_S = 1.2         # heartbeat-ms
RESTART_S = 0.5      # "restarted after a short delay"


PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


class CantRun(Exception):
    pass


def die_with_parent():
    """Runs in a started process before its program: the kernel kills it when this script ends, however it ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        if not self.file.closed:
            self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


def run_commands():
    """The commands of the roles, from the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        roles = re.findall(r'^\[roles\.(\w+)\]\nrun = "([^"]+)"', f.read(), re.MULTILINE)
    commands = {}
    for name, run in roles:
        program, *words = run.split()
        commands[name] = [os.path.join(ROOT, program), *words]
    return commands


def free_ports(addresses, count):
    """A first port of `count` that are free on all addresses, below the ephemeral range."""
    for _ in range(200):
        first = random.randrange(20000, 31000)
        sockets = []
        try:
            for address in addresses:
                for port in range(first, first + count):
                    s = socket.socket()
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sockets.append(s)
                    s.bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CantRun("no free ports")


async def call(address, method, path, headers=(), body=b"", timeout=5.0):
    """One HTTP call on a new connection: (status, headers, body); raises OSError or TimeoutError."""
    async def talk():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
            writer.write(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(talk(), timeout)


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split()[1])
    headers = dict((k.strip().lower(), v.strip()) for k, v in (line.split(":", 1) for line in head[1:] if line))
    if "content-length" in headers:
        return status, headers, await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return status, headers, body
            body += piece
    return status, headers, await reader.read()


class Node:
    """One machine with one process of the system."""

    def __init__(self, deployment, role, name, ip, zone):
        self.d, self.role, self.name, self.ip, self.zone = deployment, role, name, ip, zone
        self.process = None

    def address(self, offset):
        return (self.ip, self.d.first_port + offset)

    @property
    def client(self):
        return self.address(3)

    @property
    def readiness(self):
        return self.address(4)

    @property
    def control(self):
        return self.address(5)

    def start(self, bootstrap=False):
        d = self.d
        text = lambda address: f"{address[0]}:{address[1]}"
        listen = {"edge": f"callers = {text(self.client)}\nreadiness = {text(self.readiness)}\ncontrol = \n",
                  "core": f"callers = \nreadiness = \ncontrol = {text(self.control)}\n"}[self.role]
        data = os.path.join(d.folder, f"data-{self.name}") if self.role == "core" else ""
        settings = os.path.join(d.folder, f"{self.name}.ini")
        with open(settings, "w") as f:
            f.write(f"[vm]\nname = {self.name}\navailability_zone = {self.zone}\n\n"
                    f"[listen]\naddress = {self.ip}\ninternal_ports = {d.first_port},{d.first_port + 2}\n{listen}"
                    f"metrics = {text(self.address(6))}\n\n"
                    f"[group]\nseeds = {','.join(text(c.control) for c in d.cores[:3])}\n"
                    f"founding = {'true' if bootstrap else 'false'}\nfailures = 1\n\n[data]\nfolder = {data}\n\n"
                    "[bounds]\nbeat_ms = 1200\nrevoke_ms = 5000\ngrace_s = 8.0\nretry_ratio = 0.2\n"
                    "retry_slack = 56.0\nretry_window_s = 10\n\n[log]\nlevel = info\n")
        log = open(os.path.join(d.folder, f"{self.name}.log"), "a")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["JUJUBEFERRY_CONFIG"] = settings
        self.process = subprocess.Popen(d.commands[self.role], cwd=ROOT, env=env, stdout=log, stderr=log,
                                        preexec_fn=die_with_parent)
        log.close()
        d.record(f"start {self.name}")

    def signal(self, number):
        self.process.send_signal(number)
        self.d.record(f"signal {signal.Signals(number).name} to {self.name}")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.d.record(f"kill {self.name}")
            self.process.wait()


class Worker:
    """A worker of a plain service that follows the protocol page."""

    def __init__(self, deployment, id, service, zone, ip, slots=6, work_s=0.02):
        self.d, self.id, self.service, self.zone, self.ip = deployment, id, service, zone, ip
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.beats_to = None
        self.port = None
        self.runs = []          # (time, attempt id)
        self.server = self.task = None

    async def start(self, beats=True):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        if beats:
            self.task = asyncio.create_task(self.beat_forever())

    def body(self, **more):
        self.sequence += 1
        return json.dumps({"service": self.service, "addr": f"{self.ip}:{self.port}", "zone": self.zone,
                           "version": "v1", "max-concurrency": self.slots, "state": "ready", "cold-left-ms": 0,
                           "sequence": self.sequence, "born": self.born, **more}).encode()

    async def tell(self, node, path, body):
        """One call to a core; True if it is acknowledged within a second."""
        try:
            status, _, answer = await call(node.control, "POST", f"{path}/{quote(self.id)}",
                                           [("Host", "control"), ("Content-Type", "application/json")], body, 1.0)
            return 200 <= status < 300 and len(answer) <= 4096
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def beat_once(self, node=None):
        """A heartbeat to `node`, or to the last node that answered, or to the next that does."""
        if node:
            return await self.tell(node, "/Instances.Heartbeat", self.body())
        order = sorted(self.d.cores, key=lambda c: (c is not self.beats_to, c.zone != self.zone))
        for core in order:
            if await self.tell(core, "/Instances.Heartbeat", self.body()):
                self.beats_to = core
                return True
        return False

    async def beat_forever(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(BEAT_S)

    async def stop(self):
        if self.task:
            self.task.cancel()
        if self.server:
            self.server.close()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ", 2)
                headers = dict((k.strip().lower(), v.strip()) for k, v in
                               (line.split(":", 1) for line in head[1:] if line))
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                if not await self.answer(writer, method, path, headers, body):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, path, headers, body):
        attempt = headers.get("x-attempt-id", "")
        load = f"X-Server-Load: {self.running},0,{self.slots}\r\n"
        if path == "/healthz":
            writer.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.id}\r\n{load}Content-Length: 0\r\n\r\n".encode())
            return True
        echo = f"X-Attempt-Id: {attempt}\r\n" if attempt else ""
        if headers.get("x-expect-instance", self.id) != self.id:
            self.d.record(f"{self.id} answers 421 to {attempt}")
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{echo}X-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        if self.running >= self.slots:
            writer.write(f"HTTP/1.1 503 Service Unavailable\r\n{echo}X-Not-Executed: 1\r\n{load}"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        return await self.run(writer, attempt, headers, echo, load)

    def note_run(self, attempt):
        self.runs.append((self.d.record.now(), attempt))
        self.d.record(f"{self.id} runs {attempt}")

    async def run(self, writer, attempt, headers, echo, load):
        self.note_run(attempt)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = f"{self.id} ran {attempt}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}X-Server-Stamp: {self.id}.{attempt}\r\n{load}"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True


class Deployment:
    def __init__(self, folder, cores=("a", "b", "c"), edges=("a", "b", "c")):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="jujube-review-")
        self.commands = run_commands()
        for command in self.commands.values():
            if not os.path.exists(command[0]):
                raise CantRun(f"{command[0]} is not built")
        third = os.getpid() % 200 + 20
        self.cores = [Node(self, "core", f"core-{zone}-{i}", f"127.{third}.1.{i + 1}", zone) for i, zone in enumerate(cores)]
        self.edges = [Node(self, "edge", f"edge-{zone}-{i}", f"127.{third}.2.{i + 1}", zone) for i, zone in enumerate(edges)]
        self.worker_ip = f"127.{third}.3.%d"
        self.first_port = free_ports([n.ip for n in self.cores + self.edges], 7)
        self.workers = []
        self.answers = []       # (time sent, time answered, edge, id, status, body)
        self.attempt = 0
        self.sent = {}          # when its client sent each attempt

    def start(self):
        for node in self.cores + self.edges:
            node.start(bootstrap=node.role == "core")

    async def worker(self, id, service, zone, **options):
        worker = Worker(self, id, service, zone, self.worker_ip % (len(self.workers) + 1), **options)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def answers_again(self, nodes, within=10.0):
        """Waits until the control addresses of `nodes` take calls; returns when the last one did."""
        until = time.monotonic() + within
        for node in nodes:
            while True:
                try:
                    await call(node.control, "GET", "/Config.Get", [("Host", "control")], b"", 2.0)
                    break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    if time.monotonic() > until:
                        raise CantRun(f"{node.name} doesn't come back")
                    await asyncio.sleep(0.02)
        return self.record.now()

    def judged_runs(self, worker, since):
        """Runs of `worker` whose request was sent by its client, and reached the worker, after `since`."""
        return [at for at, attempt in worker.runs if at > since and self.sent.get(attempt, 0) > since]

    async def configure(self, configuration, within=20.0):
        """Sends a configuration until it is acknowledged; returns when that was."""
        body = json.dumps(configuration).encode()
        until = time.monotonic() + within
        while time.monotonic() < until:
            for core in self.cores:
                try:
                    status, _, answer = await call(core.control, "POST", "/Config.Replace",
                                                   [("Host", "control"), ("Content-Type", "application/json")], body, 1.0)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    continue
                self.record(f"configuration {configuration['version']} at {core.name}: {status}")
                if status == 200:
                    return self.record.now()
                if status in (400, 409, 412, 413, 422):
                    raise CantRun(f"configuration refused: {answer!r}")
            await asyncio.sleep(0.2)
        raise CantRun("no acknowledgement of the configuration")

    async def ready(self, within=20.0):
        until = time.monotonic() + within
        for edge in self.edges:
            while True:
                try:
                    if (await call(edge.readiness, "GET", "/readyz", [("Host", "edge")], b"", 1.0))[0] == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    pass
                if time.monotonic() > until:
                    raise CantRun(f"{edge.name} isn't ready")
                await asyncio.sleep(0.05)

    async def ask(self, edge, path, method="POST", body=b"hello", deadline_ms=1500, headers=(), key=KEY, id=None):
        """One client attempt; returns (status or None, headers, body, id)."""
        self.attempt += 1
        id = id or f"{random.getrandbits(40):010x}{self.attempt:06x}"
        sent = self.record.now()
        self.sent[id] = sent
        self.record(f"client sends {id} to {edge.name} {method} {path}")
        lines = [("Host", HOST), ("X-Attempt-Id", id), ("X-Deadline-Ms", deadline_ms), *headers]
        if key:
            lines.append(("Authorization", f"Token {key}"))
        try:
            status, answered, content = await call(edge.client, method, path, lines, body, deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as e:
            status, answered, content = None, {}, repr(e).encode()
        self.record(f"client gets {id}: {status} {content[:60]!r}")
        self.answers.append((sent, self.record.now(), edge.name, id, status, content))
        return status, answered, content, id

    async def stream_of_requests(self, edge, path, gap_s, **options):
        """Sends requests at a steady pace until cancelled."""
        tasks = set()
        try:
            while True:
                task = asyncio.create_task(self.ask(edge, path, **options))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(gap_s)
        finally:
            for task in tasks:
                task.cancel()

    def end(self):
        for node in self.cores + self.edges:
            node.kill()
        self.record.close()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def plain_configuration(version, **more):
    route = lambda name, kind, service, **fields: {
        "name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": kind, "timeout-ms": 1500, "slo-ms": 300,
        "priority": 0, "service": service, "attempts": 1, "public": False, **fields}
    return {"version": version,
            "routes": [route("book", "unsafe", "desk"), route("look", "safe", "desk", attempts=2)],
            "services": [{"name": "desk", "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}], **more}


def main(case, folder):
    """Runs `case(deployment)`, which returns True if the rule held. Exits with 0, 1 (broken) or 2."""
    async def play():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        deployment = Deployment(folder)
        try:
            return await asyncio.wait_for(case(deployment), 110)
        finally:
            deployment.end()
            for worker in deployment.workers:
                await worker.stop()
    try:
        held = asyncio.run(play())
    except (CantRun, asyncio.TimeoutError, asyncio.CancelledError) as e:
        print(f"can't run: {e!r}")
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    sys.exit(0 if held else 1)
