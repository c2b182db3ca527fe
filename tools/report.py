"""Writes an HTML page with plots of the policy benchmark's JSON lines: report.py FILE OUT.html"""

import collections
import html
import json
import sys

COLORS = {"naive": "#b04a3a", "siskindrift": "#2f6f9f", "clairvoyant": "#5a8f4e", "foresight": "#a0a0a0"}
WIDTH = 360
BAR = 16


def bars(title, values, unit):
    """Returns an SVG chart with one horizontal bar for each policy."""
    largest = max(values.values()) or 1.0
    rows = []
    for number, (policy, value) in enumerate(values.items()):
        y = 24 + number * (BAR + 6)
        rows.append(f'<text x="0" y="{y + 12}" font-size="11">{policy}</text>'
                    f'<rect x="80" y="{y}" width="{value / largest * (WIDTH - 170):.1f}" height="{BAR}" '
                    f'fill="{COLORS[policy]}"/><text x="{86 + value / largest * (WIDTH - 170):.1f}" y="{y + 12}" '
                    f'font-size="11">{value:,.3g} {unit}</text>')
    height = 30 + len(values) * (BAR + 6)
    return (f'<svg width="{WIDTH}" height="{height}"><text x="0" y="14" font-size="12" font-weight="bold">'
            f"{html.escape(title)}</text>{''.join(rows)}</svg>")


def main():
    rows = collections.defaultdict(dict)
    with open(sys.argv[1]) as file:
        for line in file:
            item = json.loads(line)
            rows[(item["deployment"], item["workload"])][item["policy"]] = item
    parts = ["<!doctype html><meta charset='utf-8'><title>siskindrift policy report</title>"
             "<body style='font-family:sans-serif'><h1>Policy report</h1>"]
    for (deployment, workload), policies in rows.items():
        parts.append(f"<h2>{deployment}: {workload}</h2>")
        for title, field, unit in (("total load stall", "stall_total_s", "s"), ("p99 load stall", "stall_p99_ms", "ms"),
                                   ("batch fill", "batch_fill", ""), ("recovery", "recovery_s", "s")):
            shown = {name: item[field] for name, item in policies.items()
                     if field != "recovery_s" or name in ("naive", "siskindrift")}
            parts.append(bars(title, shown, unit))
    with open(sys.argv[2], "w") as file:
        file.write("\n".join(parts))
    print(sys.argv[2])


if __name__ == "__main__":
    main()
