"""Finds free ports on loopback addresses for deployments on one machine."""

import os
import socket


def free_port_block(addresses, ports):
    """Returns the first of `ports` consecutive ports that are free on all addresses."""
    for base in range(20000 + os.getpid() * 8 % 30000, 60000, 8):
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
