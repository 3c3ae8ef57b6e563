"""Stage results of one request reach another: a late copy of an answer without results shifts the answers."""
import asyncio, os, random, sys, time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
try:
    from standin import *
except BaseException:
    sys.exit(2)

PIECES = {"max-concurrency": 1, "queue": 2, "batch": 8, "call-cost-ms": 200.0, "item-ms": 21.0, "headroom-mb": 18.0,
          "handle-s": 4.0, "link-mbps": 10000}
RESULT_BYTES = 60_000
# The site's dose: share 0.6 of the workers, 0.03 of their answers, for 5 s. Here 4 of 8 workers, once.
WORKERS, FAULTY, MOST, FOR_S, FROM_S = 8, 4, 0.03, 5.0, 6.0
# One call in so many of one worker ends with the reason `error` for its items, with and without trouble, in 6.5 s from
# 1 s before that on: within the site's dose of `srv_grey` (share 0.14, x 0.45, for 6.5 s).
ERROR_EACH, ERROR_FOR_S, ERROR_BEFORE_S = 5, 6.5, 1.0
SECONDS = 20
CLIENTS = 230
ENGINE = {"max-concurrency": 128, "kv-capacity": 550262, "kv-token-bytes": 35136, "link-mbps": 370000.0, "moves": True,
          "backups": True, "stride": 3, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0,
          "models": [{"name": "m"}]}
CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "r-1", "host": HOST, "path-prefix": "/puxa400/", "kind": "stream", "timeout-ms": 6000,
                "slo-ms": 1000, "priority": 0, "service": "huvo11a", "attempts": 2,
                "stages": [{"service": "kafi81c", "after": [], "bytes": RESULT_BYTES}],
                "public": False, "sticky": True, "resumable": False, "gap-slo-ms": 200}],
    "services": [{"name": "huvo11a", "health-path": "/healthz", "max-conns": 620, "protocol": "h1", "tls": False,
                  "engine": ENGINE},
                 {"name": "kafi81c", "health-path": "/healthz", "max-conns": 620, "protocol": "h1", "tls": False,
                  "pieces": PIECES}],
    "limits": LIMITS, "tenants": tenants(),
}


class Garble:
    """The workers that send second copies: from `begin` for FOR_S, of at most MOST of their answers in that time."""

    def __init__(self):
        self.begin, self.answers, self.copies = None, 0, 0

    def may_copy(self):
        if self.begin is None or not 0 <= time.monotonic() - self.begin < FOR_S:
            return False
        self.answers += 1
        return TROUBLE and self.copies + 1 <= MOST * self.answers


class Faulty(StageWorker):
    """One of the workers that send a second, late copy of an answer; only answers without a result are copied."""

    def __init__(self, system, zone, results, garble, errs):
        super().__init__(system, zone, PIECES, results, real_mb=RESULT_BYTES / 1e6)
        self.dose, self.errs = garble, errs

    def fails(self):
        since = time.monotonic() - (self.dose.begin or time.monotonic()) + ERROR_BEFORE_S
        return self.errs and self.dose.begin is not None and 0 <= since < ERROR_FOR_S and self.answers % ERROR_EACH == ERROR_EACH - 1

    def garble(self, connection, made, answer):
        may = self.dose.may_copy()
        if may and not any("handle" in m for m in made):
            self.dose.copies += 1
            connection.held = answer
            self.record(f"stage {self.id}: garble: keeps a copy of this answer ({self.dose.copies} of {self.dose.answers})")


class Model(Worker):
    """A model worker: fetches the inputs, then answers with a short stream."""

    def __init__(self, system, zone, results):
        super().__init__(system, "huvo11a", zone, 128)
        self.results, self.foreign, self.runs = results, [], 0

    async def handle(self, connection, method, path, headers, body):
        attempt = headers["x-attempt-id"]
        echo = {"X-Attempt-Id": attempt, "X-Server-Load": "1,0,128"}
        handles = [h for h in headers.get("x-inputs", "").split(",") if h]
        if not handles:
            return await connection.answer(400, {"X-Not-Executed": "1", **echo})
        if any(h not in self.results for h in handles):
            self.record(f"model {self.id}: {attempt} an input is gone, not run")
            return await connection.answer(409, {"X-Not-Executed": "1", **echo})
        inputs = [self.results[h] for h in handles]
        self.runs += 1
        expected = [(attempt, 0, n) for n in range(len(handles))]
        got = sorted((i["id"], i["stage"], i["piece"]) for i in inputs)
        self.record(f"model {self.id}: runs {attempt} with " + " ".join(f"{h}={i['id']}/{i['stage']}/{i['piece']}"
                                                                       for h, i in zip(handles, inputs)))
        if got != expected or str(len(handles)) != headers.get("x-pieces"):
            self.foreign.append((attempt, got))
            self.record(f"model {self.id}: MIXED: {attempt} is given {got}")
        await asyncio.sleep(0.3)
        stamp = f"3e1b.07.5a2.{random.getrandbits(32):08x}"
        head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Server-Stamp: {stamp}\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in echo.items()) + "X-Weight-Versions: 1\r\n\r\n"
        await connection.send(head.encode())
        for n in range(1, 5):
            data = events(n, f"{attempt} {n}")
            await connection.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await asyncio.sleep(0.05)
        await connection.send(b"0\r\n\r\n")


async def main(record):
    system = System(record, cores=3, edges=1)
    try:
        results = {}
        garble = Garble()
        stages = [Faulty(system, ZONES[n % 3], results, garble, n == 0) for n in range(FAULTY)]
        stages += [StageWorker(system, ZONES[n % 3], PIECES, results, real_mb=RESULT_BYTES / 1e6) for n in range(WORKERS - FAULTY)]
        models = [Model(system, zone, results) for zone in ZONES]
        await system.start_all(CONFIGURATION)
        for worker in stages + models:
            await worker.start()
        await system.await_ready("edge-0")
        await asyncio.sleep(3)
        until, answers, n = time.monotonic() + SECONDS, [], 0
        garble.begin = time.monotonic() + FROM_S

        async def session():
            nonlocal n
            while time.monotonic() < until and not any(m.foreign for m in models):
                n += 1
                headers = {"X-Model": "m", "X-Token-Usage": "1460,12", "X-Prefix-Hash": f"5c1e07a2:800,{n:08x}:660",
                           "X-Pieces": "1", "X-Piece-Key": f"{random.getrandbits(48):012x}"}
                attempt = f"{random.getrandbits(32):08x}{n:08x}"
                answer = await client(system, 0, record, "/puxa400/2f", attempt, 6000, headers)
                answers.append(answer)
                await asyncio.sleep(float(answer[1].get("retry-after", 0)) + random.uniform(0, 0.05))

        await asyncio.gather(*(session() for _ in range(CLIENTS)))
        served = sum(1 for status, _, _ in answers if status == 200)
        foreign = [f for m in models for f in m.foreign]
        record(f"requests {len(answers)}, served {served}, runs {sum(m.runs for m in models)}, answers of the faulty "
               f"workers in {FOR_S} s {garble.answers}, copies {garble.copies}, runs with foreign inputs {len(foreign)}")
        print(open(record.f.name).read().splitlines()[-1])
        if served < len(answers) / 2:
            raise Unfit("less than half of the requests were served")
        return BROKEN if foreign else HELD
    finally:
        system.stop()


run(os.path.dirname(os.path.abspath(__file__)), main)
