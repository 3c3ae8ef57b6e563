"""Stand-ins for clients, workers, the operator and the platform, and the start of the project's programs.

Standard library only. Everything runs on loopback addresses of one random /24 of 127.0.0.0/8.
"""
import asyncio, ctypes, json, os, random, shutil, signal, socket, subprocess, sys, tempfile, time, traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "9dnn2ctnfzs989anu6ws"
HOST = "pule25.example"
HELD, BROKEN, UNFIT = 0, 1, 2
BOUNDS = {
    "revoke-deadline-ms": 5000, "grace-period-s": 8, "retry-ratio": 0.2, "retry-slack": 56,
    "retry-window-s": 10, "evac-timeout-ms": "",
}
ZONES = ["rockland", "bucksport", "portland"]


LIBC = ctypes.CDLL(None)


def end_with_parent():
    """The process is killed when the script ends, however it ends (PR_SET_PDEATHSIG)."""
    LIBC.prctl(1, signal.SIGKILL)


class Unfit(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.f = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.f.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.f.flush()


def free_port(ips, count):
    """Returns the first of `count` ports in a row that are free on all addresses."""
    while True:
        first = random.randrange(20000, 31000)
        try:
            for ip in ips:
                for port in range(first, first + count):
                    with socket.socket() as s:
                        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        s.bind((ip, port))
            return first
        except OSError:
            continue


class System:
    """Cores and edges, one of each per machine address, started with the commands of the deploy file."""

    def __init__(self, record, cores=3, edges=1, bounds=None, edge_env=None):
        self.record = record
        self.net = f"127.{random.randrange(10, 250)}.{random.randrange(10, 250)}"
        self.core_ips = [f"{self.net}.{1 + n}" for n in range(cores)]
        self.edge_ips = [f"{self.net}.{41 + n}" for n in range(edges)]
        ips = self.core_ips + self.edge_ips
        self.first = free_port(ips, 19)
        self.client, self.ready, self.admin = (self.first + n for n in (16, 17, 18))
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.worker_count = 0

    def worker_ip(self):
        self.worker_count += 1
        return f"{self.net}.{100 + self.worker_count}"

    def seeds(self):
        return [f"{ip}:{self.admin}" for ip in self.core_ips[:3]]

    def settings(self, name, bootstrap):
        role, n = name.split("-")
        n = int(n)
        ip = (self.core_ips if role == "core" else self.edge_ips)[n]
        is_core = role == "core"
        fields = {
            "node-name": f"{role}-{ZONES[n % 3]}-{n + 1}", "zone": ZONES[n % 3], "bind-ip": ip,
            "internal-ports": f"{self.first},{self.first + 15}",
            "listen.client-addr": "" if is_core else f"{ip}:{self.client}",
            "listen.readiness-addr": "" if is_core else f"{ip}:{self.ready}",
            "listen.admin": f"{ip}:{self.admin}" if is_core else "",
            "seed-addrs": ",".join(self.seeds()), "bootstrap": "true" if bootstrap else "false",
            "fault-tolerance.nodes": "1",
            "data-dir": os.path.join(self.folder, name, "data") if is_core else "",
            "heartbeat-ms": "1200", "limits.memory-mb": "260", "limits.max-fds": "4100",
            "limits.link-mbps": "1000.0",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,stages",
        }
        fields.update({f"bounds.{k}": str(v) for k, v in self.bounds.items()})
        text = open(os.path.join(ROOT, "deploy", "settings.ini")).read()
        # The only section in the template: the regions of the zones.
        start = text.index("{{#zones}}")
        end = text.index("{{/zones}}") + len("{{/zones}}")
        text = text[:start] + ",".join(f"{z}:gulf-maine" for z in ZONES) + text[end:]
        for key, value in fields.items():
            text = text.replace("{{" + key + "}}", value)
        if "{{" in text:
            raise Unfit("the template has a field that is not known here: " + text[text.index("{{"):][:60])
        os.makedirs(os.path.join(self.folder, name, "data"), exist_ok=True)
        path = os.path.join(self.folder, name, "local.ini")
        with open(path, "w") as f:
            f.write(text)
        return path

    def start(self, name, bootstrap=False):
        role = name.split("-")[0]
        program = os.path.join(ROOT, "target", "release", f"jujube-{role}")
        if not os.path.exists(program):
            raise Unfit(f"{program} is missing; run the build of the deploy file")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["JUJUBEFERRY_CONFIG"] = self.settings(name, bootstrap)
        log = open(os.path.join(self.folder, name, "log"), "ab")
        self.processes[name] = subprocess.Popen([program], cwd=ROOT, env=env, stdout=log, stderr=log,
                                                preexec_fn=end_with_parent)
        self.record(f"platform: {name} started")

    def signal(self, name, sig):
        self.record(f"platform: {name} gets {signal.Signals(sig).name}")
        self.processes[name].send_signal(sig)

    async def start_all(self, configuration):
        for n in range(len(self.core_ips)):
            self.start(f"core-{n}", True)
        for n in range(len(self.edge_ips)):
            self.start(f"edge-{n}", True)
        await self.configure(configuration)

    async def configure(self, configuration, tries=60):
        body = json.dumps(configuration).encode()
        for n in range(tries):
            ip = self.core_ips[n % len(self.core_ips)]
            try:
                status, _, _ = await asyncio.wait_for(
                    call(ip, self.admin, "POST", "/Config.Replace", {"Content-Type": "application/json"}, body), 2)
            except (OSError, asyncio.TimeoutError, EOFError):
                status = None
            if status == 200:
                self.record(f"operator: version {configuration['version']} acknowledged by {ip}")
                return
            await asyncio.sleep(0.3)
        raise Unfit("no core acknowledged the configuration")

    async def await_ready(self, name, limit=25):
        ip = self.edge_ips[int(name.split("-")[1])]
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                status, _, _ = await asyncio.wait_for(call(ip, self.ready, "GET", "/readyz"), 1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.2)
        raise Unfit(f"{name} is not ready")

    def stop(self, keep=False):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if not keep and not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


# HTTP -----------------------------------------------------------------------------------------

class Broken(Exception):
    """An answer ended early."""


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_answer, on_part=None):
    """Reads a body; `on_part` gets each part as it comes."""
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += part
            if on_part:
                on_part(part)
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
        if on_part and body:
            on_part(body)
        return body
    if not is_answer:
        return b""
    while part := await reader.read(65536):
        body += part
        if on_part:
            on_part(part)
    return body


def request_bytes(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(ip, port, method, path, headers=None, body=b"", on_head=None, on_part=None):
    """Sends one request on a new connection; returns status, headers and body."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(request_bytes(method, path, {"Host": f"{ip}:{port}", **(headers or {})}, body))
        await writer.drain()
        line, got = await read_head(reader)
        status = int(line.split()[1])
        if on_head:
            on_head(status, got)
        try:
            text = await read_body(reader, got, True, on_part)
        except (asyncio.IncompleteReadError, ConnectionError) as e:
            raise Broken(f"{status}, then the connection ended early: {e}") from e
        return status, got, text
    finally:
        writer.close()


class Connection:
    """One connection of a caller to a worker."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.held = b""  # bytes that go out before the next answer

    async def answer(self, status, headers, body=b""):
        await self.send(answer_bytes(status, headers, body))

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()


def answer_bytes(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} x"] + [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Worker:
    """A worker: listens, sends heartbeats, and passes requests to `handle`."""

    def __init__(self, system, service, zone, slots, name=None):
        self.system, self.record, self.service, self.zone, self.slots = system, system.record, service, zone, slots
        self.id = name or f"i-{random.getrandbits(40):010x}"
        self.ip = system.worker_ip()
        self.port = free_port([self.ip], 1)
        self.address = f"{self.ip}:{self.port}"
        self.sequence, self.state, self.beat_at = 0, "ready", None
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.connection, self.ip, self.port, limit=1 << 20)
        self.tasks.append(asyncio.ensure_future(self.beat()))

    def beat_body(self):
        self.sequence += 1
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
                "max-concurrency": self.slots, "state": self.state, "cold-left-ms": 0, "sequence": self.sequence}

    async def beat(self):
        n = random.randrange(8)
        while True:
            body = json.dumps(self.beat_body()).encode()
            for _ in range(len(self.system.core_ips) + 1):
                ip = self.system.core_ips[n % len(self.system.core_ips)]
                try:
                    status, _, _ = await asyncio.wait_for(call(
                        ip, self.system.admin, "POST", f"/Instances.Heartbeat/{self.id}",
                        {"Content-Type": "application/json"}, body), 1)
                    if 200 <= status < 300:
                        break
                except (OSError, asyncio.TimeoutError, EOFError, Broken):
                    pass
                n += 1
            await asyncio.sleep(1.2)

    async def connection(self, reader, writer):
        connection = Connection(reader, writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers, False)
                method, path, _ = line.split(" ", 2)
                if path == "/healthz":
                    await connection.answer(200, {"X-Instance-Id": self.id, "X-Server-Load": f"0,0,{self.slots}"})
                    continue
                if headers.get("x-expect-instance", self.id) != self.id:
                    await connection.answer(421, {"X-Instance-Id": self.id})
                    continue
                await self.handle(connection, method, path, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


class StageWorker(Worker):
    """A worker of a stage's service: runs one call at a time, a few wait, results take up space."""

    def __init__(self, system, zone, pieces, results, service="kafi81c", real_mb=None):
        super().__init__(system, service, zone, pieces["max-concurrency"])
        self.pieces, self.results, self.real_mb = pieces, results, real_mb
        self.turn = asyncio.Semaphore(pieces["max-concurrency"])
        self.in_calls = 0
        self.answers = 0
        self.copies = 0

    def used_mb(self):
        return sum(r["mb"] for r in self.results.values() if r["maker"] == self.id)

    async def handle(self, connection, method, path, headers, body):
        if path == "/stage-free":
            for handle in json.loads(body)["handles"]:
                if self.results.get(handle, {}).get("maker") == self.id:
                    del self.results[handle]
            return await connection.answer(200, {})
        if path != "/stage-run":
            return await connection.answer(404, {})
        items = json.loads(body)["items"]
        arrived = time.monotonic()
        what = " ".join(f"{i['id']}/{i['stage']}/{i['piece']}" for i in items)
        load = lambda: {"X-Server-Load": f"{min(self.in_calls, self.slots)},{max(0, self.in_calls - self.slots)},{self.slots}"}
        if self.in_calls >= self.slots + self.pieces["queue"]:
            self.record(f"stage {self.id}: full, refuses [{what}]")
            return await connection.answer(503, {"X-Not-Executed": "1", **load()})
        self.in_calls += 1
        if connection.held:
            data, connection.held = connection.held, b""
            self.record(f"stage {self.id}: its extra answer comes where the answer to [{what}] is expected")
            await connection.send(data)
        try:
            async with self.turn:
                made, work, fails = [], 0, self.fails()
                for item in items:
                    left = item.get("left-ms")
                    if left is not None and (time.monotonic() - arrived) * 1e3 >= left:
                        made.append({"reason": "late"})
                    elif any(h not in self.results for h in item.get("inputs", [])):
                        made.append({"reason": "gone"})
                    elif self.used_mb() + self.real_mb > self.pieces["headroom-mb"]:
                        made.append({"reason": "room"})
                    elif fails:
                        made.append({"reason": "error"})
                    else:
                        handle = f"{self.address}/{random.getrandbits(44):011x}"
                        self.results[handle] = {"maker": self.id, "mb": self.real_mb, "id": item["id"],
                                                "stage": item["stage"], "piece": item["piece"]}
                        made.append({"handle": handle})
                        work += 1
                if work or fails:
                    await asyncio.sleep((self.pieces["call-cost-ms"] + work * self.pieces["item-ms"]) / 1e3)
        finally:
            self.in_calls -= 1
        for m in made:
            if "handle" in m:
                asyncio.get_running_loop().call_later(
                    self.pieces["handle-s"], lambda h=m["handle"]: self.results.pop(h, None))
        answer = answer_bytes(200, {"Content-Type": "application/json", **load()}, json.dumps({"items": made}).encode())
        self.answers += 1
        self.record(f"stage {self.id}: [{what}] -> " + " ".join(m.get("handle", m.get("reason")) for m in made))
        self.garble(connection, made, answer)
        await connection.send(answer)

    def fails(self):
        """Returns true if the items of a call end with the reason `error`. Overridden by cases."""
        return False

    def garble(self, connection, made, answer):
        """Overridden by cases."""


def events(n, text="x"):
    return f"id: {n}\ndata: {text}\n\n".encode()


async def client(system, edge, record, path, attempt, deadline_ms, headers=None, body=b"", on_head=None):
    """One attempt of a client. Returns the status, or None if the connection ended without a complete answer."""
    head = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}", **(headers or {})}
    ip = system.edge_ips[edge]
    record(f"client: {attempt} sent to {ip}")
    try:
        status, got, text = await asyncio.wait_for(
            call(ip, system.client, "POST", path, head, body, on_head), deadline_ms / 1e3 + 1)
        record(f"client: {attempt} answered {status}, {len(text)} bytes, stamp {got.get('x-server-stamp')}, "
               f"retry-after {got.get('retry-after')}")
        return status, got, text
    except (asyncio.TimeoutError, TimeoutError):
        record(f"client: {attempt} gives up at its deadline")
        return "late", {}, b""
    except (Broken, asyncio.IncompleteReadError, ConnectionError) as e:
        record(f"client: {attempt} no complete answer: {type(e).__name__} {e}")
        return None, {}, b""


def tenants():
    return [{"name": "bozi300", "api-keys": [KEY], "priority": 1}]


LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}


def run(folder, main):
    """Runs the case and exits with its result."""
    record = Record(folder)

    async def limited():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(main(record), 108)

    try:
        code = asyncio.run(limited())
    except Unfit as e:
        record(f"the case could not run: {e}")
        code = UNFIT
    except BaseException:  # interrupted, or the harness itself failed
        record("the case could not run: " + traceback.format_exc().replace(ROOT, "."))
        code = UNFIT
    record({HELD: "result: the rule held", BROKEN: "result: the rule is broken", UNFIT: "result: not run"}[code])
    print({HELD: "held", BROKEN: "broken", UNFIT: "not run"}[code])
    sys.exit(code)
