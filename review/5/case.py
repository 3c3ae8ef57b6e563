"""A new configuration gives a tenant a name with a space in it; the worker is told another tenant's name."""
import asyncio, os, sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import KEY, TENANT, TOUCH_S, TROUBLE, CantRun, Worker, main, plain_configuration

NEW_NAME = "Rockland Ferries" if TROUBLE else "bozi301"
CONFIG_DEADLINE_S = 2.0    # config-deadline-ms


class TenantWorker(Worker):
    """A worker that notes the tenant of each request that it runs."""

    async def run(self, writer, attempt, headers, echo, load):
        self.tenants.append((self.d.record.now(), attempt, headers.get("x-tenant")))
        self.d.record(f"{self.id} is told the tenant {headers.get('x-tenant')!r} for {attempt}")
        return await super().run(writer, attempt, headers, echo, load)


async def case(d):
    d.start()
    await d.configure(plain_configuration(1))
    for number, zone in enumerate("abc"):
        worker = TenantWorker(d, f"i-{zone}", "desk", zone, d.worker_ip % (number + 1))
        worker.tenants = []
        d.workers.append(worker)
        await worker.start()
    await d.ready()
    traffic = [asyncio.create_task(d.stream_of_requests(edge, "/book/x", 0.1)) for edge in d.edges]
    await asyncio.sleep(TOUCH_S + 2)
    tenants = [{"name": NEW_NAME, "api-keys": [KEY], "priority": 1}]
    changed = await d.configure({**plain_configuration(2), "tenants": tenants})
    await asyncio.sleep(CONFIG_DEADLINE_S + 5)
    for task in traffic:
        task.cancel()
    await asyncio.sleep(0.1)
    told = [entry for worker in d.workers for entry in worker.tenants]
    after = [name for at, _, name in told if at > changed + CONFIG_DEADLINE_S + 0.5]
    if not after:
        raise CantRun("no request ran after the change")
    foreign = [name for _, _, name in told if name not in (TENANT, NEW_NAME)]
    d.record(f"{len(told)} requests run, {len(after)} of them after the change, {len(foreign)} under another name")
    print(f"{len(foreign)} of {len(told)} requests ran under a tenant that no configuration names"
          + (f": {foreign[0]!r} for {NEW_NAME!r}" if foreign else ""))
    return not foreign


main(case, HERE)
