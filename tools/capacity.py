"""Computes the tables of docs/CAPACITY.md from the measured slopes.

Usage: capacity.py --write | --check | --slopes FILE (takes the JSON lines of bench.sh capacity)
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/CAPACITY.md"
SLOPES = ROOT / "docs/capacity_slopes.json"

# Target deployment and the limits of one VM.
NODES = 340
UPSTREAMS = 1200
REQUESTS_PER_S = 2200
TOKENS_PER_S = 540_000
ADAPTERS = 36_000
CHANGES_PER_DAY = 1700
REGIONS = 6
FAILURE_DOMAINS = 13
CONTROL_VMS = 25
VOTERS = 5
RESTARTS_PER_DAY = 594  # VMs: 14 failures and 580 restarts
ACTIVATED_SHARE_PER_HOUR = 0.067  # of all adapters; counted as a load and an eviction each
LIMIT_BYTES_PER_S = 29_000
LIMIT_CPU_CORES = 0.013
LIMIT_MEMORY_BYTES = 64e6

# Full mesh, as implemented.
HEARTBEATS_PER_S = 2.5   # on each connection; the peer echoes each
ANNOUNCEMENTS_PER_S = 1.1
DIGESTS_PER_S = 4.0
RENEWALS_PER_S = 2.5
ADAPTERS_PER_ENGINE = 30  # loaded on an engine at the target: 36,000 / 1,200
DIGEST_ENTRY_BYTES = 44   # one adapter in a digest message
FRAME_HEADER_BYTES = 8

SENT_AND_RECEIVED = 2    # each VM sends its share to all others and receives theirs

# Planned design, with relays in place of the full mesh.
ACTIVE_PEERS = 12        # concurrent connections that carry requests; idle ones are closed
RELAY_PERIOD_S = 1.0
LOAD_SUMMARY_BYTES = 16  # running and waiting requests of one engine in a relay's summary
DELTA_BYTES = 64         # one load or eviction of an adapter
CLAIM_SHARE = 0.2        # of requests that are non-idempotent


def load():
    slopes = {}
    for item in json.loads(SLOPES.read_text()):
        slopes.setdefault(item["name"], {})[item["size"]] = item["value"]
    return slopes


def at_largest(slopes, name):
    return slopes[name][max(slopes[name])]


def kb(value):
    return f"{value / 1000:,.1f}"


def slope_table(slopes):
    lines = ["| slope | size: value |", "|---|---|"]
    for name in sorted(slopes):
        values = ", ".join(f"{size:,.0f}: {value:,.2f}" for size, value in sorted(slopes[name].items()))
        lines.append(f"| `{name}` | {values} |")
    return lines


def full_mesh_traffic(s, nodes, upstreams):
    """Bytes per second that one entry VM sends and receives with the full mesh."""
    heartbeat_bytes = at_largest(s, "bytes_per_heartbeat") + FRAME_HEADER_BYTES
    announcement_bytes = at_largest(s, "bytes_per_announcement") + FRAME_HEADER_BYTES
    peers = nodes - 1
    return {
        "heartbeats": peers * 2 * HEARTBEATS_PER_S * 2 * heartbeat_bytes,
        "announcements": upstreams * ANNOUNCEMENTS_PER_S * announcement_bytes * SENT_AND_RECEIVED,
        "digests": upstreams * DIGESTS_PER_S * ADAPTERS_PER_ENGINE * DIGEST_ENTRY_BYTES * SENT_AND_RECEIVED,
        "renewals": RENEWALS_PER_S * at_largest(s, "bytes_per_renewal_both_ways"),
        "membership": RESTARTS_PER_DAY * 2 / 86400 * at_largest(s, "bytes_per_membership_list"),
        "configuration": CHANGES_PER_DAY / 86400 * at_largest(s, "log_bytes_per_change"),
    }


def max_size_within(part, limit=LIMIT_BYTES_PER_S):
    """Largest size at which `part(size)`, which grows linearly, stays within `limit`."""
    size = 1
    while part(size + 1) <= limit:
        size += 1
    return size


def full_mesh_table(s):
    parts = full_mesh_traffic(s, NODES, UPSTREAMS)
    fits = {
        "heartbeats": f"{max_size_within(lambda n: full_mesh_traffic(s, n, 1)['heartbeats'])} VMs",
        "announcements": f"{max_size_within(lambda n: full_mesh_traffic(s, 7, n)['announcements'])} upstreams",
        "digests": f"{max_size_within(lambda n: full_mesh_traffic(s, 7, n)['digests'])} upstreams",
    }
    lines = ["| part | KB/s for one entry VM at the target | alone within 29 KB/s up to |", "|---|---|---|"]
    for name, value in parts.items():
        lines.append(f"| {name} | {kb(value)} | {fits.get(name, 'the target')} |")
    lines.append(f"| sum | {kb(sum(parts.values()))} | |")
    return lines


def planned_entry_traffic(s):
    heartbeat_bytes = at_largest(s, "bytes_per_heartbeat") + FRAME_HEADER_BYTES
    announcement_bytes = at_largest(s, "bytes_per_announcement") + FRAME_HEADER_BYTES
    owned = UPSTREAMS / (NODES - CONTROL_VMS)
    region_engines = UPSTREAMS / REGIONS
    changes = 2 * ACTIVATED_SHARE_PER_HOUR * ADAPTERS / 3600 / REGIONS
    return {
        "heartbeats": (ACTIVE_PEERS + 2) * 2 * HEARTBEATS_PER_S * 2 * heartbeat_bytes,
        "announcements of own upstreams": owned * ANNOUNCEMENTS_PER_S * announcement_bytes,
        "load summaries of the region": region_engines * LOAD_SUMMARY_BYTES / RELAY_PERIOD_S,
        "residency deltas of the region": changes * DELTA_BYTES,
        "renewals": RENEWALS_PER_S * at_largest(s, "bytes_per_renewal_both_ways"),
        "membership deltas": RESTARTS_PER_DAY * 2 / 86400 * 128,
        "configuration": CHANGES_PER_DAY / 86400 * at_largest(s, "log_bytes_per_change"),
    }


def entry_cpu(s):
    nodes = NODES - CONTROL_VMS
    owned = UPSTREAMS / nodes
    per_us = {
        "heartbeats": (ACTIVE_PEERS + 2) * 2 * HEARTBEATS_PER_S * 2 * at_largest(s, "cpu_per_heartbeat"),
        "announcements": owned * ANNOUNCEMENTS_PER_S * at_largest(s, "cpu_per_announcement"),
        "renewals": RENEWALS_PER_S * at_largest(s, "cpu_per_renewal_both_ends"),
        "summaries": UPSTREAMS / REGIONS / RELAY_PERIOD_S * 0.1,
    }
    return sum(per_us.values()) / 1e6


def request_cpu(s):
    """CPU cores that one entry VM uses for requests and for tokens, without control traffic."""
    nodes = NODES - CONTROL_VMS
    routing = s["cpu_per_routing_decision"]
    per_engine_us = routing[max(routing)] / max(routing)
    region_engines = UPSTREAMS / REGIONS
    requests = REQUESTS_PER_S / nodes * (region_engines * per_engine_us + at_largest(s, "cpu_per_forwarded_request"))
    tokens = TOKENS_PER_S / nodes * at_largest(s, "cpu_per_streamed_token")
    return requests / 1e6, tokens / 1e6


def role_table(s):
    entry_memory = ADAPTERS * at_largest(s, "entry_bytes_per_adapter") + \
        UPSTREAMS / REGIONS * (at_largest(s, "entry_bytes_per_upstream") + ADAPTERS_PER_ENGINE * 120)
    claims_per_s = REQUESTS_PER_S * CLAIM_SHARE / REGIONS
    claims_per_day = claims_per_s * 86400
    claim_memory = claims_per_day * at_largest(s, "control_bytes_per_claim")
    voter_memory = ADAPTERS * at_largest(s, "control_bytes_per_adapter")
    voter_cpu = claims_per_s * at_largest(s, "cpu_per_claim") / 1e6
    voter_bytes = claims_per_s * at_largest(s, "log_bytes_per_claim") * (VOTERS - 1)
    relays = CONTROL_VMS - VOTERS
    per_relay = (NODES - CONTROL_VMS) / relays
    relay_bytes = per_relay * sum(planned_entry_traffic(s)[name] for name in (
        "load summaries of the region", "residency deltas of the region", "renewals", "membership deltas"))
    relay_cpu = per_relay * RENEWALS_PER_S * at_largest(s, "cpu_per_renewal_both_ends") / 1e6 + \
        UPSTREAMS / relays * ANNOUNCEMENTS_PER_S * at_largest(s, "cpu_per_announcement") / 1e6
    entry_bytes = sum(planned_entry_traffic(s).values())
    owned = UPSTREAMS / (NODES - CONTROL_VMS)
    lines = ["| role | state | messages a second | KB/s | processor, % of a core | memory, MB |", "|---|---|---|---|---|---|"]
    lines.append(f"| entry (control work) | {ADAPTERS:,} adapters, {UPSTREAMS / REGIONS:.0f} upstreams of its region | "
                 f"{(ACTIVE_PEERS + 2) * 2 * HEARTBEATS_PER_S * 2 + RENEWALS_PER_S * 2 + 2:.0f} | {kb(entry_bytes)} | "
                 f"{entry_cpu(s) * 100:.3f} | {entry_memory / 1e6:.1f} |")
    lines.append(f"| owner duty within an entry | {owned:.1f} engines, {owned * ADAPTERS_PER_ENGINE:.0f} residents | "
                 f"{owned * (ANNOUNCEMENTS_PER_S + 1):.1f} | {kb(owned * 1.1 * at_largest(s, 'bytes_per_announcement'))} | "
                 f"{owned * ANNOUNCEMENTS_PER_S * at_largest(s, 'cpu_per_announcement') / 1e4:.4f} | "
                 f"{owned * (at_largest(s, 'entry_bytes_per_upstream') + ADAPTERS_PER_ENGINE * 400) / 1e6:.2f} |")
    lines.append(f"| control voter of a region's claims | {claims_per_day / 1e6:.1f} million claims of a day | "
                 f"{claims_per_s * 2 * VOTERS:.0f} | {kb(voter_bytes)} | {voter_cpu * 100:.3f} | {claim_memory / 1e6:,.0f} |")
    lines.append(f"| control voter of the configuration | {ADAPTERS:,} adapters, {NODES} VMs, {UPSTREAMS:,} owners | "
                 f"{relays * RENEWALS_PER_S:.0f} | {kb(relays * RENEWALS_PER_S * 164)} | "
                 f"{CHANGES_PER_DAY / 86400 * at_largest(s, 'cpu_per_change') / 1e4:.5f} | {voter_memory / 1e6:.1f} |")
    lines.append(f"| control relay | its domain's {per_relay:.0f} VMs, {UPSTREAMS / relays:.0f} upstreams | "
                 f"{per_relay * (RENEWALS_PER_S + 1):.0f} | {kb(relay_bytes)} | {relay_cpu * 100:.3f} | {voter_memory / 1e6:.1f} |")
    lines.append("| ctl | none | by hand | 0 | 0 | 0 |")
    return lines


def planned_table(s):
    parts = planned_entry_traffic(s)
    lines = ["| part | KB/s for one entry VM at the target |", "|---|---|"]
    lines += [f"| {name} | {kb(value)} |" for name, value in parts.items()]
    lines.append(f"| sum, of 29 | {kb(sum(parts.values()))} |")
    requests, tokens = request_cpu(s)
    lines += ["", f"Besides control, one entry VM's share of the work takes {requests * 100:.3f}% of a core for routing and "
              f"forwarding and {tokens * 100:.2f}% for {TOKENS_PER_S / (NODES - CONTROL_VMS):,.0f} tokens a second."]
    return lines


def render(text, s):
    tables = {"slopes": slope_table(s), "today": full_mesh_table(s), "planned": planned_table(s), "roles": role_table(s)}
    for name, lines in tables.items():
        begin, end = f"<!-- {name} -->", f"<!-- /{name} -->"
        head, rest = text.split(begin)
        _, tail = rest.split(end)
        text = head + begin + "\n" + "\n".join(lines) + "\n" + end + tail
    return text


def main():
    if sys.argv[1:2] == ["--slopes"]:
        items = [json.loads(line) for line in pathlib.Path(sys.argv[2]).read_text().splitlines()]
        SLOPES.write_text(json.dumps(items, indent=1))
        return 0
    text = PAGE.read_text()
    wanted = render(text, load())
    if sys.argv[1:] == ["--write"]:
        PAGE.write_text(wanted)
        return 0
    return 0 if text == wanted else 1


if __name__ == "__main__":
    sys.exit(main())
