"""A plot of goodput by class over time, written as SVG text."""

from xml.sax.saxutils import escape

from measurement.analysis import BUCKET_S

WIDTH = 760
PANEL_HEIGHT = 240
LEFT = 60
RIGHT = 130
TOP = 30
BOTTOM = 30
COLOURS = ("#1b6ca8", "#d1495b", "#2e8b57", "#edae49", "#6a4c93", "#555555")


def _scale_y(value, top):
    height = PANEL_HEIGHT - TOP - BOTTOM
    return PANEL_HEIGHT - BOTTOM - value / top * height


def _scale_x(seconds, run_s):
    return LEFT + seconds / run_s * (WIDTH - LEFT - RIGHT)


def _line(x1, y1, x2, y2, colour, dash=""):
    return (f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" '
            f'stroke="{colour}" stroke-dasharray="{dash}"/>')


def _text(x, y, text, colour="#222222"):
    return (f'<text x="{x:.1f}" y="{y:.1f}" font-size="11" '
            f'font-family="sans-serif" fill="{colour}">{escape(text)}</text>')


def _curve(values, run_s, top, colour):
    points = " ".join(
        f"{_scale_x((i + 0.5) * BUCKET_S, run_s):.1f},"
        f"{_scale_y(value, top):.1f}" for i, value in enumerate(values))
    return (f'<polyline points="{points}" fill="none" stroke="{colour}" '
            f'stroke-width="1.5"/>')


def _panel(result, top, run_s):
    parts = [_text(LEFT, 18, f"{result.scenario}, policies {result.policies},"
                             f" seed {result.seed}: whole answers/s by class")]
    base = _scale_y(0, top)
    parts.append(_line(LEFT, base, WIDTH - RIGHT, base, "#222222"))
    parts.append(_line(LEFT, TOP, LEFT, base, "#222222"))
    parts.append(_text(LEFT - 50, TOP + 4, f"{top:.0f}/s"))
    parts.append(_text(WIDTH - RIGHT - 20, base + 16, f"{run_s:.0f} s"))
    for seconds, label in result.marks:
        x = _scale_x(seconds, run_s)
        parts.append(_line(x, TOP, x, base, "#999999", "4 3"))
        parts.append(_text(x + 3, TOP + 10, label, "#666666"))
    for i, (name, values) in enumerate(sorted(result.series.items())):
        colour = COLOURS[i % len(COLOURS)]
        parts.append(_curve(values, run_s, top, colour))
        parts.append(_text(WIDTH - RIGHT + 10, TOP + 14 * (i + 1), name,
                           colour))
    return "\n".join(parts)


def write_svg(results, path):
    """Writes one panel for each result, all with the same scale."""
    plotted = [r for r in results if r.series]
    if not plotted:
        return
    top = max([1.0] + [max(values) for r in plotted
                       for values in r.series.values()])
    count = max(len(values) for r in plotted for values in r.series.values())
    run_s = max(1.0, count * BUCKET_S)
    height = PANEL_HEIGHT * len(plotted)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
             f'height="{height}">',
             f'<rect width="{WIDTH}" height="{height}" fill="#ffffff"/>']
    for i, result in enumerate(plotted):
        parts.append(f'<g transform="translate(0,{i * PANEL_HEIGHT})">')
        parts.append(_panel(result, top, run_s))
        parts.append("</g>")
    parts.append("</svg>")
    path.write_text("\n".join(parts))
