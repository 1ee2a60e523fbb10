"""Figures of a scale run: quantiles and the table."""

import math
from pathlib import Path


def in_force(times, real_times, changes):
    adopted = [value for value in times if value is not None]
    real = [value for value in real_times if value is not None]
    return {"changes": changes, "pairs": len(times), "not_in_force_before_the_next": len(times) - len(adopted),
            "ms": quantiles(adopted), "real_ms": quantiles(real), "real_late": len(real_times) - len(real)}


def quantiles(values):
    ordered = sorted(values)
    if not ordered:
        return {"count": 0, "mean": None, "p50": None, "p99": None, "max": None}
    at = lambda share: ordered[min(len(ordered) - 1, math.ceil(len(ordered) * share) - 1)]
    return {"count": len(ordered), "mean": sum(ordered) / len(ordered), "p50": at(0.5), "p99": at(0.99),
            "max": ordered[-1]}


def load_average():
    return [float(part) for part in Path("/proc/loadavg").read_text().split()[:3]]


def print_table(result):
    print(f"daemons {result['daemons']}  processes {result['processes']}  zones {result['zones']}  "
          f"real {result['real_daemons']} (joined: {result['real_daemons_joined']})")
    print(f"load average {result['load_average_before']} to {result['load_average_after']}, {result['cores']} cores")
    row("", {"p50": "p50", "p99": "p99", "max": "max", "mean": "mean"})
    join = result["join"]
    row(f"ready after start, s ({join['ready']})", join["ready_s"])
    row("members known at the end of joining", join["members_known"])
    row("bytes sent while joining", join["sent_bytes"])
    for name in ("quiet", "changing"):
        window = result[name]
        row(f"{name}: bytes sent/s", window["sent_bytes_per_s"])
        row(f"{name}: bytes received/s", window["received_bytes_per_s"])
        row(f"{name}: datagrams sent/s", window["datagrams_per_s"])
        row(f"{name}: share of a core, %", window["core_share_per_daemon"], 100)
        row(f"{name}: resident kB", window["resident_bytes_per_daemon"], 1 / 1024)
        row(f"{name}: real daemon, share of a core, %", window["real_core_share"], 100)
        row(f"{name}: real daemon, resident kB", window["real_resident_bytes"], 1 / 1024)
    for name in ("changes", "drain"):
        row(f"{name}: in force after, ms ({result[name]['not_in_force_before_the_next']} late)", result[name]["ms"])
        row(f"{name}: in force at real daemons, ms", result[name]["real_ms"])
    if "calls" in result:
        calls = result["calls"]
        print(f"calls: {calls['whole']} of {calls['sent']} requests whole, "
              f"{calls['processor_ms_per_hop']:.3f} ms of the daemons' processor time per call and hop")
    row(f"leaving mark known after, ms ({result['leaving_mark']['known_by']})", result["leaving_mark"]["ms"])
    death = result["death"]
    row(f"{death['killed']} dead known after, s ({death['known_by']} of {death['survivors']})", death["all_dead_known_s"])
    row("  in their own zone, s", death["own_zone_s"])


def row(name, values, factor=1):
    cells = []
    for column in ("p50", "p99", "max", "mean"):
        value = values[column]
        cells.append(f"{value:>10}" if value is None or isinstance(value, str) else f"{value * factor:>10.4g}")
    print(f"{name:<52}{''.join(str(cell) for cell in cells)}")
