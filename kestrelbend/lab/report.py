"""Reports: one self-contained HTML file with plots of what runs came to."""

from __future__ import annotations

import base64
import html
import io
from collections import defaultdict

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402  (after the choice of a back end that needs no screen)

WIDE = (9.0, 2.6)
MOST_RUNS = 12  # drawn one by one; more are summed up
STYLE = """body{font:15px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.5em}h2{font-size:1.2em;margin-top:2em;border-bottom:1px solid #ccc}
table{border-collapse:collapse;font-size:13px}
td,th{padding:3px 9px;text-align:right;border-bottom:1px solid #e3e3e3}
td:first-child,th:first-child{text-align:left}img{max-width:100%}pre{background:#f5f5f5;padding:8px;overflow:auto}
.broken{color:#b00020;font-weight:600}"""
REFUSED = (
    "beyond the quota",
    "near the quota",
    "with half the quota unused",
    "at the cap",
    "after deliveries",
)
COLOURS = ("#4c72b0", "#dd8452", "#c44e52", "#8172b3", "#937860", "#55a868", "#da8bc3", "#8c8c8c")


def picture(figure):
    """A figure as an image within the page."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110, bbox_inches="tight")
    plt.close(figure)
    return f'<img alt="" src="data:image/png;base64,{base64.b64encode(buffer.getvalue()).decode()}">'


def axes(title, ylabel, size=WIDE):
    figure, ax = plt.subplots(figsize=size)
    ax.set_title(title, fontsize=10, loc="left")
    ax.set_ylabel(ylabel, fontsize=9)
    ax.tick_params(labelsize=8)
    ax.grid(alpha=0.25)
    for side in ("top", "right"):
        ax.spines[side].set_visible(False)
    return figure, ax


def legend(ax):
    handles, labels = ax.get_legend_handles_labels()
    if handles:
        ax.legend(handles, labels, fontsize=8, frameon=False, loc="upper left", bbox_to_anchor=(1.0, 1.0))


def marked(ax, marks):
    """Each failure as a span or a moment; those of one moment share a line."""
    open_, begun, top = {}, defaultdict(list), ax.get_ylim()[1]
    for at, text in marks:
        if text.startswith("end of "):
            since = open_.pop(text[7:], None)
            if since is not None:
                ax.axvspan(since, at, color="#888888", alpha=0.13, lw=0, zorder=0)
            continue
        open_[text] = at
        begun[round(at, 1)].append(text)
    for at, names in begun.items():
        ax.axvline(at, color="#666666", lw=0.8, ls=":", zorder=0)
        ax.text(at, top, f" {', '.join(names)}", rotation=90, fontsize=7, va="top", color="#444444")
    ax.set_xlabel("seconds", fontsize=8)


def lines(ax, series, names, per=None, labels=None):
    for name, colour, label in zip(names, COLOURS, labels or names, strict=False):
        values = series.get(name)
        if not values:
            continue
        if per is not None:
            base = per + [0.0] * (len(values) - len(per))
            values = [v / b if b else float("nan") for v, b in zip(values, base, strict=False)]
        wide = name in ("counter calls", "intended")  # mostly hidden behind another
        ax.plot(
            [at + 0.5 for at in range(len(values))],
            values,
            color=colour,
            label=label,
            lw=4 if wide else 1.4,
            alpha=0.4 if wide else 1,
        )


def stacked(ax, series, names):
    length = max((len(series[n]) for n in names if n in series), default=0)
    base = [0.0] * length
    for name, colour in zip(names, COLOURS, strict=False):
        values = series.get(name)
        if values:
            values = values + [0.0] * (length - len(values))
            ax.bar(
                [at + 0.5 for at in range(length)],
                values,
                1.0,
                base,
                color=colour,
                label=name.removeprefix("refused "),
                lw=0,
            )
            base = [b + v for b, v in zip(base, values, strict=True)]


def worth(row):
    figure, ax = axes("Worth served beside worth asked inside the quotas, by second", "worth")
    lines(ax, row["series"], ("offered", "served"))
    ax.set_ylim(bottom=0)
    marked(ax, row["marks"])
    legend(ax)
    return picture(figure)


def refusals(row):
    series = {}
    for name, values in row["series"].items():
        if name.startswith("refused "):
            key = name.removesuffix(", marked retry")
            before = series.get(key, [])
            length = max(len(before), len(values))
            series[key] = [
                (before[at] if at < len(before) else 0) + (values[at] if at < len(values) else 0)
                for at in range(length)
            ]
    if not series:
        return ""
    figure, ax = axes(
        "Refusals by what can be told from outside, by second (marked retries with their kind)", "tries"
    )
    stacked(ax, series, [f"refused {name}" for name in REFUSED])
    marked(ax, row["marks"])
    legend(ax)
    return picture(figure)


def quotas(row):
    figure, ax = axes("Units sent beyond quotas, by second", "units")
    lines(ax, row["series"], ("beyond",))
    ax.set_ylim(bottom=0)
    marked(ax, row["marks"])
    return picture(figure)


def counter(row):
    if "counter calls" not in row["series"]:
        return ""
    figure, ax = axes("Calls to the counter, by second", "calls")
    lines(
        ax,
        row["series"],
        ("counter calls", "counter answered", "counter turned away", "counter unanswered"),
        labels=("all", "answered", "turned away", "unanswered"),
    )
    ax.set_ylim(bottom=0)
    marked(ax, row["marks"])
    legend(ax)
    return picture(figure)


def answers(row):
    names = [n for n in row["series"] if n.startswith("answers ")]
    figure, ax = axes("What clients got, tries by second", "tries")
    lines(ax, row["series"], names, labels=[n[8:] for n in names])
    ax.set_ylim(bottom=0)
    marked(ax, row["marks"])
    legend(ax)
    return picture(figure)


def backends(row):
    made = row.get("backends") or []
    if not made:
        return ""
    figure, ax = axes("Backends at the end: invocations done since their start, and times benched", "done")
    zones = sorted({b["zone"] for b in made})
    made = sorted(made, key=lambda b: (b["zone"], b["uid"]))
    ax.bar(
        range(len(made)),
        [b["done"] for b in made],
        0.85,
        color=[COLOURS[zones.index(b["zone"]) % len(COLOURS)] for b in made],
    )
    for at, b in enumerate(made):
        if b["benched"]:
            ax.text(at, b["done"], str(b["benched"]), fontsize=6, ha="center", va="bottom", color="#b00020")
    ax.set_xlabel(f"backends by zone ({', '.join(zones)}); red: benched so often in all", fontsize=8)
    return picture(figure)


def latencies(rows):
    figure, ax = axes("Time to a good answer, from the try's sending", "ms", (9.0, 2.8))
    names = list(rows[0]["figures"]["latency_ms"])
    for row, colour in zip(rows, COLOURS * 4, strict=False):
        ax.plot(
            names,
            [row["figures"]["latency_ms"].get(n) for n in names],
            marker="o",
            ms=3.5,
            lw=1.2,
            color=colour,
            label=f"{row['variant']}, seed {row['seed']}",
        )
    ax.set_yscale("log")
    ax.yaxis.set_major_formatter("{x:g}")
    ax.yaxis.set_minor_formatter("{x:g}")
    ax.tick_params(axis="y", which="minor", labelsize=6)
    legend(ax)
    return picture(figure)


def by_size(rows):
    """Cost by fleet size, where the results hold several."""
    sizes = sorted({tuple(row["size"]) for row in rows})
    if len(sizes) < 2:
        return ""
    figure, ax = axes("Costs by fleet size (mean over seeds), parts of the worth asked", "cost", (9.0, 3.0))
    names = [f"{g}x{b}" for g, b in sizes]
    base = [0.0] * len(sizes)
    for kind, colour in zip(rows[0]["figures"]["costs"], COLOURS, strict=False):
        values = [
            mean(r["figures"]["costs"].get(kind, 0.0) for r in rows if tuple(r["size"]) == size)
            for size in sizes
        ]
        ax.bar(names, values, 0.6, base, color=colour, label=kind)
        base = [b + v for b, v in zip(base, values, strict=True)]
    ax.set_xlabel("gateways x backends", fontsize=8)
    legend(ax)
    return picture(figure)


def by_variant(rows):
    """Served and net of each variant, a dot a seed, for each scenario."""
    groups = defaultdict(lambda: defaultdict(list))
    for row in rows:
        groups[scene(row)][row["variant"]].append(row["figures"])
    made = []
    for name, variants in groups.items():
        if len(variants) < 2:
            continue
        height = max(1.6, 0.32 * len(variants) + 0.9)
        figure, ax = axes(f"{name}: net of costs (dots: runs; bar: mean)", "", (9.0, height))
        for at, figures in enumerate(variants.values()):
            values = [f["net"] for f in figures]
            colour = "#b00020" if any(f["rules_broken"] for f in figures) else COLOURS[0]
            ax.plot(values, [at] * len(values), "o", ms=4, color=colour, alpha=0.6)
            ax.plot([mean(values)] * 2, [at - 0.3, at + 0.3], color=colour, lw=2)
        ax.set_yticks(range(len(variants)), list(variants), fontsize=8)
        ax.invert_yaxis()
        ax.set_xlabel("red: a rule was broken", fontsize=8)
        made.append(picture(figure))
    return "".join(made)


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def scene(row):
    return f"{row['scenario']}, {row['size'][0]}x{row['size'][1]}, {row['clock']}"


def table(rows):
    head = (
        "run",
        "seed",
        "served",
        "net",
        "worst plan",
        "refused",
        "beyond",
        "calls/request",
        "p50 ms",
        "p99 ms",
        "rules",
    )
    cells = []
    for row in rows:
        f = row["figures"]
        calls = f["counts"].get("counter calls", 0) / max(1, f["counts"].get("requests", 1))
        rules = '<span class="broken">broken</span>' if f["rules_broken"] else "kept"
        cells.append(
            (
                f"{html.escape(scene(row))}: {html.escape(row['variant'])}",
                row["seed"],
                f"{f['served']:.3f}",
                f"{f['net']:.3f}",
                f"{f['worst_plan']:.3f}",
                f"{f['refused_share']:.1%}",
                f"{f['beyond_share']:.1%}",
                f"{calls:.2f}",
                f"{f['latency_ms']['p50']:.0f}",
                f"{f['latency_ms']['p99']:.0f}",
                rules,
            )
        )
    body = "".join("<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>" for row in cells)
    return f"<table><tr>{''.join(f'<th>{h}</th>' for h in head)}</tr>{body}</table>"


def section(row):
    broken = "".join(f'<pre class="broken">{html.escape(text)}</pre>' for text in row["figures"]["broken"])
    plots = "".join(plot(row) for plot in (worth, answers, refusals, quotas, counter, backends))
    title = html.escape(f"{scene(row)}: {row['variant']}, seed {row['seed']}")
    return f"<h2>{title}</h2>{broken}{plots}"


def loaded(row):
    """A run of the load tool: what came back by second of the intended time, and how late."""
    figures, windows = row["figures"], row["windows"]
    figure, ax = axes("Requests by the second at which they were to be sent", "requests")
    series = {}
    for window in windows:
        for name, count in window.items():
            if name != "at_s":
                series.setdefault(name, [0.0] * (windows[-1]["at_s"] + 1))[window["at_s"]] = count
    lines(ax, series, ["intended", *sorted(series.keys() - {"intended"})])
    ax.set_ylim(bottom=0)
    legend(ax)
    plots = [picture(figure)]
    if figures["latency_ms"]:
        figure, ax = axes("Time to an answer", "ms")
        for key, label in (("latency_ms", "from the intended time"), ("service_ms", "from the sending")):
            ax.plot(list(figures[key]), list(figures[key].values()), marker="o", ms=3.5, label=label)
        ax.set_yscale("log")
        legend(ax)
        plots.append(picture(figure))
    said = html.escape(", ".join(f"{k} {v}" for k, v in sorted(figures["answers"].items())))
    void = f'<p class="broken">void: {html.escape(figures["void"])}</p>' if "void" in figures else ""
    title = html.escape(f"{row['load']} to {row['target']}, seed {row['seed']}")
    head = f"<h2>{title}</h2><p>{figures['sent']} requests, {figures['rate']} a second: {said}</p>{void}"
    return head + "".join(plots)


def write(path, rows, title):
    """The page; each run is drawn alone where there are few."""
    loads = "".join(loaded(row) for row in rows if "load" in row)
    rows = [row for row in rows if "load" not in row]
    if not rows and not loads:
        raise ValueError("no results to report")
    drawn = rows if len(rows) <= MOST_RUNS else worst(rows)
    note = "" if drawn is rows else f"<p>Of {len(rows)} runs the worst of a kind are drawn.</p>"
    parts = [f"<h1>{html.escape(title)}</h1>", loads]
    if rows:
        parts += [
            table(rows),
            by_variant(rows),
            by_size(rows),
            latencies(drawn[:MOST_RUNS]),
            note,
            *map(section, drawn),
        ]
    page = (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>"
        f"<style>{STYLE}</style>{''.join(parts)}</html>"
    )
    with open(path, "w", encoding="utf-8") as file:
        file.write(page)


def worst(rows):
    least = {}
    for row in rows:
        key = scene(row), row["variant"]
        if key not in least or row["figures"]["net"] < least[key]["figures"]["net"]:
            least[key] = row
    return sorted(least.values(), key=lambda row: row["figures"]["net"])[:MOST_RUNS]
