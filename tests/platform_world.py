"""A small platform on loopback: the real programs, with stand-ins for all that is around them.

Programs run as processes of their own. Upstreams, callers and the operator are coroutines of this
process; what they see is what the tests judge. Upstreams speak the platform's wire format.
"""

import asyncio
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

from loopback import free_port_block  # noqa: E402, needs the path above

BIN = pathlib.Path(os.environ.get("SISKINDRIFT_BIN", ROOT / "build" / "bin"))

HOST = "calls.example"
MODEL = "base"
ANNOUNCE_S = 0.3  # between two announcements of an upstream
APPLY_S = 2.0     # until an acknowledged document is in force everywhere
GRACE_S = 8.0     # from the request to stop a program until it is killed
SLOTS = 8
PROMISES = (408, 421, 429, 503)  # statuses that say that a request has not run
CONNECT_S = 1.0   # callers allow a new connection
FULL_DISK_BYTES = 64  # of each file; a segment's start has room, a record not


def seal_of(request_id, upstream):
    return hashlib.sha256(f"{request_id}|{upstream}".encode()).hexdigest()[:16]


def body_of(request_id, seal):
    return (f"{request_id}:{seal};" * 20).encode()


@dataclasses.dataclass
class Answer:
    """What a caller got: status 0 where the connection ended without a whole answer."""
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    sent: bool = False  # the request has left entirely
    seconds: float = 0.0


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_body(reader, headers, on_bytes=None):
    """Reads a body by its length or chunks. Raises where it ends before it is whole."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
            if on_bytes:
                on_bytes(body)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def render(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Connection:
    """A caller's connection to one gateway or coordinator."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None
        self.usable = False

    async def open(self):
        ip, port = self.address.split(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), CONNECT_S)
        self.usable = True

    async def call(self, method, path, headers, body=b"", limit=10.0, on_bytes=None):
        """Sends one request and returns what came back; never raises for a broken connection."""
        answer = Answer()
        begun = time.monotonic()
        try:
            await asyncio.wait_for(self._call(answer, method, path, headers, body, on_bytes), limit)
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                asyncio.LimitOverrunError):
            self.usable = False
        answer.seconds = time.monotonic() - begun
        if not self.usable:
            self.close()
        return answer

    async def _call(self, answer, method, path, headers, body, on_bytes):
        if not self.usable or self.reader.at_eof() or self.reader.exception():
            await self.open()
        full = {"Host": HOST, **headers, "Content-Length": str(len(body))}
        self.writer.write(render(f"{method} {path} HTTP/1.1", full, body))
        await self.writer.drain()
        answer.sent = True
        line, answer.headers = await read_head(self.reader)
        answer.status = int(line.split(" ")[1])

        def keep(data):
            answer.body = data
            if on_bytes:
                on_bytes(data)
        answer.body = await read_body(self.reader, answer.headers, keep)
        answer.whole = True
        if answer.headers.get("connection", "").lower() == "close":
            self.usable = False

    def close(self):
        if self.writer:
            self.writer.close()
        self.usable = False


async def call_once(address, method, path, headers=None, body=b"", limit=10.0, on_bytes=None):
    connection = Connection(address)
    answer = await connection.call(method, path, headers or {}, body, limit, on_bytes)
    connection.close()
    return answer


@dataclasses.dataclass
class Run:
    """One run of a request at an upstream."""
    request_id: str
    upstream: str
    path: str
    at: float
    first_event: int = 1
    instance_ok: bool = True


class Upstream:
    """A plain service or an engine that speaks the platform's wire format."""

    def __init__(self, world, name, service, host, adapter_places=0):
        self.world = world
        self.name = name
        self.service = service
        self.link = Link(f"127.7.4.{host}:{world.port}", f"127.7.3.{host}:{world.port}")
        self.address = self.link.listen  # as it announces itself
        self.adapter_places = adapter_places  # 0 for a plain service
        self.born = int(time.time() * 1000)
        self.announcements = 0
        self.orders = 0
        self.fence = 0
        self.holder = ""
        self.adapters = {}
        self.running = 0
        self.draining = False
        self.break_share = 0.0  # of answers that are lost after the run
        self.work_s = 0.02
        self.event_pause_s = 0.02
        self.server = None

    async def start(self):
        ip, port = self.link.target.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))
        await self.link.start()
        self.world.tasks.append(asyncio.create_task(self.announce()))

    def models(self):
        if not self.adapter_places:
            return []
        return [{"Name": MODEL, "Version": 1,
                 "Adapters": [f"{name}@{version}" for name, version in self.adapters.items()]}]

    async def announce(self):
        # A cancellation that meets the end of a call may be lost, so the loop has an end of its own.
        while not self.world.over:
            self.announcements += 1
            word = {"Service": self.service, "Address": self.address, "Zone": "a", "Version": "v1",
                    "Slots": SLOTS, "State": "draining" if self.draining else "ready",
                    "ColdLeftMs": 0, "Models": self.models(), "Seq": self.announcements,
                    "born": self.born}
            for address in self.world.random.sample(self.world.control, len(self.world.control)):
                answer = await call_once(address, "PUT", f"/api/instances/{self.name}",
                                         body=json.dumps(word).encode(), limit=1.0)
                if answer.status == 200:
                    break
            await asyncio.sleep(ANNOUNCE_S)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ")
                if not await self.answer(writer, method, path, headers, body):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass  # the caller left
        except asyncio.CancelledError:
            pass  # the run is over
        finally:
            writer.close()

    async def answer(self, writer, method, path, headers, body):
        request_id = headers.get("x-siskindrift-request-id", "")
        expected = headers.get("x-siskindrift-expect-instance", self.name)
        if expected != self.name:
            return await self.reply(writer, 421, request_id, not_run=True)
        if path == "/api/report":
            return await self.reply(writer, 200, "", json.dumps({
                "born": self.born, "Models": self.models(), "Busy": False, "Seq": self.orders,
                "Waiting": 0, "Running": self.running, "Coming": []}).encode())
        if path == "/api/order":
            return await self.reply(writer, self.take_order(json.loads(body)), "")
        if self.running >= 4 * SLOTS:
            return await self.reply(writer, 503, request_id, not_run=True)
        adapter = headers.get("x-siskindrift-model", "").partition("/")[2]
        if self.adapter_places and adapter not in self.adapters:
            return await self.reply(writer, 421, request_id, not_run=True)
        return await self.run(writer, path, headers, request_id)

    def take_order(self, order):
        """Applies an order at once; returns the status."""
        fence = order["Fence"]
        if fence < self.fence:
            return 412
        if fence == self.fence and self.holder not in ("", order["Holder"]):
            self.world.fault(f"{self.name}: two holders with fence {fence}")
        self.fence, self.holder = fence, order["Holder"]
        if order.get("Expect", self.orders) != self.orders:
            return 409
        adapter = order.get("Adapter", "")
        if order["Op"] == "model_unload":
            if self.running:
                return 409
            self.adapters.pop(adapter, None)
        elif adapter in self.adapters:
            return 200
        else:
            self.adapters[adapter] = order.get("Version", 1)
            if len(self.adapters) > self.adapter_places:
                self.world.fault(f"{self.name}: more adapters than places")
        self.orders += 1
        return 202 if order["Op"] == "model_load" else 200

    async def run(self, writer, path, headers, request_id):
        stream = path.startswith("/stream/")
        run = Run(request_id, self.name, path, time.monotonic(),
                  int(headers.get("last-event-id") or 0) + 1)
        self.world.runs.setdefault(request_id, []).append(run)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
            if self.world.random.random() < self.break_share:
                writer.transport.abort()
                return False
            seal = seal_of(request_id, self.name)
            if stream:
                events = int(headers.get("x-siskindrift-token-count", "0,9").split(",")[1])
                return await self.stream(writer, request_id, seal, run.first_event, events)
            return await self.reply(writer, 200, request_id, body_of(request_id, seal), seal)
        finally:
            self.running -= 1

    async def stream(self, writer, request_id, seal, first, events):
        head = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                "X-Siskindrift-Request-Id": request_id, "X-Siskindrift-Response-Seal": seal}
        writer.write(render("HTTP/1.1 200 OK", head))
        for number in range(first, events + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def reply(self, writer, status, request_id, body=b"", seal="", not_run=False):
        headers = {"Content-Length": str(len(body))}
        if request_id:
            headers["X-Siskindrift-Request-Id"] = request_id
        if seal:
            headers["X-Siskindrift-Response-Seal"] = seal
        if not_run:
            headers["X-Siskindrift-Not-Executed"] = "1"
        writer.write(render(f"HTTP/1.1 {status} X", headers, body))
        await writer.drain()
        return True


class Link:
    """A relay before one upstream that delays, silences or resets connections."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay_s = 0.0
        self.silent_to = False    # towards the target
        self.silent_from = False  # away from it
        self.writers = set()

    async def start(self):
        ip, port = self.listen.split(":")
        await asyncio.start_server(self.accept, ip, int(port))

    async def accept(self, reader, writer):
        ip, port = self.target.split(":")
        try:
            inner_reader, inner_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, inner_writer}
        try:
            await asyncio.gather(self.pump(reader, inner_writer, lambda: self.silent_to),
                                 self.pump(inner_reader, writer, lambda: self.silent_from))
        except asyncio.CancelledError:
            pass  # the run is over
        self.writers -= {writer, inner_writer}

    async def pump(self, reader, writer, silent):
        lost = False  # bytes that a silent path swallowed can't be made up for
        try:
            while data := await reader.read(65536):
                lost = lost or silent()
                if lost:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # the other direction closes as well
        writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


class World:
    """Programs, upstreams and the operator of one run."""

    def __init__(self, folder, seed=1, coordinators=3, gateways=3, plain=2, engines=2):
        self.folder = pathlib.Path(folder).resolve()
        self.random = random.Random(seed)
        self.port = free_port_block(["127.7.1.1", "127.7.2.1", "127.7.3.1", "127.7.4.1"], 6)
        self.names = [f"coordinator-{i + 1}" for i in range(coordinators)]
        self.gateways = [f"gateway-{i + 1}" for i in range(gateways)]
        self.control = [f"127.7.1.{i + 1}:{self.port + 3}" for i in range(coordinators)]
        self.processes = {}
        self.started = set()
        self.file_limits = {}  # bytes, by name: a process that is started under one
        self.tasks = []
        self.runs = {}
        self.faults = []
        self.over = False  # ends what runs in the background
        self.upstreams = [Upstream(self, f"plain-{i + 1}", "desk", i + 1) for i in range(plain)]
        self.upstreams += [Upstream(self, f"engine-{i + 1}", "models", i + 101, adapter_places=4)
                           for i in range(engines)]
        self.version = 0
        self.acknowledged = 0

    def fault(self, text):
        self.faults.append(text)

    # --- programs ---
    def caller_address(self, i):
        return f"127.7.2.{i + 1}:{self.port}"

    def ready_address(self, i):
        return f"127.7.2.{i + 1}:{self.port + 1}"

    def directory_address(self, i):
        return f"127.7.2.{i + 1}:{self.port + 2}"

    def metrics_address(self, i):
        return f"127.7.2.{i + 1}:{self.port + 5}"

    def settings_of(self, name):
        kind, _, number = name.rpartition("-")
        i = int(number) - 1
        inner = self.port + 4
        if kind == "coordinator":
            folder = self.folder / name / "data"
            return {"vm": name, "failure_domain": "a", "ip": f"127.7.1.{i + 1}",
                    "control_address": self.control[i],
                    "seeds": [f"127.7.1.{j + 1}:{inner}" for j in range(len(self.names))],
                    "inner_port": inner, "data_folder": str(folder),
                    "first_start": name not in self.started,
                    "losses_borne": (len(self.names) - 1) // 2, "order_lease_ms": 3000,
                    "upstreams_check_fences": True, "announcement_ms": int(ANNOUNCE_S * 1000)}
        return {"vm": name, "failure_domain": "a", "caller_address": self.caller_address(i),
                "readiness_address": self.ready_address(i),
                "directory_address": self.directory_address(i),
                "seeds": [f"127.7.1.{j + 1}:{inner}" for j in range(len(self.names))],
                "inner_port": inner,
                "retry_extra": 50, "stop_grace_s": GRACE_S,
                "metrics_address": self.metrics_address(i),
                "announcement_ms": int(ANNOUNCE_S * 1000)}

    def start(self, name):
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        settings = folder / "settings.json"
        settings.write_text(json.dumps(self.settings_of(name), indent=2))
        self.started.add(name)
        program = "siskindrift-" + name.rpartition("-")[0]
        process = subprocess.Popen(
            [str(BIN / program), "--settings", str(settings)], stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
            preexec_fn=lambda: limit_files(self.file_limits.get(name)))
        self.processes[name] = process
        # Through a pipe, for the log is not on the disk that fills up.
        threading.Thread(target=keep_log, args=(process.stdout, folder / "log.jsonl"),
                         daemon=True).start()

    def fill_disk(self, name):
        """Lets a coordinator's writes fail, now and when it is started again."""
        self.file_limits[name] = FULL_DISK_BYTES
        self.limit_running(name, FULL_DISK_BYTES)

    def empty_disk(self, name):
        self.file_limits.pop(name, None)
        self.limit_running(name, resource.RLIM_INFINITY)

    def limit_running(self, name, most_bytes):
        process = self.processes[name]
        if process.poll() is None:
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE,
                             (most_bytes, resource.RLIM_INFINITY))

    def restart_ended(self):
        """Does what the platform does with processes that ended; returns their names."""
        ended = [name for name, process in self.processes.items() if process.poll() is not None]
        for name in ended:
            self.start(name)
        return ended

    def signal(self, name, number):
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    async def ended(self, name, limit):
        """Waits for the end of a process and returns its status; None when it still runs."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            status = self.processes[name].poll()
            if status is not None:
                return status
            await asyncio.sleep(0.02)
        return None

    async def up(self):
        if self.folder.exists():
            shutil.rmtree(self.folder)
        for name in self.names + self.gateways:
            self.start(name)
        for upstream in self.upstreams:
            await upstream.start()
        await self.put_document(limit=30)
        for i in range(len(self.gateways)):
            await self.until(lambda i=i: self.gateway_ready(i), 20, f"gateway {i + 1} is ready")

    async def gateway_ready(self, i):
        return (await call_once(self.ready_address(i), "GET", "/api/ready", limit=1)).status == 200

    async def until(self, condition, limit, what):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"not within {limit} s: {what}")

    def down(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    # --- the operator ---
    def document(self, version):
        def route(kind, service, **more):
            return {"Name": kind, "Host": HOST, "PathPrefix": f"/{kind}/", "Kind": kind,
                    "TimeoutMs": 4000, "LatencySloMs": 500, "Priority": 0, "Service": service,
                    "MaxAttempts": 3, **more}
        routes = [route("safe", "desk"), route("unsafe", "desk", MaxAttempts=1)]
        stream = route("streaming", "models", GapTargetMs=400, Resumable=True, TimeoutMs=12000)
        routes.append({**stream, "PathPrefix": "/stream/"})
        routes.append({**route("safe", "desk"), "Name": "newest", "PathPrefix": f"/v{version}/"})
        engine = {"Slots": SLOTS, "KvCapacity": 100000, "AdapterSlots": 4, "LoadsPerS": 2.0,
                  "WeightsMb": 2000, "Models": [{"Name": MODEL, "WeightsMb": 1000, "LoadS": 0.1,
                                                 "Adapters": 100, "AdapterMb": 10}]}
        services = [{"Name": "desk", "HealthPath": "/health", "MaxConns": 100},
                    {"Name": "models", "HealthPath": "/health", "MaxConns": 100, "Engine": engine}]
        return {"Version": version, "Routes": routes, "Services": services,
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20,
                           "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}

    async def control_call(self, method, path, body=b"", limit=1.0):
        """Calls one coordinator and follows at most two redirects."""
        address = self.random.choice(self.control)
        for _ in range(3):
            answer = await call_once(address, method, path, body=body, limit=limit)
            if answer.status != 307:
                return answer
            address = answer.headers["location"].split("/")[2]
        return answer

    async def put_document(self, limit):
        """Sends the next document until it is acknowledged; returns whether it was in time."""
        self.version += 1
        version = self.version
        body = json.dumps(self.document(version)).encode()
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await self.control_call("PUT", "/api/config", body)
            if answer.status == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
            if 400 <= answer.status < 500 and answer.status not in PROMISES:
                self.fault(f"document {version} refused with {answer.status}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def read_document(self):
        """Returns the version that a coordinator reads back, or None without a clear answer."""
        answer = await self.control_call("GET", "/api/config")
        return json.loads(answer.body)["Version"] if answer.status == 200 else None


def keep_log(source, path):
    with source, open(path, "ab") as log:
        while data := source.read1(65536):
            log.write(data)
            log.flush()


def limit_files(most_bytes):
    """Lets a write past a limit of file sizes fail as one to a full disk does."""
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    if most_bytes is not None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (most_bytes, resource.RLIM_INFINITY))


# --- callers' requests and what is judged of their answers ---

def request_headers(request_id, deadline_s, adapter="", events=9):
    headers = {"X-Siskindrift-Request-Id": request_id,
               "X-Siskindrift-Deadline-Ms": str(int(deadline_s * 1000))}
    if adapter:
        headers["X-Siskindrift-Model"] = f"{MODEL}/{adapter}"
        headers["X-Siskindrift-Token-Count"] = f"100,{events}"
        headers["X-Siskindrift-Prompt-Prefix"] = "5c1e07a2:60,91bd3f06:40"
    return headers


def event_numbers(body):
    """Returns the numbers of the whole events in the text of a stream."""
    whole = body.decode().rpartition("\n\n")[0]
    return [int(event.split("\n")[0].partition(": ")[2]) for event in whole.split("\n\n") if event]


def judge(world, request_id, path, answer, events=9):
    """Notes every promise that an answer breaks, given what the upstreams ran."""
    runs = world.runs.get(request_id, [])
    if not path.startswith("/safe/") and not path.startswith("/stream/") and len(runs) > 1:
        world.fault(f"{request_id} {path}: ran {len(runs)} times")
    if answer.status in PROMISES and runs and not path.startswith("/safe/"):
        world.fault(f"{request_id} {path}: {answer.status} though it ran")
    if not 200 <= answer.status < 300:
        return
    seal = answer.headers.get("x-siskindrift-response-seal", "")
    if seal not in [seal_of(request_id, run.upstream) for run in runs]:
        world.fault(f"{request_id} {path}: a success without a seal of its upstream")
    if path.startswith("/stream/"):
        numbers = event_numbers(answer.body)
        if numbers != list(range(1, len(numbers) + 1)):
            world.fault(f"{request_id} {path}: events {numbers}")
        if answer.whole and len(numbers) != events:
            world.fault(f"{request_id} {path}: complete after {len(numbers)} events")
    elif answer.whole and answer.body != body_of(request_id, seal):
        world.fault(f"{request_id} {path}: another body than the upstream's")
