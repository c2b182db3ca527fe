#!/usr/bin/env python3
"""Prints a new UUIDv7, for use as an idempotency key."""

import time
import uuid


def new():
    value = (int(time.time() * 1000) << 80) | (0x7 << 76) | (uuid.uuid4().int & ((1 << 76) - 1))
    return str(uuid.UUID(int=(value & ~(0xC000 << 48)) | (0x8000 << 48)))


if __name__ == "__main__":
    print(new())
