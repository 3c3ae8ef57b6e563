"""Stand-ins for the platform, the operator, clients and workers, and the processes of one deployment.

Everything runs on loopback addresses with the real clock. Python's standard library alone.
"""
import ctypes
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "9dnn2ctnfzs989anu6ws"
HOST = "desk.example"


class CannotRun(Exception):
    """The case could not be set up; exit code 2."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.note(f"TROUBLE={'1' if TROUBLE else '0'}")

    def note(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def end_with_parent():
    """Runs in a new process: it gets SIGKILL when the script ends, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


def on_one_core(n):
    """Returns what process `n` does at its start: "the processor list report[s] [...] one core" (DEPLOY.md)."""
    cores = sorted(os.sched_getaffinity(0))
    core = cores[(os.getpid() + n) % len(cores)]

    def prepare():
        end_with_parent()
        os.sched_setaffinity(0, {core})

    return prepare


METRICS_PORT = 9464  # as in deploy/settings.ini


def free_port(hosts, count):
    """Returns the first of `count` ports that are free on all `hosts`, below the ephemeral range."""
    for host in hosts:
        with socket.socket() as s:
            s.bind((host, METRICS_PORT))
    for first in range(20_000 + os.getpid() % 8_000, 31_000, count):
        sockets = []
        try:
            for port in range(first, first + count):
                for host in hosts:
                    s = socket.socket()
                    sockets.append(s)
                    s.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CannotRun("no free ports")


def render(template, values):
    """Fills in the template of the deploy file, as DEPLOY.md tells."""

    def lookup(scope, path):
        for part in path.split("."):
            scope = scope.get(part) if isinstance(scope, dict) else None
        return scope

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        return str(value)

    def section(found):
        entries = list((lookup(values, found[1]) or {}).items())
        parts = []
        for n, (key, value) in enumerate(entries):
            part = found[2].replace("{{@}}", key).replace("{{.}}", text(value))
            parts.append(part.replace("{{,}}", "," if n + 1 < len(entries) else ""))
        return "".join(parts)

    filled = re.sub(r"\{\{#([\w-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", lambda m: text(lookup(values, m[1])), filled)


class Deployment:
    """Cores and edges as processes of their own, started with the commands of the deploy file."""

    def __init__(self, record, cores=3, edges=1, zones=("rockland", "bucksport", "portland"),
                 bounds=None, limits=None, links=None):
        self.record, self.zones = record, zones
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        # A part of the loopback range for this run, since the metrics port is fixed.
        part = f"127.{os.getpid() % 199 + 20}.{os.getpid() // 199 % 250}"
        self.core_hosts = [f"{part}.{n + 1}" for n in range(cores)]
        self.edge_hosts = [f"{part}.{n + 101}" for n in range(edges)]
        try:
            self.base = free_port(self.core_hosts + self.edge_hosts, 24)
        except OSError as e:
            raise CannotRun(f"no free ports: {e}") from e
        self.bounds, self.limits = bounds or {}, limits or {}
        self.seeds = [f"{host}:{self.base + 20}" for host in self.core_hosts[:3]]
        self.processes = {}
        for program in ("jujube-core", "jujube-edge"):
            if not (ROOT / "target/release" / program).exists():
                raise CannotRun(f"target/release/{program} is not built")
        self.template = (ROOT / "deploy/settings.ini").read_text()

    def start(self):
        for n in range(len(self.core_hosts)):
            self.start_process("core", n, bootstrap=True)
        for n in range(len(self.edge_hosts)):
            self.start_process("edge", n, bootstrap=True)

    def settings(self, role, n, bootstrap):
        host = (self.core_hosts if role == "core" else self.edge_hosts)[n]
        bounds = {"revoke-deadline-ms": 5000, "grace-period-s": 8, "retry-ratio": 0.2,
                  "retry-window-s": 10, "retry-slack": 56, **self.bounds}
        limits = {"memory-mb": 256 if role == "core" else 260, "max-fds": 4096,
                  "link-mbps": 1000.0, **self.limits.get(role, {})}
        listen = {"admin": f"{host}:{self.base + 20}"} if role == "core" else {
            "client-addr": f"{host}:{self.base + 21}", "readiness-addr": f"{host}:{self.base + 22}"}
        return {
            "node-name": f"{role}-{n}", "zone": self.zones[n % len(self.zones)], "bind-ip": host,
            "internal-ports": [self.base, self.base + 15], "listen": listen,
            "seed-addrs": self.seeds, "bootstrap": bootstrap,
            "fault-tolerance": {"nodes": (len(self.core_hosts) - 1) // 2},
            "data-dir": str(self.folder / f"data-{role}-{n}"), "heartbeat-ms": 1200,
            "bounds": bounds, "limits": limits, "zones": {zone: "gulf-maine" for zone in self.zones},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "stages"],
        }

    def start_process(self, role, n, bootstrap=False):
        name = f"{role}-{n}"
        path = self.folder / f"{name}.ini"
        path.write_text(render(self.template, self.settings(role, n, bootstrap)))
        log = open(self.folder / f"{name}.log", "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["JUJUBEFERRY_CONFIG"] = str(path)
        self.processes[name] = subprocess.Popen(
            [str(ROOT / "target/release" / f"jujube-{role}")], env=env, cwd=ROOT, stdout=log,
            stderr=log, start_new_session=True, preexec_fn=on_one_core(n))
        self.record.note(f"started {name}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.note(f"{signal.Signals(number).name} to {name}")

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def control(self, n=0):
        return self.core_hosts[n], self.base + 20

    def callers(self, n=0):
        return self.edge_hosts[n], self.base + 21

    def memory_mb(self, name):
        """Resident memory of a process without the pages of files such as its program."""
        text = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        return int(re.search(r"RssAnon:\s+(\d+)", text)[1]) / 1024

    def is_ready(self, n=0):
        try:
            return call((self.edge_hosts[n], self.base + 22), "GET", "/readyz", timeout=1)[0] == 200
        except OSError:
            return False

    def wait_ready(self, limit=20):
        until = time.monotonic() + limit
        while not all(self.is_ready(n) for n in range(len(self.edge_hosts))):
            if time.monotonic() > until:
                raise CannotRun("the edges are not ready")
            time.sleep(0.1)

    def configure(self, configuration, limit=20, first=0):
        """Sends a configuration like the operator: unchanged, to the cores in turn, until acknowledged."""
        body = json.dumps(configuration)
        until, n = time.monotonic() + limit, first
        while time.monotonic() < until:
            try:
                status, _, _ = call(self.control(n % len(self.core_hosts)), "POST", "/Config.Replace",
                                    body, {"Content-Type": "application/json"}, timeout=4)
            except OSError:
                status = None
            if status == 200:
                return time.monotonic()
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"configuration refused with {status}")
            n += 1
            time.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    def stop(self):
        for process in self.processes.values():
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    process.send_signal(number)
                except OSError:
                    pass
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, headers=None, timeout=5):
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    except http.client.HTTPException as e:
        raise OSError(str(e)) from e
    finally:
        connection.close()


class Worker:
    """A worker of a plain service, on an address of its own. `answer` may replace its answer."""

    def __init__(self, record, host, service, zone, ident, answer=None, slots=16):
        self.record, self.service, self.zone, self.ident = record, service, zone, ident
        self.answer, self.slots = answer, slots
        self.listener = socket.create_server((host, 0), backlog=128)
        self.address = self.listener.getsockname()
        self.runs, self.lock = [], threading.Lock()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beating = True
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while (request := read_request(stream)) is not None:
                self.handle(connection, request)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def handle(self, connection, request):
        line, headers, body = request
        ident = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.ident):
            return reply(connection, 421, ident, b"", {"X-Not-Executed": "1"}, stamp=False)
        if line.split()[1] == "/healthz":
            return reply(connection, 200, ident, b"", {"X-Instance-Id": self.ident}, stamp=False)
        with self.lock:
            self.runs.append((time.monotonic(), ident, line, headers, body))
        self.record.note(f"worker {self.ident} runs {ident}: {line} tenant={headers.get('x-tenant')}")
        if self.answer is not None:
            return self.answer(self, connection, request)
        return reply(connection, 200, ident, b"done " + ident.encode())

    def beat(self, deployment, state="ready"):
        self.sequence += 1
        body = {"service": self.service, "addr": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "max-concurrency": self.slots, "state": state, "cold-left-ms": 0,
                "sequence": self.sequence, "born": self.born}
        for n in range(len(deployment.core_hosts)):
            try:
                status, _, _ = call(deployment.control(n), "POST", f"/Instances.Heartbeat/{self.ident}",
                                    json.dumps(body), {"Content-Type": "application/json"}, timeout=1)
                if 200 <= status < 300:
                    return True
            except OSError:
                continue
        return False

    def keep_beating(self, deployment):
        def run():
            while self.beating:
                self.beat(deployment)
                time.sleep(1.2)
        threading.Thread(target=run, daemon=True).start()

    def close(self):
        self.beating = False
        self.listener.close()


def read_request(stream):
    line = stream.readline().decode("latin-1").strip()
    if not line:
        return None
    headers = {}
    while (field := stream.readline().decode("latin-1").strip()):
        name, value = field.split(":", 1)
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0)))
    return line, headers, body


def reply(connection, status, ident, body, headers=None, stamp=True):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    if ident:
        head.append(f"X-Attempt-Id: {ident}")
    if stamp:
        head.append(f"X-Server-Stamp: stamp.{ident}")
    head += [f"{name}: {value}" for name, value in (headers or {}).items()]
    connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)


def head(method, path, ident, deadline_ms, length, key=KEY):
    """Returns the bytes of a client's request up to its body."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {ident}",
             f"X-Deadline-Ms: {deadline_ms}", f"Content-Length: {length}"]
    if key:
        lines.append(f"Authorization: Token {key}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def read_response(connection, timeout):
    """Returns status, headers and body; None if the connection ends or is silent."""
    connection.settimeout(timeout)
    stream = connection.makefile("rb")
    try:
        line = stream.readline().decode("latin-1")
        if not line:
            return None
        headers = {}
        while (field := stream.readline().decode("latin-1").strip()):
            name, value = field.split(":", 1)
            headers[name.lower()] = value.strip()
        return int(line.split()[1]), headers, stream.read(int(headers.get("content-length", 0)))
    except (OSError, ValueError, IndexError):
        return None


def route(name, kind, service, **fields):
    return {"name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": kind, "timeout-ms": 6000,
            "slo-ms": 500, "priority": 0, "service": service, "attempts": 2, "public": False,
            "sticky": False, "resumable": False, **fields}


def configuration(version, routes, services, keys=(KEY,), **fields):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "tugs", "api-keys": list(keys), "priority": 1}], **fields}


def plain_service(name):
    return {"name": name, "health-path": "/healthz", "max-conns": 280, "protocol": "h1", "tls": False}


def run_case(folder, case):
    """Runs `case(record)`, which returns True if the rule held; exits with 0, 1 or 2."""
    record = Record(folder)

    def interrupt(number, _frame):
        raise CannotRun(signal.Signals(number).name)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, interrupt)
    try:
        held = case(record)
    except Exception as e:  # the case ends its processes itself
        record.note(f"could not run: {type(e).__name__}: {e}")
        print(f"could not run: {type(e).__name__}: {e}")
        sys.stdout.flush()
        os._exit(2)
    record.note("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.stdout.flush()
    os._exit(0 if held else 1)
