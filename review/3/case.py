"""A worker deregisters at a core machine whose process is killed as soon as it has acknowledged that."""
import asyncio, os, sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import DRAIN_S, RESTART_S, TOUCH_S, TROUBLE, CantRun, main, plain_configuration

KILL_WITHIN_S = 0.004  # "loses power within 4 ms"
SERVES_ON_S = 8.0     # "a little longer (at times many seconds)"


async def case(d):
    d.start()
    await d.configure(plain_configuration(1))
    leaving = await d.worker("i-leaving", "desk", "a")
    for zone in ("b", "c"):
        await d.worker(f"i-{zone}", "desk", zone)
    await d.ready()
    traffic = [asyncio.create_task(d.stream_of_requests(edge, "/book/x", 0.05)) for edge in d.edges]
    # Everything has run undisturbed for longer than contact-ms before the worker leaves.
    await asyncio.sleep(TOUCH_S + 3)
    if not leaving.runs:
        raise CantRun("the worker got no request")
    leaving.task.cancel()
    told = d.cores[0]
    if not await leaving.beat_once(told):
        raise CantRun("no acknowledgement of the heartbeat")
    await asyncio.sleep(0.6)
    if not await leaving.tell(told, "/Instances.Deregister", b'{"born":%d}' % leaving.born):
        raise CantRun("no acknowledgement of the departure")
    acknowledged = last_event = d.record.now()
    if TROUBLE:
        told.process.kill()
        pause = d.record.now() - acknowledged
        told.kill()
        d.record(f"killed {told.name} {pause * 1000:.2f} ms after the acknowledgement was read")
        if pause > KILL_WITHIN_S:
            raise CantRun("the kill came too late")
    d.record(f"{told.name} has acknowledged that {leaving.id} is gone, at {acknowledged:.3f}")
    if TROUBLE:
        await asyncio.sleep(RESTART_S)
        told.start()
        last_event = await d.answers_again([told])
    await asyncio.sleep(acknowledged + SERVES_ON_S - d.record.now())
    await leaving.stop()
    for task in traffic:
        task.cancel()
    await asyncio.sleep(0.1)
    # All machines are in touch again contact-ms after the last event on a core machine.
    judged = acknowledged + DRAIN_S
    if TROUBLE:
        judged = max(judged, last_event + TOUCH_S)
    late = [at - acknowledged for at, _ in leaving.runs if at > acknowledged + DRAIN_S]
    broken = [at - acknowledged for at in d.judged_runs(leaving, judged)]
    d.record(f"judged from {judged - acknowledged:.3f} s after the acknowledgement")
    d.record(f"requests that reached {leaving.id} later than {DRAIN_S} s after it: {len(late)}, with all in touch: {len(broken)}")
    print(f"{len(late)} requests reached the worker over {DRAIN_S} s after the acknowledgement, {len(broken)} of them "
          f"while all machines were in touch" + (f"; the last after {max(late):.2f} s" if late else ""))
    return not broken


main(case, HERE)
