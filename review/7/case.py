"""A gate that is stopped ends the connections of requests that wait in it, without an answer."""
import asyncio, os, random, signal, sys, time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
try:
    from standin import *
except BaseException:
    sys.exit(2)

SLOTS, QUEUE = 4, 8
EVENTS, EVENT_S = 93, 0.12
DEADLINE_MS, OBJECTIVE_MS, PAUSE_MS = 20000, 1700, 200
# A client abandons a stream before its first event after the longest of 2 s, 4 objectives and 8 pauses.
PATIENCE = max(2.0, 4 * OBJECTIVE_MS / 1e3, 8 * PAUSE_MS / 1e3)
LOSS_SLACK = 0.2
GRACE = 8
FILL_S = 6.0  # time before the stop, in which the service fills
RATE = 28  # requests a second, the same all the time
EDGES = 1
ENGINE = {"max-concurrency": SLOTS, "kv-capacity": 550262, "kv-token-bytes": 35136, "link-mbps": 370000.0, "moves": True,
          "backups": True, "stride": 3, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0,
          "models": [{"name": "m"}]}
CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "r-1", "host": HOST, "path-prefix": "/puxa400/", "kind": "stream", "timeout-ms": DEADLINE_MS,
                "slo-ms": OBJECTIVE_MS, "priority": 0, "service": "huvo11a", "attempts": 2, "public": False,
                "sticky": True, "resumable": False, "gap-slo-ms": PAUSE_MS}],
    "services": [{"name": "huvo11a", "health-path": "/healthz", "max-conns": 620, "protocol": "h1", "tls": False,
                  "engine": ENGINE}],
    "limits": LIMITS, "tenants": tenants(),
}


class Model(Worker):
    """A model worker: SLOTS streams at a time, QUEUE more wait, any other is rejected."""

    def __init__(self, system, zone, arrived):
        super().__init__(system, "huvo11a", zone, SLOTS)
        self.turn, self.inside, self.arrived = asyncio.Semaphore(SLOTS), 0, arrived

    async def handle(self, connection, method, path, headers, body):
        attempt = headers["x-attempt-id"]
        self.arrived.add(attempt)
        load = f"{min(self.inside, SLOTS)},{max(0, self.inside - SLOTS)},{SLOTS}"
        echo = {"X-Attempt-Id": attempt, "X-Server-Load": load}
        if self.inside >= SLOTS + QUEUE:
            self.record(f"model {self.id}: full, rejects {attempt}")
            return await connection.answer(503, {"X-Not-Executed": "1", **echo})
        self.inside += 1
        self.record(f"model {self.id}: {attempt} arrives")
        # A request whose connection closes is dropped.
        gone = asyncio.ensure_future(connection.reader.read(1))
        work = asyncio.ensure_future(self.stream(connection, attempt, echo))
        try:
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.record(f"model {self.id}: {attempt} is dropped, its connection closed")
                raise ConnectionError
            await work
        finally:
            self.inside -= 1
            work.cancel()
            gone.cancel()
        raise ConnectionError  # a byte may have been read: the connection is not used again

    async def stream(self, connection, attempt, echo):
        async with self.turn:
            self.record(f"model {self.id}: runs {attempt}")
            head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n"
                    f"X-Server-Stamp: 3e1b.07.5a2.{random.getrandbits(32):08x}\r\nX-Weight-Versions: 1\r\n")
            head += "".join(f"{k}: {v}\r\n" for k, v in echo.items()) + "\r\n"
            await connection.send(head.encode())
            for n in range(1, EVENTS + 1):
                data = events(n, f"{attempt} {n}")
                await connection.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await asyncio.sleep(EVENT_S)
            await connection.send(b"0\r\n\r\n")
            self.record(f"model {self.id}: {attempt} complete")


async def request(system, record, n, edge):
    """One client. Returns its id, when it sent and ended, and how it ended."""
    attempt = f"{random.getrandbits(32):08x}{n:08x}"
    headers = {"X-Model": "m", "X-Token-Usage": "715,279", "X-Prefix-Hash": f"5c1e07a2:172,{n:08x}:543"}
    sent, first = time.monotonic(), asyncio.get_running_loop().create_future()
    on_head = lambda status, got: first.done() or first.set_result(status)
    call_task = asyncio.ensure_future(
        client(system, edge, record, "/puxa400/2f", attempt, DEADLINE_MS, headers, on_head=on_head))
    done, _ = await asyncio.wait({call_task, first}, timeout=PATIENCE, return_when=asyncio.FIRST_COMPLETED)
    if not done:
        call_task.cancel()
        record(f"client: {attempt} abandons the stream before its first event")
        return attempt, sent, time.monotonic(), "abandoned"
    status, _, _ = await call_task
    return attempt, sent, time.monotonic(), status


class Rotation:
    """The platform's question to each gate, once a second; two misses take it out."""

    def __init__(self, system):
        self.system, self.misses = system, [0] * EDGES

    def usable(self, edge):
        return self.misses[edge] < 2

    async def ask(self):
        while True:
            for n, ip in enumerate(self.system.edge_ips):
                try:
                    status, _, _ = await asyncio.wait_for(call(ip, self.system.ready, "GET", "/readyz"), 0.9)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    status = None
                self.misses[n] = 0 if status == 200 else self.misses[n] + 1
            await asyncio.sleep(1)


async def main(record):
    system = System(record, cores=3, edges=EDGES, bounds={"grace-period-s": GRACE})
    try:
        arrived = set()
        models = [Model(system, zone, arrived) for zone in ZONES[:2]]
        await system.start_all(CONFIGURATION)
        for model in models:
            await model.start()
        await system.await_ready("edge-0")
        await asyncio.sleep(4)
        requests, rotation = [], Rotation(system)
        asking = asyncio.ensure_future(rotation.ask())
        begin, stopped = time.monotonic(), None
        while time.monotonic() < begin + FILL_S + GRACE and rotation.usable(0):
            edge = random.choice([n for n in range(EDGES) if rotation.usable(n)])
            requests.append(asyncio.ensure_future(request(system, record, len(requests), edge)))
            await asyncio.sleep(1 / RATE)
            if stopped is None and time.monotonic() >= begin + FILL_S:
                stopped = time.monotonic()
                if TROUBLE:
                    system.signal("edge-0", signal.SIGTERM)
        record(f"platform: edge-0 gets no new connection from {time.monotonic() - stopped:.2f} s on")
        asking.cancel()
        killed = None
        if TROUBLE:
            await asyncio.sleep(max(0, stopped + GRACE - time.monotonic()))
            if system.processes["edge-0"].poll() is None:
                system.signal("edge-0", signal.SIGKILL)
            else:
                record("platform: edge-0 ended by itself within its grace period")
        results = await asyncio.gather(*requests)
        lost = [(a, sent - stopped, ended - stopped) for a, sent, ended, how in results
                if how is None and a not in arrived and 0 <= ended - stopped <= GRACE + 1 and ended - sent > LOSS_SLACK and sent - stopped <= 3]
        for attempt, sent, ended in lost:
            record(f"LOST: {attempt} sent {sent:.2f} s after SIGTERM, its connection ended without an answer at {ended:.2f} s; "
                   "no worker was ever offered it")
        hows = {}
        for _, _, _, how in results:
            hows[how] = hows.get(how, 0) + 1
        record(f"requests {len(results)}, ends {hows}, lost without having been passed on {len(lost)}")
        print(open(record.f.name).read().splitlines()[-1])
        return BROKEN if lost else HELD
    finally:
        system.stop()


run(os.path.dirname(os.path.abspath(__file__)), main)
