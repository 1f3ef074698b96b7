"""Starts a region of agaterun on loopback: platform, backend servers, nodes.

Every host has an address of its own (127.BASE.DOMAIN.HOST), so the ports are
the same everywhere. All processes are this script's own and are ended by id.
"""

import dataclasses
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODE_PORT = 7400
CALLER_PORT = 8080
NESTED_PORT = 8081
OPERATOR_PORT = 9100
BACKEND_PORT = 9000
PLATFORM_PORT = 7000
START_TIMEOUT_SECONDS = 30
STOP_TIMEOUT_SECONDS = 20


@dataclasses.dataclass
class Route:
    name: str
    method: str
    path: str
    importance: str
    idempotent: bool
    deadline_ms: int = 2000
    retries: int = 3


@dataclasses.dataclass
class Service:
    name: str
    endpoints: int
    slots: int
    connections: int
    service_ms: float
    nested: str
    routes: list


# Slots and connections are the brief's; service times and the call graph are
# of this project's own choosing. drafts -> vault -> ledger is three deep.
LECTERN = [
    Service("drafts", 4, 80, 570, 200, "GET:vault/audio",
            [Route("open", "GET", "/drafts", "normal", True)]),
    Service("dispatch", 3, 100, 720, 250, "GET:vault/audio,POST:ledger/invoices",
            [Route("send", "POST", "/packets", "critical", False)]),
    Service("vault", 3, 100, 720, 150, "GET:ledger/entitlements",
            [Route("audio", "GET", "/audio", "normal", True),
             Route("archive", "GET", "/archive", "background", True)]),
    Service("ledger", 3, 25, 250, 60, "",
            [Route("invoice", "POST", "/invoices", "critical", False),
             Route("entitlement", "GET", "/entitlements", "normal", True)]),
]

SODCEK = [
    Service("balance", 5, 70, 510, 100, "",
            [Route("lookup", "GET", "/balances", "normal", True)]),
    Service("redemption", 4, 90, 620, 150, "GET:balance/balances,POST:refund/entries",
            [Route("redeem", "POST", "/redemptions", "critical", False)]),
    Service("pour-list", 3, 110, 780, 120, "GET:balance/balances",
            [Route("download", "GET", "/lists", "background", True)]),
    Service("refund", 3, 35, 310, 60, "",
            [Route("settle", "POST", "/refunds", "critical", False),
             Route("entry", "POST", "/entries", "critical", False)]),
]

# What a part of an experiment switches off. "none" is no control at all: every
# request starts at once, and every hop tries three times, overload or not.
CONTROLS = {
    "full": [],
    "none": ["concurrency-limit", "adaptive-limit", "threshold",
             "newest-first", "displacement", "fair-shares", "deadline-check",
             "early-shedding", "retry-allowance", "retry-rules",
             "retry-budget", "cancellation"],
    "fixed": ["adaptive-limit", "threshold", "newest-first", "displacement",
              "fair-shares", "deadline-check", "early-shedding",
              "retry-allowance", "retry-rules"],
}

DEPLOYMENTS = {"lectern": ("cascadia", LECTERN),
               "sodcek": ("slo-central", SODCEK)}


@dataclasses.dataclass
class Host:
    name: str
    service: Service
    ip: str
    domain: str
    node: subprocess.Popen = None
    backend: subprocess.Popen = None


def http(method, url, body=None, timeout=5):
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as response:
        return response.read().decode()


class Region:
    """One region of a deployment, in processes of its own."""

    def __init__(self, deployment="lectern", build="release", control="full",
                 domains=("a", "b", "c"), log_level="warning", threads=2,
                 distribution="exponential"):
        self.region, self.services = DEPLOYMENTS[deployment]
        self.build = ROOT / "build" / build
        self.control = control
        self.domains = domains
        self.log_level = log_level
        self.threads = threads
        self.distribution = distribution
        self.base = 10 + os.getpid() % 200
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="agaterun-"))
        self.platform = None
        self.logs = []
        self.hosts = self._lay_out()

    def _lay_out(self):
        hosts = []
        for service_index, service in enumerate(self.services):
            for index in range(service.endpoints):
                domain = index % len(self.domains)
                # The last number keeps hosts of one domain apart.
                number = 1 + service_index * 16 + index
                hosts.append(Host(
                    name=f"{service.name}-{index}", service=service,
                    ip=f"127.{self.base}.{domain + 1}.{number}",
                    domain=self.domains[domain]))
        return hosts

    def hosts_of(self, service):
        return [host for host in self.hosts if host.service.name == service]

    def ticket(self, number, services=None):
        """Text of a change ticket with the whole state of the services."""
        lines = ["[ticket]", f"number = {number}", ""]
        for service in services or self.services:
            lines += [f"[service {service.name}]", f"slots = {service.slots}",
                      f"connections = {service.connections}"]
            for host in self.hosts_of(service.name):
                lines.append(f"endpoint.{host.name} = {host.ip}:{NODE_PORT} "
                             f"{self.region}/{host.domain}")
            lines.append("")
            for route in service.routes:
                lines += [f"[route {service.name} {route.name}]",
                          f"method = {route.method}",
                          f"path = {route.path}",
                          f"importance = {route.importance}",
                          f"idempotent = {'yes' if route.idempotent else 'no'}",
                          f"deadline_ms = {route.deadline_ms}",
                          f"retries = {route.retries}", ""]
        return "\n".join(lines)

    def _spawn(self, name, arguments):
        log = open(self.folder / f"{name}.log", "ab")
        self.logs.append(log)
        return subprocess.Popen([str(argument) for argument in arguments],
                                stdout=log, stderr=log,
                                stdin=subprocess.DEVNULL)

    def platform_url(self):
        return f"http://127.{self.base}.0.1:{PLATFORM_PORT}"

    def start_platform(self):
        tickets = self.folder / "tickets"
        tickets.mkdir(exist_ok=True)
        (tickets / "001.ini").write_text(self.ticket(1))
        hosts = {"hosts": [{"name": host.name, "node": f"{host.ip}:{NODE_PORT}",
                            "leaving": False} for host in self.hosts]}
        (self.folder / "hosts.json").write_text(json.dumps(hosts))
        self.platform = self._spawn("platform", [
            self.build / "tests/fake_platform",
            "--listen", f"127.{self.base}.0.1:{PLATFORM_PORT}",
            "--tickets", tickets, "--hosts", self.folder / "hosts.json"])

    def start_backend(self, host):
        arguments = [self.build / "tests/fake_backend_server",
                     "--listen", f"{host.ip}:{BACKEND_PORT}",
                     "--service", host.service.name,
                     "--slots", host.service.slots,
                     "--connections", host.service.connections,
                     "--service-ms", host.service.service_ms,
                     "--distribution", self.distribution]
        if host.service.nested:
            arguments += ["--nested", host.service.nested,
                          "--nested-address", f"{host.ip}:{NESTED_PORT}"]
        host.backend = self._spawn(f"{host.name}-backend", arguments)

    def settings(self, host):
        seeds = [other for other in self.hosts if other is not host][:4]
        return "\n".join([
            "[node]", f"host = {host.name}", f"region = {self.region}",
            f"failure_domain = {host.domain}",
            f"address = {host.ip}:{NODE_PORT}",
            "seeds = " + ", ".join(f"{seed.ip}:{NODE_PORT}" for seed in seeds),
            f"threads = {self.threads}", f"log_level = {self.log_level}",
            "[caller]", f"address = {host.ip}:{CALLER_PORT}",
            "[backend_server]", f"service = {host.service.name}",
            f"address = {host.ip}:{BACKEND_PORT}",
            f"nested_address = {host.ip}:{NESTED_PORT}",
            "[platform]", f"address = 127.{self.base}.0.1:{PLATFORM_PORT}",
            "[operator]", f"address = {host.ip}:{OPERATOR_PORT}",
        ] + self._experiment()) + "\n"

    def _experiment(self):
        """`control` names a row of CONTROLS, or one mechanism to do without."""
        disabled = CONTROLS.get(self.control, [self.control])
        if not disabled:
            return []
        return ["[experiment]", "disabled = " + ",".join(disabled)]

    def start_node(self, host):
        path = self.folder / f"{host.name}.ini"
        path.write_text(self.settings(host))
        host.node = self._spawn(host.name, [
            self.build / "services/agaterund", "--settings", path])

    def start(self):
        self.start_platform()
        for host in self.hosts:
            self.start_backend(host)
        for host in self.hosts:
            self.start_node(host)
        self.wait_until_serving()
        return self

    def wait_until_serving(self):
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        for host in self.hosts:
            while self.health(host) != "serving":
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"{host.name} does not serve; logs in {self.folder}")
                time.sleep(0.05)

    def operator(self, host, path):
        return http("GET", f"http://{host.ip}:{OPERATOR_PORT}{path}")

    def health(self, host):
        try:
            return self.operator(host, "/health").strip()
        except (urllib.error.URLError, OSError):
            return "unreachable"

    def control_backend(self, host, **settings):
        return http("POST", f"http://{host.ip}:{BACKEND_PORT}/control",
                    json.dumps(settings))

    def backend(self, host, path):
        return json.loads(http("GET",
                               f"http://{host.ip}:{BACKEND_PORT}{path}"))

    def publish(self, text):
        return http("POST", self.platform_url() + "/control/tickets", text)

    def callers(self, domain=None):
        """Caller listeners, as --nodes of `agaterun load` takes them."""
        return ",".join(f"{host.ip}:{CALLER_PORT}" for host in self.hosts
                        if domain in (None, host.domain))

    def load(self, mix, rate, seconds, *options):
        """Starts a load; its text comes from communicate()."""
        path = self.folder / "mix.ini"
        path.write_text(mix)
        return subprocess.Popen(
            [str(self.build / "services/agaterun"), "load",
             "--nodes", self.callers(), "--mix", str(path),
             "--rate", str(rate), "--seconds", str(seconds)]
            + [str(option) for option in options],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def stop_process(self, process):
        """Planned stop of one process. Returns its exit code."""
        if process is None or process.poll() is not None:
            return None if process is None else process.returncode
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return "killed after the stop timeout"

    def stop(self):
        """Stops everything gracefully. Returns the nodes' exit codes."""
        for host in self.hosts:
            if host.node is not None and host.node.poll() is None:
                host.node.send_signal(signal.SIGTERM)
        codes = {host.name: self.stop_process(host.node)
                 for host in self.hosts}
        for host in self.hosts:
            self.stop_process(host.backend)
        self.stop_process(self.platform)
        for log in self.logs:
            log.close()
        return codes

    def remove_files(self):
        shutil.rmtree(self.folder, ignore_errors=True)

    def memory_mib(self, process):
        for line in open(f"/proc/{process.pid}/status"):
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0

    def cpu_seconds(self, process):
        fields = open(f"/proc/{process.pid}/stat").read().split(")")[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


MIXES = {
    "lectern": """\
[request open-draft]
method = GET
target = /drafts/drafts/{id}
importance = normal
idempotent = yes
weight = 45
timeout_ms = 2000
[request fetch-audio]
method = GET
target = /vault/audio/{id}
importance = normal
idempotent = yes
weight = 25
timeout_ms = 2000
[request pull-archive]
method = GET
target = /vault/archive/{id}
importance = background
idempotent = yes
weight = 20
timeout_ms = 2000
[request send-packet]
method = POST
target = /dispatch/packets
body = packet {id}
importance = critical
idempotent = no
weight = 5
timeout_ms = 2000
[request invoice]
method = POST
target = /ledger/invoices
body = invoice {id}
importance = critical
idempotent = no
weight = 5
timeout_ms = 2000
""",
    "sodcek": """\
[request look-up-balance]
method = GET
target = /balance/balances/{id}
importance = normal
idempotent = yes
weight = 50
timeout_ms = 2000
[request redeem]
method = POST
target = /redemption/redemptions
body = token {id}
importance = critical
idempotent = no
weight = 20
timeout_ms = 2000
[request download-pour-list]
method = GET
target = /pour-list/lists/{id}
importance = background
idempotent = yes
weight = 20
timeout_ms = 2000
[request settle-refund]
method = POST
target = /refund/refunds
body = refund {id}
importance = critical
idempotent = no
weight = 10
timeout_ms = 2000
""",
}
