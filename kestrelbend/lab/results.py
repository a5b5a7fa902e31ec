"""Results: one JSON line a run, which every other verb reads again."""

from __future__ import annotations

import hashlib
import sys
from pathlib import Path

import msgspec

from ..json_lines import append_lines

VERSION = 1


def digest(scenario):
    """Of what the scenario states, so that results of one name can be told apart."""
    return hashlib.blake2b(msgspec.json.encode(scenario, enc_hook=plain), digest_size=6).hexdigest()


def plain(quantity):
    """Times and shares are numbers of types of their own."""
    return int(quantity) if isinstance(quantity, int) else float(quantity)


def row(scenario, world, figures, clock, seed=None, variant="as it is", text=None):
    return {
        "v": VERSION,
        "scenario": scenario.name,
        "digest": digest(scenario),
        "clock": clock,
        "seed": world.streams.seed if seed is None else seed,
        "variant": variant,
        "text": text,
        "size": [scenario.fleet.gateways, scenario.backends.count],
        "lasts_s": scenario.lasts / 1e6,
        "figures": figures,
        "series": world.tally.rows(),
        "marks": world.tally.marks,
        "backends": world.tally.backends(world),
    }


def write(path, rows):
    """Add lines at the end; a line is written whole or, when the run is killed, left to be passed over."""
    append_lines(path, map(msgspec.json.encode, rows))


def read(path):
    """All whole lines, in order; what is not a line of results is passed over with a warning."""
    rows, text = [], Path(path).read_bytes()
    for number, line in enumerate(text.split(b"\n"), 1):
        if not line.strip():
            continue
        try:
            each = msgspec.json.decode(line)
            if not isinstance(each, dict) or each.get("v") != VERSION or "figures" not in each:
                raise msgspec.DecodeError("not a result of this version")
        except msgspec.DecodeError as trouble:
            print(f"{path}: line {number} passed over: {trouble}", file=sys.stderr)
            continue
        rows.append(each)
    return rows


def summary(row):
    """What one run came to, for a terminal."""
    f = row["figures"]
    size = f"{row['size'][0]} gateways, {row['size'][1]} backends, {row['lasts_s']:.0f} s, seed {row['seed']}"
    lines = [
        f"{row['scenario']} ({row['clock']}, {size})",
        f"  served {f['served']:.3f} of the worth inside the quotas, net of costs {f['net']:.3f}; "
        f"worst plan {f['worst_plan']:.3f}",
        "  by plan: " + ", ".join(f"{name} {share:.3f}" for name, share in f["plans"].items()),
        "  costs: " + ", ".join(f"{name} {cost:.4f}" for name, cost in f["costs"].items()),
        f"  {f['counts'].get('requests', 0)} requests, {f['counts'].get('tries', 0)} tries, "
        f"{f['counts'].get('deliveries', 0)} deliveries, {f['refused_share']:.0%} of the tries refused, "
        f"{f['beyond_share']:.1%} of the units sent beyond quotas",
        f"  to a good answer: {', '.join(f'{k} {v:.0f} ms' for k, v in f['latency_ms'].items())}",
    ]
    if f["refusals"]:
        top = sorted(f["refusals"].items(), key=lambda pair: -pair[1])[:5]
        lines.append("  refused: " + ", ".join(f"{name} {count}" for name, count in top))
    lines += [f"  {at:6.2f} s  {text}" for at, text in row["marks"]]
    lines.append("  rules kept" if not f["rules_broken"] else f"  RULES BROKEN: {f['rules_broken']}")
    if "run" in f:
        r = f["run"]
        lines.append(
            f"  took {r['wall_s']} s, {r['memory_mb']} MB, "
            f"{r['tries_per_core_s']:.0f} tries a second and core"
        )
    return "\n".join(lines)
