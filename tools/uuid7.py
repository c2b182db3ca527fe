#!/usr/bin/env python3
"""Prints a new UUIDv7, as an idempotency key."""

import time
import uuid

value = (int(time.time() * 1000) << 80) | (0x7 << 76) | (uuid.uuid4().int & ((1 << 76) - 1))
print(uuid.UUID(int=(value & ~(0xC000 << 48)) | (0x8000 << 48)))
