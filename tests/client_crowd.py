"""Clients that leave the limits, and what a process holds for them."""

import asyncio
import os
import pathlib

CONNECT_S = 5.0
SAMPLE_S = 0.05
MIB = 2 ** 20
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = bytes.fromhex("28000000010000001400000010000c0000000000000000000700080010000000"
                          "00000001080000000400040004000000")  # a frame


class ProcessMonitor:
    """Samples what a process holds until it is stopped."""

    def __init__(self, process, ip):
        self.process = process
        self.ip = ip
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self.task = asyncio.create_task(self.run())

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    def sample(self):
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        try:
            status = dict(line.split(":", 1) for line in (folder / "status").read_text().splitlines())
            descriptors = len(os.listdir(folder / "fd"))
        except OSError:
            return  # the process has ended
        if "VmRSS" not in status:
            return
        now, highest = (int(status[name].split()[0]) * 1024 for name in ("VmRSS", "VmHWM"))
        self.peak_bytes = max(self.peak_bytes, highest, now + unread_bytes(self.ip))
        self.peak_descriptors = max(self.peak_descriptors, descriptors)


def unread_bytes(ip):
    """Returns how many bytes wait to be read in the TCP connections of an address."""
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    total = 0
    with open("/proc/net/tcp") as table:
        for line in list(table)[1:]:
            fields = line.split()
            listens = fields[3] == "0A"
            if fields[1].startswith(local) and not listens:
                total += int(fields[4].partition(":")[2], 16)
    return total


def peak_resident_bytes(pid):
    """Returns the highest resident memory of a process so far, 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/status") as status:
            return next((int(line.split()[1]) * 1024 for line in status if line.startswith("VmHWM")), 0)
    except OSError:
        return 0


def frame_header(payload_bytes):
    """Returns the header of a frame between the system's own processes."""
    return payload_bytes.to_bytes(4, "little") + (1).to_bytes(2, "little") + b"\0\0"


class ClientCrowd:
    """Clients that stay connected until they are left."""

    def __init__(self):
        self.writers = []

    async def send(self, address, first, unit=b"", unit_count=0, last=b""):
        """Sends until the peer closes the connection, and leaves it open."""
        ip, port = address.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), CONNECT_S)
            self.writers.append(writer)
            writer.write(first)
            for _ in range(unit_count):
                if reader.at_eof():
                    break
                writer.write(unit)
                await writer.drain()
            writer.write(last)
            await writer.drain()
        except (OSError, asyncio.TimeoutError):
            pass  # refused, or closed by the peer

    async def send_all(self, count, limit, address, *what):
        """Runs `count` clients; those that haven't sent everything in time stay connected, too."""
        clients = [asyncio.create_task(self.send(address, *what)) for _ in range(count)]
        await asyncio.wait(clients, timeout=limit)
        for client in clients:
            client.cancel()

    def leave(self):
        for writer in self.writers:
            writer.transport.abort()
        self.writers = []
