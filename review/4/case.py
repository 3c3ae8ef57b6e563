"""A worker deregisters, all core processes are killed at once and are back within a second, and then a heartbeat
that the worker had sent before arrives."""
import asyncio, os, sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import DRAIN_S, RESTART_S, TOUCH_S, TROUBLE, CantRun, call, main, plain_configuration

SERVES_ON_S = 12.0    # "a little longer (at times many seconds)"
LATE_S = 4.0          # "A heartbeat may arrive seconds late."


class DelayingProxy:
    """Takes one connection and passes its bytes on to `target` after a while."""

    def __init__(self, record, ip, target, delay_s):
        self.record, self.ip, self.target, self.delay_s = record, ip, target, delay_s
        self.delivered = asyncio.get_running_loop().create_future()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        data = await reader.read(65536)
        self.record("the proxy holds the heartbeat")
        await asyncio.sleep(self.delay_s)
        try:
            there, back = await asyncio.open_connection(*self.target)
            back.write(data)
            answer = await asyncio.wait_for(there.readuntil(b"\r\n\r\n"), 2)
            back.close()
            self.record(f"the heartbeat arrives late: {answer.split(b' ', 2)[1].decode()}")
            self.delivered.set_result(True)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.delivered.set_result(False)
        writer.close()


async def case(d):
    d.start()
    await d.configure(plain_configuration(1))
    leaving = await d.worker("i-leaving", "desk", "a")
    for zone in ("b", "c"):
        await d.worker(f"i-{zone}", "desk", zone)
    await d.ready()
    traffic = [asyncio.create_task(d.stream_of_requests(edge, "/book/x", 0.05)) for edge in d.edges]
    await asyncio.sleep(TOUCH_S + 3)
    if not leaving.runs:
        raise CantRun("the worker got no request")
    leaving.task.cancel()
    # Its last heartbeat is on its way for a while.
    proxy = DelayingProxy(d.record, leaving.ip, d.cores[0].control, LATE_S)
    address = await proxy.start()
    path = f"/Instances.Heartbeat/{leaving.id}"
    lines = [("Host", "control"), ("Content-Type", "application/json")]
    beat = asyncio.create_task(call(address, "POST", path, lines, leaving.body(), 20))
    d.record(f"{leaving.id} sends heartbeat {leaving.sequence}")
    await asyncio.sleep(0.1)
    if not await leaving.tell(d.cores[1], "/Instances.Deregister", b'{"born":%d}' % leaving.born):
        raise CantRun("no acknowledgement of the departure")
    acknowledged = last_event = d.record.now()
    d.record(f"{d.cores[1].name} has acknowledged that {leaving.id} is gone")
    await asyncio.sleep(1.0)
    if TROUBLE:
        for core in d.cores:
            core.kill()
        await asyncio.sleep(RESTART_S)
        for core in d.cores:
            core.start()
        last_event = await d.answers_again(d.cores)
    if not await asyncio.wait_for(proxy.delivered, 10):
        raise CantRun("the late heartbeat didn't arrive")
    beat.cancel()
    await asyncio.sleep(acknowledged + SERVES_ON_S - d.record.now())
    await leaving.stop()
    for task in traffic:
        task.cancel()
    await asyncio.sleep(0.1)
    # In touch again contact-ms after the last event on a core machine; "twice that, if a final fault took most of
    # the core", which is taken here, although this is no final fault.
    judged = acknowledged + DRAIN_S
    if TROUBLE:
        judged = max(judged, last_event + 2 * TOUCH_S)
    broken = [at - acknowledged for at in d.judged_runs(leaving, judged)]
    d.record(f"judged from {judged - acknowledged:.3f} s after the acknowledgement; reached {leaving.id}: {len(broken)}")
    print(f"{len(broken)} requests reached the worker later than {judged - acknowledged:.2f} s after the acknowledgement, "
          "with all machines in touch" + (f"; the last after {max(broken):.2f} s" if broken else ""))
    return not broken


main(case, HERE)
