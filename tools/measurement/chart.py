"""Charts of goodput over time by class, as SVG."""

from xml.sax.saxutils import escape

from measurement.analysis import BUCKET_S

WIDTH = 760
PANEL_HEIGHT = 240
MARGIN_LEFT = 60
MARGIN_RIGHT = 130
MARGIN_TOP = 30
MARGIN_BOTTOM = 30
COLOURS = ("#1b6ca8", "#d1495b", "#2e8b57", "#edae49", "#6a4c93", "#555555")


def _scale_y(value, max_value):
    height = PANEL_HEIGHT - MARGIN_TOP - MARGIN_BOTTOM
    return PANEL_HEIGHT - MARGIN_BOTTOM - value / max_value * height


def _scale_x(seconds, run_s):
    return (MARGIN_LEFT
            + seconds / run_s * (WIDTH - MARGIN_LEFT - MARGIN_RIGHT))


def _line(x1, y1, x2, y2, colour, dash=""):
    return (f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" '
            f'stroke="{colour}" stroke-dasharray="{dash}"/>')


def _text(x, y, text, colour="#222222"):
    return (f'<text x="{x:.1f}" y="{y:.1f}" font-size="11" '
            f'font-family="sans-serif" fill="{colour}">{escape(text)}</text>')


def _curve(values, run_s, max_value, colour):
    points = " ".join(
        f"{_scale_x((i + 0.5) * BUCKET_S, run_s):.1f},"
        f"{_scale_y(value, max_value):.1f}" for i, value in enumerate(values))
    return (f'<polyline points="{points}" fill="none" stroke="{colour}" '
            f'stroke-width="1.5"/>')


def _panel(result, max_value, run_s):
    elements = [_text(MARGIN_LEFT, 18,
                      f"{result.scenario}, policies {result.policies},"
                      f" seed {result.seed}: whole answers/s by class")]
    x_axis_y = _scale_y(0, max_value)
    elements.append(_line(MARGIN_LEFT, x_axis_y, WIDTH - MARGIN_RIGHT,
                          x_axis_y, "#222222"))
    elements.append(_line(MARGIN_LEFT, MARGIN_TOP, MARGIN_LEFT, x_axis_y,
                          "#222222"))
    elements.append(_text(MARGIN_LEFT - 50, MARGIN_TOP + 4,
                          f"{max_value:.0f}/s"))
    elements.append(_text(WIDTH - MARGIN_RIGHT - 20, x_axis_y + 16,
                          f"{run_s:.0f} s"))
    for seconds, label in result.marks:
        x = _scale_x(seconds, run_s)
        elements.append(_line(x, MARGIN_TOP, x, x_axis_y, "#999999", "4 3"))
        elements.append(_text(x + 3, MARGIN_TOP + 10, label, "#666666"))
    for i, (name, values) in enumerate(sorted(result.series.items())):
        colour = COLOURS[i % len(COLOURS)]
        elements.append(_curve(values, run_s, max_value, colour))
        elements.append(_text(WIDTH - MARGIN_RIGHT + 10,
                              MARGIN_TOP + 14 * (i + 1), name, colour))
    return "\n".join(elements)


def write_svg(results, path):
    """Writes a chart with one panel per result, all to the same scale."""
    plotted = [r for r in results if r.series]
    if not plotted:
        return
    max_value = max([1.0] + [max(values) for r in plotted
                             for values in r.series.values()])
    bucket_count = max(len(values) for r in plotted
                       for values in r.series.values())
    run_s = max(1.0, bucket_count * BUCKET_S)
    height = PANEL_HEIGHT * len(plotted)
    elements = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
                f'height="{height}">',
                f'<rect width="{WIDTH}" height="{height}" fill="#ffffff"/>']
    for i, result in enumerate(plotted):
        elements.append(f'<g transform="translate(0,{i * PANEL_HEIGHT})">')
        elements.append(_panel(result, max_value, run_s))
        elements.append("</g>")
    elements.append("</svg>")
    path.write_text("\n".join(elements))
