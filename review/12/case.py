"""A worker crashes in the middle of an upload and of its answer, which has no length: half of it looks complete."""
import json
import socket
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
import standin as s

UPLOAD = 3_000_000          # max-body-bytes is 4,194,304
LINK_BYTES_S = 1_250_000    # an edge's link of 10 Mbit/s
WINDOW = 65_536             # "Links have [...] small windows"
SEGMENT = 1_448             # as on an ordinary link; loopback's own of 65,483 would let the kernel hold megabytes
PART = 8192
WORKERS = 6                 # one of them crashes: a share of 0.17


class Desk:
    """A worker process behind its link, with its heartbeats."""

    def __init__(self, record, deployment, n):
        part = deployment.core_hosts[0].rsplit(".", 1)[0]
        host, self.ident, self.said = f"{part}.{201 + n}", f"i-desk-{n}", []
        with socket.socket() as free:
            free.bind((host, 0))
            port = free.getsockname()[1]
        self.link = Link(record, f"{part}.{221 + n}", (host, port))
        self.link.start()
        self.process = subprocess.Popen([sys.executable, str(FOLDER / "worker.py"), host, str(port), self.ident],
                                        stdout=subprocess.PIPE, text=True, preexec_fn=s.end_with_parent)
        self.heart = {"service": "booking-desk", "addr": "%s:%d" % self.link.address, "zone": "luzon-a",
                      "version": "v1", "max-concurrency": 16, "state": "ready", "cold-left-ms": 0,
                      "born": int(time.time() * 1000)}
        self.deployment = deployment
        threading.Thread(target=self.listen, daemon=True).start()

    def listen(self):
        for line in iter(self.process.stdout.readline, ""):
            self.said.append(line.strip())

    def beat(self):
        for sequence in range(1, 1000):
            if self.process.poll() is None:
                for n in range(len(self.deployment.core_hosts)):
                    try:
                        if s.call(self.deployment.control(n), "POST", f"/Instances.Heartbeat/{self.ident}",
                                  json.dumps({**self.heart, "sequence": sequence}), timeout=1)[0] == 200:
                            break
                    except OSError:
                        continue
            time.sleep(1.2)

    def end(self):
        self.process.kill()
        self.process.wait()
        self.link.listener.close()


class Link(threading.Thread):
    """The link between edge and worker: passes bytes, ends and resets on, towards the worker at its rate."""

    def __init__(self, record, host, worker):
        super().__init__(daemon=True)
        self.record, self.worker = record, worker
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        self.listener.bind((host, 0))
        self.listener.listen(128)
        self.address = self.listener.getsockname()

    def run(self):
        while True:
            try:
                edge, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.carry, args=(edge,), daemon=True).start()

    def carry(self, edge):
        worker = socket.create_connection(self.worker)
        threading.Thread(target=self.back, args=(worker, edge), daemon=True).start()
        try:
            while (part := edge.recv(PART)):
                worker.sendall(part)
                time.sleep(len(part) / LINK_BYTES_S)
            worker.shutdown(socket.SHUT_WR)
        except OSError as e:
            self.record.note(f"link: the worker's host resets the connection ({e}); passed on to the edge")
            edge.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            edge.close()

    def back(self, worker, edge):
        try:
            while (part := worker.recv(65536)):
                edge.sendall(part)
            self.record.note("link: the worker's host ends its side; passed on to the edge")
            edge.shutdown(socket.SHUT_WR)
        except OSError:
            pass


def case(record):
    deployment = s.Deployment(record, cores=4, zones=("luzon-a", "luzon-b", "luzon-c", "luzon-d"),
                              limits={"edge": {"memory-mb": 160, "link-mbps": 10.0}})
    desks = []
    try:
        desks.extend(Desk(record, deployment, n) for n in range(WORKERS))
        deployment.start()
        deployment.configure(s.configuration(1, [s.route("book", "unsafe", "booking-desk", **{"timeout-ms": 12000})],
                                             [s.plain_service("booking-desk")]))
        for desk in desks:
            threading.Thread(target=desk.beat, daemon=True).start()
        deployment.wait_ready()
        time.sleep(2.5)
        client = socket.create_connection(deployment.callers(), timeout=10)
        record.note(f"client: an upload of {UPLOAD} bytes to an unsafe route")
        client.sendall(s.head("POST", "/book/1", "upload", 12000, UPLOAD))

        def upload():
            try:
                client.sendall(b"u" * UPLOAD)
            except OSError as e:
                record.note(f"client: the upload ended: {e}")

        threading.Thread(target=upload, daemon=True).start()
        until = time.monotonic() + 10
        while not (at_work := [desk for desk in desks if "PART" in desk.said]):
            if time.monotonic() > until:
                raise s.CannotRun("no worker answered")
            time.sleep(0.01)
        record.note(f"the upload is at {at_work[0].ident}, one of {WORKERS} workers")
        record.note("worker: has sent the head of a 200 without a length and half of its body, and reads on")
        while not (late := [said for said in at_work[0].said if said.startswith("LATE")]):
            if time.monotonic() > until:
                raise s.CannotRun("the upload is stuck")
            time.sleep(0.001)
        if s.TROUBLE:
            at_work[0].process.kill()
        record.note(f"worker: {late[0].split()[1]} bytes of the upload are missing" + ("; SIGKILL" if s.TROUBLE else ""))
        answer = s.read_response(client, 14)
        time.sleep(1)
        whole = b"".join(b"line %03d of the answer\n" % n for n in range(40))
        if answer is None:
            record.note("client: the connection ended without a complete answer")
            return True
        status, headers, body = answer
        record.note(f"client: {status}, stamp {headers.get('x-server-stamp')}, content-length "
                    f"{headers.get('content-length')}, {len(body)} of the worker's {len(whole)} bytes")
        return not (200 <= status < 300 and body != whole)
    finally:
        for desk in desks:
            desk.end()
        deployment.stop()


s.run_case(FOLDER, case)
