"""Some hundred changes that each alter the time-outs of 350 routes take the core over its memory."""
import json
import os
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
import standin as s

ROUTES = 350           # big_config in the site file: count = 350
CHANGED = int(os.environ.get("CHANGED", ROUTES))  # routes that each change alters
GAP_S = 0.25           # config_storm in the site file: gap_s = 0.33 and 0.08
CHANGES = 200 if s.TROUBLE else 8
MEMORY_MB = 256        # memory-mb of a core machine
RESTART_S = 0.5        # "restarted after a short delay"
READ_S = 12            # at least contact-ms (3 s); recovery-s is 12


class Platform(threading.Thread):
    """Kills a core process that uses more than memory-mb, and starts it again, as DEPLOY.md says."""

    def __init__(self, deployment, record):
        super().__init__(daemon=True)
        self.deployment, self.record, self.running = deployment, record, True
        self.ends = {name: 0 for name in deployment.processes if name.startswith("core")}
        self.peak = dict.fromkeys(self.ends, 0.0)
        self.down = {}

    def run(self):
        while self.running:
            for name in self.ends:
                if name in self.down:
                    if time.monotonic() >= self.down[name]:
                        del self.down[name]
                        self.deployment.start_process("core", int(name.split("-")[1]))
                    continue
                try:
                    used = self.deployment.memory_mb(name)
                except (OSError, TypeError):
                    continue
                self.peak[name] = max(self.peak[name], used)
                if used > MEMORY_MB:
                    self.record.note(f"{name} uses {used:.0f} MB, over memory-mb: killed by the platform")
                    self.deployment.kill(name)
                    self.ends[name] += 1
                    self.down[name] = time.monotonic() + RESTART_S
            time.sleep(0.02)


def send(deployment, n, body):
    try:
        return s.call(deployment.control(n % 4), "POST", "/Config.Replace", body,
                      {"Content-Type": "application/json"}, timeout=1)[0]
    except OSError:
        return None


def case(record):
    deployment = s.Deployment(record, cores=4)
    platform = None
    try:
        deployment.start()
        services = [s.plain_service("booking-desk")]

        def configuration(version):
            routes = [s.route(f"route-{n:03}", "unsafe", "booking-desk", **{"timeout-ms": 6000 + (version if n < CHANGED else 0)})
                      for n in range(ROUTES)]
            return s.configuration(version, routes, services)

        deployment.configure(configuration(1))
        deployment.wait_ready()
        record.note(f"version 1 is acknowledged: {ROUTES} routes, {len(json.dumps(configuration(1)))} bytes")
        platform = Platform(deployment, record)
        platform.start()
        acknowledged, started = 1, time.monotonic()
        for change in range(CHANGES):
            version, body = change + 2, json.dumps(configuration(change + 2))
            time.sleep(max(0.0, started + change * GAP_S - time.monotonic()))
            # An order without a clear answer is sent again unchanged, to another node.
            for n in range(4):
                if send(deployment, change + n, body) == 200:
                    acknowledged = version
                    break
            if version % 20 == 0:
                used = ", ".join(f"{name} {mb:.0f} MB" for name, mb in platform.peak.items())
                record.note(f"version {version}: newest acknowledged {acknowledged}; peaks {used}")
            if time.monotonic() - started > 90:
                break
        record.note(f"the last change is sent; newest acknowledged {acknowledged}; ends {platform.ends}")
        read, until, n = None, time.monotonic() + READ_S, 0
        while time.monotonic() < until:
            n += 1
            try:
                status, _, text = s.call(deployment.control(n % 4), "GET", "/Config.Get", timeout=2)
                if status == 200:
                    read = json.loads(text)["version"]
                    break
            except OSError:
                pass
            time.sleep(0.2)
        record.note(f"read back: {read}; ends by memory {platform.ends}")
        often = sum(ends >= 3 for ends in platform.ends.values())
        is_fault = often * 2 >= len(platform.ends)
        return not is_fault and read is not None and read >= acknowledged
    finally:
        if platform:
            platform.running = False
            platform.join()
        deployment.stop()


s.run_case(FOLDER, case)
