"""A small deployment on loopback: store, backend servers, and one node of the
project beside each backend server.

The stand-ins run in this process. The nodes are processes of their own, started
with the command of deploy/system.toml, with settings that are filled in from
the project's template as the platform does it. Each machine has an address of
its own, 127.A.ZONE.MACHINE, and all have the same ports.
"""

import asyncio
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from endpoint import Endpoint, read_message
from store import Store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
REGION = "kigali"
ZONES = ("gasabo", "kicukiro", "nyarugenge")
HOST = "hulo84.example"


def render(template, fields):
    """Fills in the placeholders and sections of a settings template."""

    def find(path, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        section = re.search(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", text,
                            re.DOTALL)
        if section:
            kind, path, inner = section.groups()
            value = find(path, scopes)
            if kind == "^":
                middle = "" if value else fill(inner, scopes)
            elif isinstance(value, dict):
                keys = list(value)
                middle = "".join(
                    fill(inner.replace("{{@}}", key).replace(
                        "{{,}}", "," if key != keys[-1] else ""), scopes)
                    for key in keys)
            else:
                middle = fill(inner, scopes) if value else ""
            return (fill(text[:section.start()], scopes) + middle
                    + fill(text[section.end():], scopes))
        return re.sub(
            r"\{\{([\w.]+)\}\}",
            lambda match: "" if find(match[1], scopes) is None
            else str(find(match[1], scopes)), text)

    return fill(template, [fields])


class Machine:
    """A machine with a backend server and the node beside it."""

    def __init__(self, region, name, zone, ip, service):
        self.region, self.name, self.zone = region, name, zone
        self.ip, self.service = ip, service
        self.endpoint = None
        self.process = None
        self.starts = 0

    def settings(self):
        ports = self.region.ports
        return {
            "Node": self.name, "Ip": self.ip, "Zone": self.zone,
            "Region": REGION, "AppAddr": f"{self.ip}:{ports['app']}",
            "Zones": {zone: REGION for zone in ZONES},
            "Service": self.service, "InternalPorts": [ports["node"]],
            "Limits": {"MemoryMb": self.region.memory_mb},
            "Listen": {"Outbound": f"{self.ip}:{ports['outbound']}",
                       "Ready": f"{self.ip}:{ports['ready']}"},
            "Platform": {"Address": self.region.store_address},
            "Bounds": {"BudgetRatio": 0.2, "BudgetExtra": 48,
                       "BudgetWindow": "10s", "Grace": "6s"}}

    def start(self):
        template = (ROOT / self.region.role["template"]).read_text()
        path = self.region.folder / f"{self.name}.ini"
        path.write_text(render(template, self.settings()))
        log = open(self.region.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            self.region.role["run"].split(" "), cwd=ROOT, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "AGATERUN_CONFIG": str(path)})
        log.close()
        self.starts += 1

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.region.ports["ready"])
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            words, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return words[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def resident_bytes(self):
        """Memory of the node; 0 if it doesn't run."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) * 1024 if found else 0


class Region:
    def __init__(self, folder, services, memory_mb=260):
        """`services` maps the name of each service to its backend servers."""
        self.out = pathlib.Path(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="agaterun-review-"))
        self.role = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        self.memory_mb = memory_mb
        self.store = Store()
        self.started = time.monotonic()
        self.lines = []
        first = 20 + os.getpid() % 200
        self.ports = dict(zip(("app", "node", "outbound", "ready", "store"),
                              self._free_ports(f"127.{first}.1.1", 5)))
        self.store_ip = f"127.{first}.200.1"
        self.store_address = f"{self.store_ip}:{self.ports['store']}"
        self.machines = []
        for service, count in services.items():
            for index in range(count):
                zone = index % len(ZONES)
                number = 1 + len(self.machines)
                self.machines.append(Machine(
                    self, f"sidecar-{ZONES[zone]}-{number}", ZONES[zone],
                    f"127.{first}.{zone + 1}.{number}", service))

    @staticmethod
    def _free_ports(ip, count):
        sockets = [socket.socket() for _ in range(count)]
        for free in sockets:
            free.bind((ip, 0))
        ports = [free.getsockname()[1] for free in sockets]
        for free in sockets:
            free.close()
        return ports

    def record(self, line):
        self.lines.append(f"{time.monotonic() - self.started:9.3f} s  {line}")

    def machines_of(self, service):
        return [machine for machine in self.machines
                if machine.service == service]

    async def start(self, configuration, **endpoint_options):
        await self.store.start(self.store_ip, self.ports["store"])
        await self.store.put("op/config", configuration)
        for machine in self.machines:
            machine.endpoint = Endpoint(
                self.store, self.record, name=f"i-{machine.name}",
                service=machine.service, ip=machine.ip,
                port=self.ports["app"], zone=machine.zone, **endpoint_options)
            await machine.endpoint.start()
            machine.start()
        deadline = time.monotonic() + 20
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)

    def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        (self.out / "record.txt").write_text("\n".join(self.lines) + "\n")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, services, play, memory_mb=260):
    """Plays a case and ends this process: 1 if the rule was broken, 0 if it
    held, 2 if the case couldn't run."""

    async def run():
        try:
            region = Region(folder, services, memory_mb)
        except Exception as error:
            print(f"could not run: {error!r}", flush=True)
            return 2

        def end():
            region.record("ended by a signal")
            region.stop()
            os._exit(2)

        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, end)
        try:
            return await play(region)
        except Exception as error:
            region.record(f"could not run: {error!r}")
            return 2
        finally:
            print(region.lines[-1], flush=True)
            region.stop()

    # Without the clean-up of asyncio, which reports each open connection.
    os._exit(asyncio.new_event_loop().run_until_complete(run()))


def route(name, prefix, kind, service, *, timeout="1200ms", target="800ms",
          priority=1, attempts=2):
    return {"TypeUrl": "Routes", "Metadata": {"Name": name},
            "Spec": {"Host": HOST, "Prefix": prefix, "Kind": kind,
                     "Timeout": timeout, "TargetLatency": target,
                     "Priority": priority, "Service": service,
                     "MaxAttempts": attempts}}


def configuration(version, routes, services):
    """A configuration with the limits that `fleetbench wire` shows."""
    resources = list(routes)
    resources += [{"TypeUrl": "Services", "Metadata": {"Name": service},
                   "Spec": {"HealthPath": "/health", "MaxConnections": 574,
                            "Protocol": "h1", "Tls": False}}
                  for service in services]
    resources.append({"TypeUrl": "Limits", "Metadata": {}, "Spec": {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
        "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"}})
    return {"Version": version, "Resources": resources}
