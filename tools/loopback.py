"""Finds free ports on loopback addresses for deployments on one machine."""

import os
import socket


FIRST_PORT = 20_000
END_PORT = 32_768  # from here on the system chooses ports of outgoing connections


def free_port_block(addresses, ports):
    """Returns the first of `ports` consecutive ports that are free on all addresses."""
    blocks = (END_PORT - FIRST_PORT) // ports
    for i in range(blocks):
        base = FIRST_PORT + (os.getpid() + i) % blocks * ports
        try:
            for address in addresses:
                for offset in range(ports):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((address, base + offset))
            return base
        except OSError:
            continue
    raise RuntimeError(f"no {ports} consecutive free ports on {addresses}")
